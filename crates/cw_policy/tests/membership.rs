//! Tests of the liveness of targets and the relaying of their reports.

use std::collections::BTreeMap;
use std::time::Duration;

use cw_policy::EntryPeer;
use cw_policy::Liveness;
use cw_policy::membership::HostStatus;
use cw_policy::membership::Members;
use cw_policy::membership::MembershipLimits;
use cw_policy::membership::MergeOutcome;
use cw_policy::membership::Processes;
use cw_policy::membership::Relay;
use cw_policy::membership::RelayGroups;
use cw_policy::membership::Urgency;
use cw_types::Config;
use cw_types::Drain;
use cw_types::HostId;
use cw_types::Incarnation;
use cw_types::Revision;
use cw_types::TargetId;
use cw_types::Time;
use cw_wire::Load;
use cw_wire::LoadUpdate;
use cw_wire::ProcessState;
use cw_wire::Report;
use cw_wire::ReportBatch;
use cw_wire::SilentTarget;
use cw_wire::TargetState;
use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prelude::prop_assert;
use proptest::prelude::prop_assert_eq;
use proptest::prelude::proptest;
use proptest::test_runner::RngSeed;
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

/// Returns the members of an entry among three, with the target reported at second 0.
fn members() -> Members {
    let mut members = Members::new(name("e0"), MembershipLimits::default(), at(0));
    let hosts = [(name("h1"), HostStatus::Live)];
    members.on_hosts(hosts.into(), 3);
    members.on_report(at(0), Duration::ZERO, up(1, 1));
    members
}

/// Ticks every half second between two times in seconds, as a process without pauses does.
fn tick_between(members: &mut Members, from: u64, to: u64) {
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

fn report_silence(members: &mut Members, now: Time, relays: &[&str]) {
    for relay in relays {
        members.on_silence(now, &name(relay), &silence(relay, 1));
    }
}

#[test]
fn newer_report_is_applied_and_older_is_not() {
    let mut members = members();

    let newer = members.on_report(at(1), Duration::ZERO, up(1, 3));
    let older = members.on_report(at(1), Duration::ZERO, report(1, 2, TargetState::Leaving));
    let earlier_incarnation = members.on_report(at(1), Duration::ZERO, up(0, 99));

    assert_eq!(newer, MergeOutcome::Applied);
    assert_eq!(older, MergeOutcome::Stale);
    assert_eq!(earlier_incarnation, MergeOutcome::Stale);
    assert_eq!(members.liveness(at(1), &target()), Liveness::Alive);
}

/// Returns a batch with one load update of the target, whose number of running attempts tells the
/// incarnation and the sequence number.
fn load_batch(incarnation: u64, sequence: u64) -> ReportBatch {
    let hash = up(incarnation, sequence).hash();
    let load = Load {
        running: u32::try_from(incarnation * 1000 + sequence).expect("small numbers"),
        ..Load::default()
    };
    ReportBatch {
        loads: vec![LoadUpdate::new(hash, sequence, Duration::ZERO, &load)],
        ..empty_batch()
    }
}

/// Guards against a load of an earlier incarnation that arrives late: its sequence number is higher
/// than those of the agent that has started again, whose reports were then ignored as outdated, so
/// that the target passed for silent.
#[test]
fn late_load_of_an_earlier_incarnation_does_not_hide_the_next_reports() {
    let mut members = members();
    members.on_report(at(1), Duration::ZERO, up(2, 1));

    members.on_batch(at(1), &load_batch(1, 500));
    let next = members.on_report(at(2), Duration::ZERO, up(2, 2));

    assert_eq!(next, MergeOutcome::Applied);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// An agent starts again and again under its target's id. Its reports and loads arrive late,
    /// several times and in any order. What is known is always of the newest incarnation that has
    /// reported, and its next report is never ignored.
    #[test]
    fn only_the_newest_incarnation_counts(
        messages in vec((1_u64..5, 1_u64..20, any::<bool>()), 1..60),
    ) {
        let mut members = members();
        let mut newest = (1, 1);
        for (incarnation, sequence, is_report) in messages {
            if is_report {
                let mut report = up(incarnation, sequence);
                report.load.running = u32::try_from(incarnation * 1000 + sequence).unwrap();
                members.on_report(at(1), Duration::ZERO, report);
                newest = newest.max((incarnation, sequence));
            } else {
                members.on_batch(at(1), &load_batch(incarnation, sequence));
                if incarnation == newest.0 {
                    newest = newest.max((incarnation, sequence));
                }
            }

            let known = members.report(&target()).expect("a report");
            prop_assert_eq!((known.incarnation.0, known.sequence), newest);
            let running = u64::from(known.load.running);
            prop_assert!(running == 0 || running == newest.0 * 1000 + newest.1, "{}", running);
        }
        let next = up(newest.0, newest.1 + 1);
        let outcome = members.on_report(at(2), Duration::ZERO, next);
        prop_assert_eq!(outcome, MergeOutcome::Applied);
    }
}

#[test]
fn target_that_no_relay_reports_as_silent_is_suspect_but_not_gone() {
    let mut members = members();
    tick_between(&mut members, 0, 600);

    let liveness = members.liveness(at(600), &target());

    assert_eq!(liveness, Liveness::Suspect);
}

#[rstest]
#[case::none(&[], Liveness::Suspect)]
#[case::one(&["e1"], Liveness::Suspect)]
#[case::one_twice(&["e1", "e1"], Liveness::Suspect)]
#[case::two(&["e1", "e2"], Liveness::Gone)]
fn target_is_gone_once_two_relays_report_it_as_silent(
    #[case] relays: &[&str],
    #[case] expected: Liveness,
) {
    let mut members = members();
    tick_between(&mut members, 0, 20);

    report_silence(&mut members, at(20), relays);

    assert_eq!(members.liveness(at(20), &target()), expected);
}

#[test]
fn absence_from_the_host_list_confirms_only_silent_targets() {
    let mut members = members();
    members.on_hosts(BTreeMap::new(), 3);

    let fresh = members.liveness(at(1), &target());
    tick_between(&mut members, 0, 20);
    let silent = members.liveness(at(20), &target());

    assert_eq!(fresh, Liveness::Alive);
    assert_eq!(silent, Liveness::Gone);
}

#[test]
fn target_that_reports_again_is_alive_again() {
    let mut members = members();
    tick_between(&mut members, 0, 20);
    report_silence(&mut members, at(20), &["e1", "e2"]);

    members.on_report(at(21), Duration::ZERO, up(1, 2));

    assert_eq!(members.liveness(at(21), &target()), Liveness::Alive);
}

#[test]
fn resumed_agent_does_not_replace_its_successor() {
    let mut members = members();
    members.on_report(at(5), Duration::ZERO, up(2, 1));

    let resumed = members.on_report(at(6), Duration::ZERO, up(1, 500));

    assert_eq!(resumed, MergeOutcome::Stale);
    assert_eq!(
        members.report(&target()).expect("a report").incarnation,
        Incarnation(2)
    );
}

#[test]
fn earlier_incarnation_is_accepted_once_the_later_one_is_gone() {
    let mut members = members();
    members.on_report(at(0), Duration::ZERO, up(9, 1));
    tick_between(&mut members, 0, 20);
    members.on_silence(at(20), &name("e1"), &silence("e1", 9));
    members.on_silence(at(20), &name("e2"), &silence("e2", 9));

    let earlier = members.on_report(at(20), Duration::ZERO, up(3, 1));

    assert_eq!(earlier, MergeOutcome::Applied);
    assert_eq!(members.liveness(at(20), &target()), Liveness::Alive);
}

#[test]
fn entry_that_resumes_from_a_pause_suspects_no_target() {
    let mut members = members();
    tick_between(&mut members, 0, 1);

    members.on_tick(at(300));
    report_silence(&mut members, at(300), &["e1", "e2"]);

    assert_eq!(members.liveness(at(300), &target()), Liveness::Alive);
}

#[test]
fn relay_that_resumes_from_a_pause_reports_no_silence() {
    let mut members = members();
    let mut relay = Relay::new(name("e0"), SECOND * 3);
    relay.on_report(at(0), up(1, 1));
    tick_between(&mut members, 0, 1);
    members.on_tick(at(300));

    let silent_targets = relay.silent(at(300), members.running_since());

    assert_eq!(silent_targets, []);
}

#[test]
fn relay_that_an_agent_left_reports_no_silence() {
    let mut members = members();
    let mut relay = Relay::new(name("e0"), SECOND * 3);
    relay.on_report(at(0), up(1, 1));
    tick_between(&mut members, 0, 10);
    members.on_report(at(10), Duration::ZERO, up(1, 20));

    relay.round(
        at(10),
        &members,
        Revision(0),
        &RelayGroups::default(),
        &|_| true,
    );

    assert_eq!(relay.silent(at(10), members.running_since()), []);
}

#[test]
fn leaving_is_sent_immediately_and_applied_at_once() {
    let mut members = members();
    let mut relay = Relay::new(name("e0"), SECOND * 3);
    relay.on_report(at(0), up(1, 1));
    relay.round(
        at(0),
        &members,
        Revision(0),
        &RelayGroups::default(),
        &|_| true,
    );
    let leaving = report(1, 2, TargetState::Leaving);

    let urgency = relay.on_report(at(1), leaving.clone());
    members.on_report(at(1), Duration::ZERO, leaving);

    assert_eq!(urgency, Urgency::Immediate);
    assert_eq!(members.liveness(at(1), &target()), Liveness::Leaving);
}

#[test]
fn host_marked_leaving_and_drained_target_are_leaving() {
    let mut listed = members();
    listed.on_hosts([(name("h1"), HostStatus::Leaving)].into(), 3);
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
fn load_of_an_unknown_target_is_a_missing_report() {
    let mut sender = members();
    let mut relay = Relay::new(name("e0"), SECOND * 3);
    let groups = relay_groups(2, 0);
    relay.on_report(at(0), up(1, 1));
    relay.round(at(0), &sender, Revision(0), &groups, &|_| true);
    relay.on_report(at(5), up(1, 2));
    sender.on_report(at(5), Duration::ZERO, up(1, 2));
    let update = relay
        .round(at(5), &sender, Revision(0), &groups, &|_| true)
        .group;
    let update: ReportBatch = update.expect("a batch for the other entry");
    let mut fresh = Members::new(name("e9"), MembershipLimits::default(), at(5));

    let outcome = fresh.on_batch(at(5), &update);

    assert_eq!(update.loads.len(), 1);
    assert_eq!(outcome, MergeOutcome::MissingReport);
}

#[test]
fn age_of_a_report_includes_the_age_on_arrival() {
    let mut members = members();

    members.on_report(at(100), SECOND * 10, up(1, 2));
    members.on_tick(at(100));

    let view = members.reports(at(100));
    assert_eq!(view[0].0, SECOND * 10);
}

// ----------------------------------------------------------------------------
// Relay groups

fn entries(count: usize) -> Vec<EntryPeer> {
    let entry = |n| EntryPeer {
        host: name(&format!("e{n}")),
        zone: name("a"),
        region: name("r"),
        peer_address: "127.0.0.1:1".parse().expect("an address"),
    };
    (0..count).map(entry).collect()
}

fn relay_groups(count: usize, own: usize) -> RelayGroups {
    let host: HostId = name(&format!("e{own}"));
    RelayGroups::new(&host, &entries(count))
}

#[rstest]
fn update_reaches_every_entry_in_two_steps(#[values(1, 2, 16, 17, 64, 256, 410)] count: usize) {
    let groups: Vec<_> = (0..count).map(|n| relay_groups(count, n)).collect();
    let index = |peer: &EntryPeer| -> usize {
        let number = peer.host.as_str().trim_start_matches('e');
        number.parse().expect("a number")
    };

    for start in 0..count {
        let mut reached = vec![false; count];
        reached[start] = true;
        let group: Vec<_> = groups[start].group_peers.iter().map(index).collect();
        for via in group.into_iter().chain([start]) {
            reached[via] = true;
            for peer in &groups[via].forward_peers {
                reached[index(peer)] = true;
            }
        }
        assert!(
            reached.into_iter().all(|one| one),
            "an entry is not reached from {start} of {count}"
        );
    }
}

#[test]
fn messages_per_entry_grow_as_the_square_root_of_the_number_of_entries() {
    let most = |count: usize| {
        let sent = |n| {
            let groups = relay_groups(count, n);
            groups.group_peers.len() + groups.forward_peers.len()
        };
        (0..count).map(sent).max().unwrap_or_default()
    };

    for count in [64_usize, 256, 410] {
        let bound = 5 * count.isqrt();
        assert!(most(count) <= bound, "{} of {count}", most(count));
    }
}

#[test]
fn lower_sequence_number_is_accepted_once_the_known_state_is_outdated() {
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
    let before_reset = processes
        .live(at(1))
        .next()
        .expect("a live entry")
        .1
        .revision;
    processes.on_state(at(60), &state(51, 6));
    let after_reset = processes
        .live(at(60))
        .next()
        .expect("a live entry")
        .1
        .revision;

    assert_eq!(before_reset, Revision(5));
    assert_eq!(after_reset, Revision(6));
}

#[rstest]
fn demand_of_every_other_entry_is_counted_once(#[values(2, 17, 64)] count: usize) {
    let peers = entries(count);
    let members = members();
    let mut relays: Vec<_> = peers
        .iter()
        .map(|peer| Relay::new(peer.host.clone(), SECOND * 3))
        .collect();
    let groups: Vec<_> = (0..count).map(|n| relay_groups(count, n)).collect();
    let index: BTreeMap<HostId, usize> = peers
        .iter()
        .enumerate()
        .map(|(n, peer)| (peer.host.clone(), n))
        .collect();
    for (relay, peer) in relays.iter_mut().zip(&peers) {
        relay.on_demand(at(0), demand(&peer.host));
    }

    let mut received = vec![(0, 0.0); count];
    for round in 0..2 {
        for from in 0..count {
            let batches =
                relays[from].round(at(round), &members, Revision(0), &groups[from], &|_| true);
            let group = batches
                .group
                .map(|batch| (&groups[from].group_peers, batch));
            let forwarded = batches
                .forwarded
                .map(|batch| (&groups[from].forward_peers, batch));
            for (peers, batch) in group.into_iter().chain(forwarded) {
                for peer in peers {
                    let to = index[&peer.host];
                    relays[to].on_batch(at(round), &batch);
                    let Some((_, demand)) = batch.demands.first().filter(|_| round == 1) else {
                        continue;
                    };
                    received[to].0 += demand.entries;
                    received[to].1 += demand.parts[&name("w")];
                }
            }
        }
    }

    let others = count as u32 - 1;
    for (entries, part) in received {
        assert_eq!(entries, others);
        assert!((part - f64::from(others) * 0.25).abs() < 1e-9, "{part}");
    }
}

fn demand(host: &HostId) -> cw_wire::QuotaDemand {
    cw_wire::QuotaDemand {
        from: host.clone(),
        sequence: 1,
        entries: 1,
        parts: [(name("w"), 0.25)].into(),
    }
}

#[test]
fn loads_come_from_another_relay_only_in_the_absence_of_the_first() {
    let members = members();
    let groups = relay_groups(2, 0);
    let mut other = Relay::new(name("e0"), SECOND * 3);
    other.on_report(at(0), up(1, 1));
    other.round(at(0), &members, Revision(0), &groups, &|_| false);
    let mut sent = Vec::new();

    for second in 1..30 {
        other.on_report(at(second), up(1, second + 1));
        if second < 15 {
            let mut batch = empty_batch();
            batch.reports.push((Duration::ZERO, up(1, second + 1)));
            other.on_batch(at(second), &batch);
        }
        let batches = other.round(at(second), &members, Revision(0), &groups, &|_| false);
        let batch = batches.group.expect("a batch for the other entry");
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
