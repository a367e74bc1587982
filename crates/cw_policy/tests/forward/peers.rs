//! What entries tell each other.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cw_policy::forward::Fleet;
use cw_policy::forward::Roster;
use cw_types::HostId;
use cw_types::Incarnation;
use cw_wire::DirectoryUpdate;
use cw_wire::OutstandingWork;
use cw_wire::TargetHash;
use cw_wire::TargetShare;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::fixtures::Wish;
use crate::fixtures::at;
use crate::fixtures::engine;
use crate::fixtures::fleet;
use crate::fixtures::name;

fn message(host: &str, sequence: u64) -> OutstandingWork {
    OutstandingWork {
        host: name(host),
        incarnation: Incarnation(1),
        sequence,
        shares: Vec::new(),
        lost: Vec::new(),
        prompts: Vec::new(),
        directory: Some(DirectoryUpdate {
            up: true,
            trusted: true,
            config: 1,
            newest: 1,
            changes: Vec::new(),
        }),
    }
}

fn reading(host: &str, sequence: u64) -> OutstandingWork {
    let share = TargetShare {
        runs: 1,
        unread: 8000,
        copies: 0,
        tokens: 9000,
    };
    OutstandingWork {
        shares: vec![(TargetHash::from(&engine(0, 0)), share)],
        ..message(host, sequence)
    }
}

fn choices(fleet: &Fleet, now: u64) -> usize {
    let mut rng = SmallRng::seed_from_u64(1);
    let wish = Wish::default();
    (0..100)
        .filter(|_| fleet.place(at(now), &wish.need(), &mut rng).unwrap().target == engine(0, 0))
        .count()
}

#[test]
fn a_prompt_of_another_entry_keeps_others_away() {
    let mut fleet = fleet(1, 4);

    fleet.heard_peer(at(0), &reading("a", 1));

    assert_eq!(choices(&fleet, 10), 0);
}

#[test]
fn the_newest_message_replaces_the_last() {
    let mut fleet = fleet(1, 4);
    fleet.heard_peer(at(0), &reading("a", 1));

    fleet.heard_peer(at(5), &message("a", 2));

    assert!(choices(&fleet, 10) > 0);
}

#[test]
fn a_message_that_comes_late_is_no_news() {
    let mut fleet = fleet(1, 4);
    fleet.heard_peer(at(0), &message("a", 2));

    let is_news = fleet.heard_peer(at(5), &reading("a", 1));

    assert!(!is_news);
    assert!(choices(&fleet, 10) > 0);
}

#[test]
fn a_new_life_counts_from_its_own_beginning() {
    let mut fleet = fleet(1, 4);
    fleet.heard_peer(at(0), &message("a", 90));
    let reborn = OutstandingWork {
        incarnation: Incarnation(2),
        ..reading("a", 1)
    };

    assert!(fleet.heard_peer(at(5), &reborn));
}

#[test]
fn a_dead_entry_holds_nothing() {
    let mut fleet = fleet(1, 4);
    fleet.heard_peer(at(0), &reading("a", 1));

    let gone = fleet.forget_peers(at(2000));

    assert_eq!(gone, vec![name("a")]);
    assert!(choices(&fleet, 2000) > 0);
}

/// With hundreds of entries each tells less often, and is not to be forgotten in between.
#[test]
fn more_entries_are_believed_for_longer() {
    let mut fleet = fleet(1, 4);
    let hosts: Vec<HostId> = (0..300).map(|n| name(&format!("h{n}"))).collect();
    fleet.set_entries(&name("own"), hosts.into_iter());
    fleet.heard_peer(at(0), &reading("h1", 1));

    assert!(fleet.forget_peers(at(4000)).is_empty());
    assert_eq!(fleet.forget_peers(at(15_000)), vec![name("h1")]);
}

#[test]
fn a_loss_that_another_entry_saw_is_believed_but_not_passed_on() {
    let mut fleet = fleet(1, 4);
    let lost = OutstandingWork {
        lost: vec![TargetHash::from(&engine(0, 0))],
        ..message("a", 1)
    };

    fleet.heard_peer(at(1000), &lost);

    assert!(fleet.is_doubted(at(1010), &engine(0, 0)));
    assert!(
        fleet.lost_since(at(0)).is_empty(),
        "it would go round for ever"
    );
}

#[test]
fn two_entries_watch_and_one_writes() {
    let hosts = ["a", "b", "c", "d"];
    let roles: Vec<(bool, bool)> = hosts
        .iter()
        .map(|own| {
            let mut fleet = fleet(1, 1);
            let others = hosts.iter().filter(|host| *host != own);
            fleet.set_entries(&name(own), others.clone().map(|host| name(host)));
            for other in others {
                fleet.heard_peer(at(0), &message(other, 1));
            }
            (fleet.is_watcher(at(10)), fleet.is_scribe(at(10)))
        })
        .collect();

    assert_eq!(
        roles,
        vec![(true, true), (true, false), (false, false), (false, false)]
    );
}

/// Pattern: an entry is cut off from all others, or starts alone.
#[test]
fn an_entry_that_hears_nobody_watches_itself() {
    let mut fleet = fleet(1, 1);
    fleet.set_entries(&name("d"), ["a", "b"].iter().map(|host| name(host)));
    fleet.heard_peer(at(0), &message("a", 1));
    fleet.heard_peer(at(0), &message("b", 1));
    assert!(!fleet.is_watcher(at(10)));

    fleet.forget_peers(at(5000));

    assert!(fleet.is_watcher(at(5000)));
    assert!(fleet.is_scribe(at(5000)));
}

/// Pattern: the store turns some machines away, the first ones among them, while changes are made.
#[test]
fn an_entry_watches_when_those_before_it_are_turned_away() {
    let mut fleet = fleet(1, 1);
    fleet.set_entries(&name("d"), ["a", "b"].iter().map(|host| name(host)));
    fleet.heard_peer(at(0), &message("a", 1));
    fleet.heard_peer(at(0), &message("b", 1));
    let mut turned_away = message("a", 2);
    if let Some(news) = &mut turned_away.directory {
        news.up = false;
    }

    fleet.heard_peer(at(10), &turned_away);

    assert!(fleet.is_watcher(at(20)));
}

/// Pattern: machines freeze, so that nothing says that they no longer watch.
#[test]
fn an_entry_watches_when_those_before_it_have_stopped() {
    let mut fleet = fleet(1, 1);
    fleet.set_entries(&name("d"), ["a", "b"].iter().map(|host| name(host)));
    fleet.heard_peer(at(0), &message("a", 1));
    fleet.heard_peer(at(0), &message("b", 1));

    assert!(!fleet.is_watcher(at(900)));
    assert!(fleet.is_watcher(at(1100)));
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, number], 80))
}

#[test]
fn registered_entries_are_there() {
    let mut roster = Roster::default();

    roster.register(BTreeMap::from([(name("a"), address(1))]));

    assert_eq!(
        roster.others(at(0)),
        BTreeMap::from([(name("a"), address(1))])
    );
}

/// Pattern: the store turns one machine away for longer than its record lasts.
#[test]
fn an_entry_whose_record_has_lapsed_is_there_while_it_is_heard() {
    let mut roster = Roster::default();
    roster.register(BTreeMap::from([(name("a"), address(1))]));
    roster.hear(at(10_000), &name("a"), address(1));

    roster.register(BTreeMap::new());

    assert!(roster.others(at(12_000)).contains_key(&name::<HostId>("a")));
    assert!(roster.others(at(20_000)).is_empty());
}
