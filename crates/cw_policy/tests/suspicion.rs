//! Requests that crash their targets are refused, and their companions are not.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cw_policy::Liveness;
use cw_policy::SuspicionLimits;
use cw_policy::SuspicionTable;
use cw_policy::TargetView;
use cw_policy::Verdict;
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
const BATCH: u64 = 32;

const POISON: Fingerprint = Fingerprint(0);

fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("a name")
}

fn target(at: usize) -> TargetId {
    name(&format!("t{at}"))
}

/// A view of targets, each with the suspects of its crashes.
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

fn after(crashes: &[(u64, usize, Vec<u64>)]) -> SuspicionTable {
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
    let table = after(&[(1, 0, (0..BATCH).collect())]);

    for request in 0..BATCH {
        let verdict = table.verdict(Fingerprint(request));
        assert_eq!(verdict, Verdict::Suspect { crashes: 1 });
    }
    assert_eq!(table.verdict(Fingerprint(BATCH)), Verdict::Clear);
}

#[rstest]
fn a_poison_request_is_guilty_after_two_crashes_and_no_bystander_is() {
    let first: Vec<u64> = (0..BATCH).collect();
    // The suspects were spread, so those on the second target are other requests.
    let second: Vec<u64> = std::iter::once(0).chain(100..100 + BATCH).collect();

    let table = after(&[(1, 0, first.clone()), (9, 1, second.clone())]);

    assert_eq!(table.verdict(POISON), Verdict::Guilty { crashes: 2 });
    let bystanders: BTreeSet<u64> = first.into_iter().chain(second).skip(1).collect();
    for request in bystanders.into_iter().filter(|&request| request != 0) {
        let verdict = table.verdict(Fingerprint(request));
        assert!(!matches!(verdict, Verdict::Guilty { .. }));
    }
}

#[rstest]
fn a_companion_at_both_crashes_is_told_apart_by_the_third() {
    let pair = vec![0, 1, 2];
    let two = after(&[(1, 0, pair.clone()), (9, 1, vec![0, 1, 50])]);
    assert_eq!(two.verdict(POISON), Verdict::Suspect { crashes: 2 });
    assert_eq!(two.verdict(Fingerprint(1)), Verdict::Suspect { crashes: 2 });

    let three = after(&[(1, 0, pair), (9, 1, vec![0, 1, 50]), (15, 2, vec![0, 60])]);

    assert_eq!(three.verdict(POISON), Verdict::Guilty { crashes: 3 });
    assert_eq!(
        three.verdict(Fingerprint(1)),
        Verdict::Suspect { crashes: 2 }
    );
}

#[rstest]
fn the_loss_of_many_targets_at_once_is_no_evidence() {
    let crashes: Vec<(u64, usize, Vec<u64>)> = (0..6).map(|at| (1, at, vec![0])).collect();

    let table = after(&crashes);

    assert_eq!(table.verdict(POISON), Verdict::Clear);
}

#[rstest]
fn a_request_that_ran_to_its_end_is_cleared() {
    let mut table = after(&[(1, 0, vec![0, 1]), (9, 1, vec![0, 2])]);

    table.finished(POISON);

    assert_eq!(table.verdict(POISON), Verdict::Clear);
}

#[rstest]
fn a_repeat_is_refused_after_two_crashes_here_and_after_three_elsewhere() {
    let mut here = after(&[(1, 0, vec![0]), (9, 1, vec![0])]);
    let elsewhere = after(&[(1, 0, vec![0]), (9, 1, vec![0])]);
    let third = after(&[(1, 0, vec![0]), (9, 1, vec![0]), (20, 2, vec![0])]);

    here.convict(POISON);

    assert!(here.is_refused(POISON));
    assert!(!elsewhere.is_refused(POISON));
    assert!(third.is_refused(POISON));
}

#[rstest]
fn a_report_that_comes_again_counts_once() {
    let mut table = after(&[(1, 0, vec![0])]);
    let known = BTreeMap::from([(0, vec![vec![0]])]);

    table.observe(Time(2_000_000), &view(&known));

    assert_eq!(table.verdict(POISON), Verdict::Suspect { crashes: 1 });
}

#[rstest]
fn the_table_is_bounded_and_forgets() {
    let limits = SuspicionLimits::default();
    let mut table = SuspicionTable::new(limits.clone());
    let crashes = (0..limits.capacity + 50)
        .map(|at| vec![at as u64])
        .collect();
    let known = BTreeMap::from([(0, crashes)]);

    table.observe(Time(0), &view(&known));
    assert_eq!(table.len(), limits.capacity);

    let later = Time(0) + limits.memory + Duration::from_secs(1);
    table.observe(later, &view(&BTreeMap::new()));
    assert!(table.is_empty());
}

#[rstest]
#[case(Verdict::Clear, 2)]
#[case(Verdict::Suspect { crashes: 1 }, 2)]
#[case(Verdict::Suspect { crashes: 2 }, 1)]
#[case(Verdict::Guilty { crashes: 3 }, 1)]
fn one_earlier_crash_does_not_judge_a_new_call_sooner(
    #[case] verdict: Verdict,
    #[case] expected: u32,
) {
    assert_eq!(verdict.crashes_left(2), expected);
}
