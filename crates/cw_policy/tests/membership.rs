//! The judgement of targets, and what relays pass on.

use std::collections::BTreeMap;
use std::time::Duration;

use cw_policy::EntryPeer;
use cw_policy::Liveness;
use cw_policy::membership::Grid;
use cw_policy::membership::HostMark;
use cw_policy::membership::Members;
use cw_policy::membership::MembershipLimits;
use cw_policy::membership::Outcome;
use cw_policy::membership::Processes;
use cw_policy::membership::Relay;
use cw_policy::membership::Urgency;
use cw_types::Config;
use cw_types::Drain;
use cw_types::HostId;
use cw_types::Incarnation;
use cw_types::Revision;
use cw_types::TargetId;
use cw_types::Time;
use cw_wire::ProcessState;
use cw_wire::Report;
use cw_wire::ReportBatch;
use cw_wire::SilentTarget;
use cw_wire::TargetState;
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

fn target() -> TargetId {
    name("t1")
}

fn at(seconds: u64) -> Time {
    Time(1_000_000_000) + SECOND * seconds as u32
}

fn report(incarnation: u64, sequence: u64, state: TargetState) -> Report {
    Report {
        target: target(),
        host: name("h1"),
        incarnation: Incarnation(incarnation),
        sequence,
        state,
        load: Default::default(),
        versions: BTreeMap::new(),
        pinned: BTreeMap::new(),
        crashes: Vec::new(),
        revision: Revision(0),
    }
}

fn up(incarnation: u64, sequence: u64) -> Report {
    report(incarnation, sequence, TargetState::Up)
}

/// Members among three entries, with the target reported at second 0.
fn members() -> Members {
    let mut members = Members::new(name("e0"), MembershipLimits::default(), at(0));
    let hosts = [(name("h1"), HostMark::Live)];
    members.on_hosts(hosts.into(), 3);
    members.on_report(at(0), Duration::ZERO, up(1, 1));
    members
}

/// Ticks each half second from `from` to `to`, both in seconds, as an unpaused process does.
fn run(members: &mut Members, from: u64, to: u64) {
    for half in from * 2..=to * 2 {
        members.on_tick(at(0) + SECOND / 2 * half as u32);
    }
}

fn silence(relay: &str, incarnation: u64) -> SilentTarget {
    SilentTarget {
        relay: name(relay),
        target: target(),
        incarnation: Incarnation(incarnation),
        quiet: SECOND * 20,
    }
}

fn say(members: &mut Members, now: Time, relays: &[&str]) {
    for relay in relays {
        members.on_silence(now, &name(relay), &silence(relay, 1));
    }
}

#[test]
fn newer_report_counts_and_older_does_not() {
    let mut members = members();

    let newer = members.on_report(at(1), Duration::ZERO, up(1, 3));
    let older = members.on_report(at(1), Duration::ZERO, report(1, 2, TargetState::Leaving));
    let earlier_life = members.on_report(at(1), Duration::ZERO, up(0, 99));

    assert_eq!(newer, Outcome::Taken);
    assert_eq!(older, Outcome::Stale);
    assert_eq!(earlier_life, Outcome::Stale);
    assert_eq!(members.liveness(at(1), &target()), Liveness::Alive);
}

#[test]
fn silence_of_all_relays_is_not_the_death_of_a_target() {
    let mut members = members();
    run(&mut members, 0, 600);

    let liveness = members.liveness(at(600), &target());

    assert_eq!(liveness, Liveness::Suspect);
}

#[rstest]
#[case::none(&[], Liveness::Suspect)]
#[case::one(&["e1"], Liveness::Suspect)]
#[case::one_twice(&["e1", "e1"], Liveness::Suspect)]
#[case::two(&["e1", "e2"], Liveness::Gone)]
fn gone_needs_two_witnesses(#[case] relays: &[&str], #[case] expected: Liveness) {
    let mut members = members();
    run(&mut members, 0, 20);

    say(&mut members, at(20), relays);

    assert_eq!(members.liveness(at(20), &target()), expected);
}

#[test]
fn host_list_is_a_witness_only_of_the_silent() {
    let mut members = members();
    members.on_hosts(BTreeMap::new(), 3);

    let fresh = members.liveness(at(1), &target());
    run(&mut members, 0, 20);
    let silent = members.liveness(at(20), &target());

    assert_eq!(fresh, Liveness::Alive);
    assert_eq!(silent, Liveness::Gone);
}

#[test]
fn target_that_reports_again_is_alive_again() {
    let mut members = members();
    run(&mut members, 0, 20);
    say(&mut members, at(20), &["e1", "e2"]);

    members.on_report(at(21), Duration::ZERO, up(1, 2));

    assert_eq!(members.liveness(at(21), &target()), Liveness::Alive);
}

#[test]
fn paused_agent_does_not_displace_the_one_in_its_place() {
    let mut members = members();
    members.on_report(at(5), Duration::ZERO, up(2, 1));

    let woken = members.on_report(at(6), Duration::ZERO, up(1, 500));

    assert_eq!(woken, Outcome::Stale);
    assert_eq!(
        members.report(&target()).expect("a report").incarnation,
        Incarnation(2)
    );
}

#[test]
fn clock_set_back_does_not_shut_a_target_out_for_good() {
    let mut members = members();
    members.on_report(at(0), Duration::ZERO, up(9, 1));
    run(&mut members, 0, 20);
    members.on_silence(at(20), &name("e1"), &silence("e1", 9));
    members.on_silence(at(20), &name("e2"), &silence("e2", 9));

    let earlier = members.on_report(at(20), Duration::ZERO, up(3, 1));

    assert_eq!(earlier, Outcome::Taken);
    assert_eq!(members.liveness(at(20), &target()), Liveness::Alive);
}

#[test]
fn paused_entry_that_wakes_up_suspects_nobody() {
    let mut members = members();
    run(&mut members, 0, 1);

    members.on_tick(at(300));
    say(&mut members, at(300), &["e1", "e2"]);

    assert_eq!(members.liveness(at(300), &target()), Liveness::Alive);
}

#[test]
fn paused_relay_that_wakes_up_is_no_witness() {
    let mut members = members();
    let mut relay = Relay::new(name("e0"), SECOND * 3);
    relay.on_report(at(0), up(1, 1));
    run(&mut members, 0, 1);
    members.on_tick(at(300));

    let said = relay.silent(at(300), members.awake());

    assert_eq!(said, []);
}

#[test]
fn relay_that_an_agent_left_is_no_witness() {
    let mut members = members();
    let mut relay = Relay::new(name("e0"), SECOND * 3);
    relay.on_report(at(0), up(1, 1));
    run(&mut members, 0, 10);
    members.on_report(at(10), Duration::ZERO, up(1, 20));

    relay.round(at(10), &members, Revision(0), &Grid::default(), &|_| true);

    assert_eq!(relay.silent(at(10), members.awake()), []);
}

#[test]
fn leaving_is_urgent_and_seen_at_once() {
    let mut members = members();
    let mut relay = Relay::new(name("e0"), SECOND * 3);
    relay.on_report(at(0), up(1, 1));
    relay.round(at(0), &members, Revision(0), &Grid::default(), &|_| true);
    let leaving = report(1, 2, TargetState::Leaving);

    let urgency = relay.on_report(at(1), leaving.clone());
    members.on_report(at(1), Duration::ZERO, leaving);

    assert_eq!(urgency, Urgency::Now);
    assert_eq!(members.liveness(at(1), &target()), Liveness::Leaving);
}

#[test]
fn host_marked_leaving_and_drained_target_are_leaving() {
    let mut listed = members();
    listed.on_hosts([(name("h1"), HostMark::Leaving)].into(), 3);
    let mut drained = members();
    let record = cw_types::Target {
        agent: "127.0.0.1:1".parse().expect("an address"),
        host: name("h1"),
        zone: name("a"),
        region: name("r"),
        kind: cw_types::TargetKind::Engine,
        fenced: false,
        versions: BTreeMap::new(),
    };
    drained.on_config(&Config {
        targets: [(target(), record)].into(),
        drains: [("h1".to_owned(), Drain::default())].into(),
        ..Config::default()
    });

    assert_eq!(listed.liveness(at(1), &target()), Liveness::Leaving);
    assert_eq!(drained.liveness(at(1), &target()), Liveness::Leaving);
}

#[test]
fn load_of_an_unknown_target_asks_for_all() {
    let mut sender = members();
    let mut relay = Relay::new(name("e0"), SECOND * 3);
    let grid = grid_of(2, 0);
    relay.on_report(at(0), up(1, 1));
    relay.round(at(0), &sender, Revision(0), &grid, &|_| true);
    relay.on_report(at(5), up(1, 2));
    sender.on_report(at(5), Duration::ZERO, up(1, 2));
    let update = relay
        .round(at(5), &sender, Revision(0), &grid, &|_| true)
        .near;
    let update: ReportBatch = update.expect("a batch for the other entry");
    let mut fresh = Members::new(name("e9"), MembershipLimits::default(), at(5));

    let outcome = fresh.on_batch(at(5), &update);

    assert_eq!(update.loads.len(), 1);
    assert_eq!(outcome, Outcome::Missing);
}

#[test]
fn age_of_a_report_counts_from_when_it_was_made() {
    let mut members = members();

    members.on_report(at(100), SECOND * 10, up(1, 2));
    members.on_tick(at(100));

    let view = members.reports(at(100));
    assert_eq!(view[0].0, SECOND * 10);
}

// ----------------------------------------------------------------------------
// The grid

fn entries(count: usize) -> Vec<EntryPeer> {
    let entry = |n| EntryPeer {
        host: name(&format!("e{n}")),
        zone: name("a"),
        region: name("r"),
        peer_address: "127.0.0.1:1".parse().expect("an address"),
    };
    (0..count).map(entry).collect()
}

fn grid_of(count: usize, own: usize) -> Grid {
    let host: HostId = name(&format!("e{own}"));
    Grid::new(&host, &entries(count))
}

#[rstest]
fn news_reaches_every_entry_in_two_steps(#[values(1, 2, 16, 17, 64, 256, 410)] count: usize) {
    let grids: Vec<_> = (0..count).map(|n| grid_of(count, n)).collect();
    let index = |peer: &EntryPeer| -> usize {
        let number = peer.host.as_str().trim_start_matches('e');
        number.parse().expect("a number")
    };

    for start in 0..count {
        let mut reached = vec![false; count];
        reached[start] = true;
        let near: Vec<_> = grids[start].near.iter().map(index).collect();
        for via in near.into_iter().chain([start]) {
            reached[via] = true;
            for peer in &grids[via].far {
                reached[index(peer)] = true;
            }
        }
        assert!(
            reached.into_iter().all(|one| one),
            "from {start} of {count}"
        );
    }
}

#[test]
fn messages_of_an_entry_grow_as_the_root_of_the_number_of_entries() {
    let most = |count: usize| {
        let sent = |n| {
            let grid = grid_of(count, n);
            grid.near.len() + grid.far.len()
        };
        (0..count).map(sent).max().unwrap_or_default()
    };

    for count in [64_usize, 256, 410] {
        let bound = 5 * count.isqrt();
        assert!(most(count) <= bound, "{} of {count}", most(count));
    }
}

#[test]
fn statement_with_a_lower_number_counts_after_a_while() {
    let state = |sequence, revision| ProcessState {
        host: name("e1"),
        sequence,
        age: Duration::ZERO,
        revision: Revision(revision),
        schemas: BTreeMap::new(),
    };
    let mut processes = Processes::default();
    processes.on_state(at(0), &state(100, 5));

    processes.on_state(at(1), &state(50, 4));
    let soon = processes.live(at(1)).next().expect("it").1.revision;
    processes.on_state(at(60), &state(51, 6));
    let later = processes.live(at(60)).next().expect("it").1.revision;

    assert_eq!(soon, Revision(5));
    assert_eq!(later, Revision(6));
}

#[rstest]
fn demands_of_all_others_are_heard_once(#[values(2, 17, 64)] count: usize) {
    let peers = entries(count);
    let members = members();
    let mut relays: Vec<_> = peers
        .iter()
        .map(|peer| Relay::new(peer.host.clone(), SECOND * 3))
        .collect();
    let grids: Vec<_> = (0..count).map(|n| grid_of(count, n)).collect();
    let index: BTreeMap<HostId, usize> = peers
        .iter()
        .enumerate()
        .map(|(n, peer)| (peer.host.clone(), n))
        .collect();
    for (relay, peer) in relays.iter_mut().zip(&peers) {
        relay.on_demand(at(0), demand(&peer.host));
    }

    let mut heard = vec![(0, 0.0); count];
    for round in 0..2 {
        for from in 0..count {
            let sendings =
                relays[from].round(at(round), &members, Revision(0), &grids[from], &|_| true);
            let near = sendings.near.map(|batch| (&grids[from].near, batch));
            let far = sendings.far.map(|batch| (&grids[from].far, batch));
            for (peers, batch) in near.into_iter().chain(far) {
                for peer in peers {
                    let to = index[&peer.host];
                    relays[to].on_batch(at(round), &batch);
                    let Some((_, demand)) = batch.demands.first().filter(|_| round == 1) else {
                        continue;
                    };
                    heard[to].0 += demand.entries;
                    heard[to].1 += demand.parts[&name("w")];
                }
            }
        }
    }

    let others = count as u32 - 1;
    for (entries, part) in heard {
        assert_eq!(entries, others);
        assert!((part - f64::from(others) * 0.25).abs() < 1e-9, "{part}");
    }
}

fn demand(host: &HostId) -> cw_wire::Demand {
    cw_wire::Demand {
        from: host.clone(),
        sequence: 1,
        entries: 1,
        parts: [(name("w"), 0.25)].into(),
    }
}

#[test]
fn loads_come_from_the_first_relay_and_from_the_others_only_in_its_absence() {
    let members = members();
    let grid = grid_of(2, 0);
    let mut other = Relay::new(name("e0"), SECOND * 3);
    other.on_report(at(0), up(1, 1));
    other.round(at(0), &members, Revision(0), &grid, &|_| false);
    let mut sent = Vec::new();

    for second in 1..30 {
        other.on_report(at(second), up(1, second + 1));
        if second < 15 {
            let mut batch = empty_batch();
            batch.reports.push((Duration::ZERO, up(1, second + 1)));
            other.on_batch(at(second), &batch);
        }
        let sendings = other.round(at(second), &members, Revision(0), &grid, &|_| false);
        let batch = sendings.near.expect("a batch for the other entry");
        sent.extend(batch.loads.iter().map(|_| second));
    }

    let first = *sent.first().expect("a load");
    assert!((20..=25).contains(&first), "{sent:?}");
}

fn empty_batch() -> ReportBatch {
    ReportBatch {
        relay: name("e1"),
        sequence: 0,
        revision: Revision(0),
        reports: Vec::new(),
        loads: Vec::new(),
        silent: Vec::new(),
        processes: Vec::new(),
        forwarded: false,
        demands: Vec::new(),
    }
}
