//! Requests that crash their targets are told from those that were only there.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cw_policy::Liveness;
use cw_policy::SuspicionLimits;
use cw_policy::SuspicionTable;
use cw_policy::TargetView;
use cw_policy::Verdict;
use cw_policy::View;
use cw_types::Incarnation;
use cw_types::Target;
use cw_types::TargetKind;
use cw_types::Time;
use cw_wire::CrashReport;
use cw_wire::Fingerprint;
use cw_wire::Load;
use rstest::rstest;

const POISON: Fingerprint = Fingerprint(1);

/// Returns a target whose engine crashed once with these suspects, named by numbers.
fn target(suspects: &str) -> TargetView {
    let suspects = suspects.split(' ').map(|number| {
        let number = number.parse().expect("a number");
        Fingerprint(number)
    });
    let crash = CrashReport {
        sequence: 1,
        suspects: suspects.collect(),
    };
    TargetView {
        target: Target {
            agent: SocketAddr::from(([127, 0, 0, 1], 1)),
            host: "host".parse().expect("a name"),
            zone: "zone".parse().expect("a name"),
            region: "region".parse().expect("a name"),
            kind: TargetKind::Engine,
            fenced: false,
            versions: BTreeMap::new(),
        },
        liveness: Liveness::Alive,
        incarnation: Incarnation(1),
        load: Load::default(),
        reported: Time(0),
        returned: Time(0),
        versions: BTreeMap::new(),
        crashes: vec![crash],
    }
}

/// Returns a table that has seen these suspects crash one target each, all at once.
fn table(crashes: &str) -> SuspicionTable {
    let mut view = View::default();
    for (number, suspects) in crashes.split(", ").enumerate() {
        let id = format!("engine-{number}").parse().expect("a name");
        view.targets.insert(id, target(suspects));
    }
    let mut table = SuspicionTable::new(SuspicionLimits::default());
    table.observe(Time(0), &view);
    table
}

#[rstest]
#[case("1 2 3", Verdict::Suspect { crashes: 1 })]
#[case("1 2 3, 1 4", Verdict::Guilty)]
#[case("1 2, 1 2", Verdict::Suspect { crashes: 2 })]
#[case("2, 3", Verdict::Clear)]
fn the_one_request_in_every_crash_is_guilty(#[case] crashes: &str, #[case] expected: Verdict) {
    assert_eq!(table(crashes).verdict(POISON), expected);
}

#[rstest]
fn the_loss_of_many_targets_is_no_evidence() {
    let table = table("1 2, 3, 4, 5");

    assert_eq!(table.verdict(POISON), Verdict::Clear);
}

#[rstest]
fn a_request_that_crashes_many_targets_in_no_time_is_still_guilty() {
    let table = table("1 2, 1 3, 1 4, 1 5, 1");

    assert_eq!(table.verdict(POISON), Verdict::Guilty);
}

#[rstest]
fn a_request_that_goes_on_elsewhere_leaves_the_other_alone() {
    let mut table = table("1 2, 1 2");

    table.finished(Fingerprint(2));

    assert_eq!(table.verdict(POISON), Verdict::Guilty);
    assert_eq!(table.verdict(Fingerprint(2)), Verdict::Clear);
}
