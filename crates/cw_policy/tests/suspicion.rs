//! Tests that requests that crash their targets are refused and the requests beside them are not.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cw_policy::Crash;
use cw_policy::CrashId;
use cw_policy::CrashSuspicion;
use cw_policy::Liveness;
use cw_policy::SuspicionLimits;
use cw_policy::SuspicionTable;
use cw_policy::TargetView;
use cw_policy::View;
use cw_types::Incarnation;
use cw_types::Target;
use cw_types::TargetId;
use cw_types::TargetKind;
use cw_types::Time;
use cw_wire::CrashReport;
use cw_wire::Fingerprint;
use cw_wire::Load;
use rstest::rstest;

/// How many requests an engine runs at once.
const BATCH_SIZE: u64 = 32;

const POISON: Fingerprint = Fingerprint(0);

fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("a valid name")
}

fn target(at: usize) -> TargetId {
    name(&format!("t{at}"))
}

/// Returns a view of targets that report crashes, given the suspects of each crash by target.
fn view(crashes: &BTreeMap<usize, Vec<Vec<u64>>>) -> View {
    let report = |(at, suspects): (usize, &Vec<u64>)| CrashReport {
        sequence: at as u64 + 1,
        suspects: suspects.iter().copied().map(Fingerprint).collect(),
    };
    let target_view = |crashes: &Vec<Vec<u64>>| TargetView {
        target: Target {
            agent: name("127.0.0.1:1"),
            host: name("h"),
            zone: name("z"),
            region: name("r"),
            kind: TargetKind::Engine,
            fenced: true,
            versions: BTreeMap::new(),
        },
        liveness: Liveness::Alive,
        incarnation: Incarnation(1),
        load: Load::default(),
        reported_at: Time(0),
        alive_since: Time(0),
        versions: BTreeMap::new(),
        crashes: crashes.iter().enumerate().map(report).collect(),
    };
    let targets = crashes.iter();
    View {
        config: Arc::default(),
        targets: targets
            .map(|(at, crashes)| (target(*at), target_view(crashes)))
            .collect(),
        entries: Vec::new(),
    }
}

/// Returns the table after crashes, given as second, target and suspects.
fn table_after(crashes: &[(u64, usize, Vec<u64>)]) -> SuspicionTable {
    let mut table = SuspicionTable::new(SuspicionLimits::default());
    let mut known: BTreeMap<usize, Vec<Vec<u64>>> = BTreeMap::new();
    for (second, at, suspects) in crashes {
        known.entry(*at).or_default().push(suspects.clone());
        table.observe(Time(second * 1_000_000), &view(&known));
    }
    table
}

#[rstest]
fn one_crash_makes_suspects_of_all_in_flight_and_refuses_none() {
    let table = table_after(&[(1, 0, (0..BATCH_SIZE).collect())]);

    for request in 0..BATCH_SIZE {
        let suspicion = table.assess(Fingerprint(request));
        assert_eq!(suspicion, CrashSuspicion::Suspected { crashes: 1 });
    }
    assert_eq!(
        table.assess(Fingerprint(BATCH_SIZE)),
        CrashSuspicion::Unsuspected
    );
}

#[rstest]
fn a_poison_request_is_confirmed_after_two_crashes_and_no_other_request_is() {
    let first: Vec<u64> = (0..BATCH_SIZE).collect();
    // The suspects are spread after the first crash, so the second target runs other requests
    // beside the poison request.
    let second: Vec<u64> = std::iter::once(0).chain(100..100 + BATCH_SIZE).collect();

    let table = table_after(&[(1, 0, first.clone()), (9, 1, second.clone())]);

    assert_eq!(
        table.assess(POISON),
        CrashSuspicion::Confirmed { crashes: 2 }
    );
    let others: BTreeSet<u64> = first.into_iter().chain(second).skip(1).collect();
    for request in others.into_iter().filter(|&request| request != 0) {
        let suspicion = table.assess(Fingerprint(request));
        assert!(!matches!(suspicion, CrashSuspicion::Confirmed { .. }));
    }
}

#[rstest]
fn a_request_in_flight_at_both_crashes_is_distinguished_by_the_third() {
    let pair = vec![0, 1, 2];
    let two = table_after(&[(1, 0, pair.clone()), (9, 1, vec![0, 1, 50])]);
    assert_eq!(two.assess(POISON), CrashSuspicion::Suspected { crashes: 2 });
    assert_eq!(
        two.assess(Fingerprint(1)),
        CrashSuspicion::Suspected { crashes: 2 }
    );

    let three = table_after(&[(1, 0, pair), (9, 1, vec![0, 1, 50]), (15, 2, vec![0, 60])]);

    assert_eq!(
        three.assess(POISON),
        CrashSuspicion::Confirmed { crashes: 3 }
    );
    assert_eq!(
        three.assess(Fingerprint(1)),
        CrashSuspicion::Suspected { crashes: 2 }
    );
}

/// Returns a crash of the first incarnation of a target in a zone.
fn crash(millis: u64, zone: usize, at: usize, suspects: &[u64]) -> Crash {
    Crash {
        id: CrashId {
            target: target(at),
            incarnation: Incarnation(1),
            sequence: 0,
        },
        zone: name(&format!("z{zone}")),
        at: Time(millis * 1_000),
        suspects: suspects.iter().copied().map(Fingerprint).collect(),
    }
}

/// Returns the table after crashes that are recorded one by one.
fn recorded(crashes: impl IntoIterator<Item = Crash>) -> SuspicionTable {
    let mut table = SuspicionTable::new(SuspicionLimits::default());
    for crash in crashes {
        table.record(crash);
    }
    table
}

/// Guards against refusing a request whose targets were lost together with others: one that was in
/// flight at three of six such targets, because its caller sent it several times.
#[rstest]
fn the_loss_of_many_targets_at_once_is_no_evidence() {
    let crashes: Vec<(u64, usize, Vec<u64>)> = (0..6)
        .map(|at| match at < 3 {
            true => (1, at, vec![0, 100 + at as u64]),
            false => (1, at, vec![100 + at as u64]),
        })
        .collect();

    let table = table_after(&crashes);

    for request in (0..1).chain(100..106) {
        assert_eq!(
            table.assess(Fingerprint(request)),
            CrashSuspicion::Unsuspected
        );
    }
}

/// Guards against a request that comes several times at once and crashes so many targets that they
/// pass for a mass failure.
#[rstest]
fn a_request_that_crashes_many_targets_at_once_is_confirmed() {
    let crashes = (0..6).map(|at| crash(1000 + at as u64, at % 2, at, &[0, 100 + at as u64]));

    let table = recorded(crashes);

    assert!(table.is_refused(POISON));
    assert_eq!(
        table.assess(Fingerprint(100)),
        CrashSuspicion::Unsuspected,
        "the other requests were lost together"
    );
}

/// Guards against a zone that fails every few seconds and hides the crashes in the other zones.
#[rstest]
fn the_loss_of_a_zone_hides_no_crash_in_another_zone() {
    let lost_zone = (0..9).map(|at| crash(1000, 0, at, &[100 + at as u64]));
    let crashes = (20..23).map(|at| crash(1000 + at as u64, 1, at, &[0]));

    let table = recorded(lost_zone.chain(crashes));

    assert!(table.is_refused(POISON));
    assert_eq!(table.assess(Fingerprint(100)), CrashSuspicion::Unsuspected);
}

/// Guards against two requests that always run together: neither is the only suspect, and both go
/// on to crash targets.
#[rstest]
fn requests_that_always_run_together_are_refused_after_more_crashes() {
    let limits = SuspicionLimits::default();
    let crashes = |count| (0..count).map(|at| crash(5000 * at as u64, at % 3, at, &[0, 1]));

    let before = recorded(crashes(limits.undecided_crashes - 1));
    let after = recorded(crashes(limits.undecided_crashes));

    assert!(!before.is_refused(POISON));
    assert!(after.is_refused(POISON));
}

/// Guards against counting one crash several times when entries report it one after the other,
/// each with the requests that it had sent.
#[rstest]
fn reports_of_one_crash_are_merged() {
    let mut table = recorded([crash(1000, 0, 0, &[0])]);

    let is_new = table.record(crash(1200, 0, 0, &[0, 1]));
    let is_new_again = table.record(crash(1300, 0, 0, &[1]));

    assert!(is_new);
    assert!(!is_new_again);
    assert_eq!(table.len(), 1);
    let expected = CrashSuspicion::Suspected { crashes: 1 };
    assert_eq!(table.assess(POISON), expected);
    assert_eq!(table.assess(Fingerprint(1)), expected);
}

/// Guards against an error response that passes for a run to the end and clears the request of its crashes.
#[rstest]
#[case(200, false)]
#[case(500, true)]
#[case(503, true)]
fn a_request_is_cleared_only_by_a_complete_answer(#[case] status: u16, #[case] suspected: bool) {
    let mut table = table_after(&[(1, 0, vec![0, 1]), (9, 1, vec![0, 2])]);

    let is_cleared = table.record_answer(POISON, status);

    assert_eq!(is_cleared, !suspected);
    let is_suspected = table.assess(POISON) != CrashSuspicion::Unsuspected;
    assert_eq!(is_suspected, suspected);
}

#[rstest]
fn a_request_that_ran_to_its_end_is_cleared() {
    let mut table = table_after(&[(1, 0, vec![0, 1]), (9, 1, vec![0, 2])]);

    table.record_completion(POISON);

    assert_eq!(table.assess(POISON), CrashSuspicion::Unsuspected);
}

#[rstest]
fn a_repeat_is_refused_after_two_crashes_here_and_after_three_elsewhere() {
    let mut here = table_after(&[(1, 0, vec![0]), (9, 1, vec![0])]);
    let elsewhere = table_after(&[(1, 0, vec![0]), (9, 1, vec![0])]);
    let third = table_after(&[(1, 0, vec![0]), (9, 1, vec![0]), (20, 2, vec![0])]);

    here.confirm(POISON);

    assert!(here.is_refused(POISON));
    assert!(!elsewhere.is_refused(POISON));
    assert!(third.is_refused(POISON));
}

#[rstest]
fn a_report_that_comes_again_counts_once() {
    let mut table = table_after(&[(1, 0, vec![0])]);
    let known = BTreeMap::from([(0, vec![vec![0]])]);

    table.observe(Time(2_000_000), &view(&known));

    assert_eq!(
        table.assess(POISON),
        CrashSuspicion::Suspected { crashes: 1 }
    );
}

#[rstest]
fn the_table_is_bounded_and_forgets() {
    let limits = SuspicionLimits::default();
    let mut table = SuspicionTable::new(limits.clone());
    let crashes = (0..limits.max_crashes + 50)
        .map(|at| vec![at as u64])
        .collect();
    let known = BTreeMap::from([(0, crashes)]);

    table.observe(Time(0), &view(&known));
    assert_eq!(table.len(), limits.max_crashes);

    let later = Time(0) + limits.retention + Duration::from_secs(1);
    table.observe(later, &view(&BTreeMap::new()));
    assert!(table.is_empty());
}

#[rstest]
#[case(CrashSuspicion::Unsuspected, 2)]
#[case(CrashSuspicion::Suspected { crashes: 1 }, 2)]
#[case(CrashSuspicion::Suspected { crashes: 2 }, 1)]
#[case(CrashSuspicion::Confirmed { crashes: 3 }, 1)]
fn one_earlier_crash_does_not_reduce_the_crashes_left_to_a_new_call(
    #[case] suspicion: CrashSuspicion,
    #[case] expected: u32,
) {
    assert_eq!(suspicion.crashes_left(2), expected);
}
