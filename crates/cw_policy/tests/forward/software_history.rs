//! Tests of what an entry knows of the versions that began streams before it started: a caller may take up a stream
//! after the death of all entries, and is refused where its version is a guess.

use std::collections::BTreeSet;
use std::time::Duration;

use cw_policy::forward::EarlierSoftware;
use cw_policy::forward::Fleet;
use cw_policy::forward::Listing;
use cw_types::ServiceName;
use cw_wire::SoftwareHash;

use crate::fixtures::at;
use crate::fixtures::fleet;
use crate::fixtures::listing;
use crate::fixtures::name;

/// The longest time that a caller waits for a stream.
const STREAM_LIFE: Duration = Duration::from_secs(30);

/// Returns engine `number` with a version.
fn versioned(number: usize, version: &str) -> Listing {
    Listing {
        version: name(version),
        ..listing(0, number)
    }
}

fn version(text: &str) -> SoftwareHash {
    versioned(0, text).software()
}

/// Returns what entries have persisted that knew `text` as the only version.
fn only(text: &str) -> EarlierSoftware {
    EarlierSoftware::Only(BTreeSet::from([version(text)]))
}

/// Creates the fleet of an entry that has just started and has read the directory.
fn started(engines: &[(usize, &str)], earlier: EarlierSoftware) -> Fleet {
    let mut fleet = fleet(0, 0);
    for (number, version) in engines {
        fleet.record_listing(at(100), versioned(*number, version));
    }
    fleet.restore_software(at(90), earlier);
    fleet.confirm_targets(at(110));
    fleet
}

fn found(fleet: &Fleet, now: u64) -> Option<SoftwareHash> {
    let service: ServiceName = name("engines");
    let only = fleet.only_software(at(now), &service, STREAM_LIFE);
    only.or_else(|| fleet.restored_software(at(now), &service))
}

/// Guards against refusing all streams after a loss of all entries while there is one version, the usual case.
#[test]
fn the_only_version_is_known_after_the_loss_of_all_entries() {
    let fleet = started(&[(0, "v1"), (1, "v1")], only("v1"));

    assert_eq!(found(&fleet, 120), Some(version("v1")));
    assert_eq!(
        fleet.only_versions(at(120), STREAM_LIFE),
        BTreeSet::from([version("v1")]),
        "the next loss of all entries finds it too"
    );
}

/// Guards against the same at the first loss: no stream has begun before the entries started for the first time.
#[test]
fn no_stream_is_older_than_the_first_start() {
    let fleet = started(&[(0, "v1"), (1, "v1")], EarlierSoftware::Nothing);

    assert_eq!(found(&fleet, 120), Some(version("v1")));
}

/// Guards against a guess: two versions served before the loss of all entries, or one of them has left since.
#[test]
fn what_two_versions_may_have_begun_stays_unknown() {
    let persisted = EarlierSoftware::Only(BTreeSet::new());
    let cases = [
        started(&[(0, "v1"), (1, "v2")], only("v1")),
        started(&[(0, "v2")], only("v1")),
        started(&[(0, "v2")], persisted),
        started(&[(0, "v1")], EarlierSoftware::Unknown),
    ];

    for fleet in cases {
        assert_eq!(found(&fleet, 120), None);
        assert_eq!(found(&fleet, 2000), None);
    }
}

/// Guards against what was persisted outliving the first change: a release after the start.
#[test]
fn a_second_version_ends_the_certainty_for_the_life_of_a_stream() {
    let mut fleet = started(&[(0, "v1"), (1, "v1")], only("v1"));
    let before = fleet.software_changes();

    fleet.record_listing(at(200), versioned(2, "v2"));
    let mixed = found(&fleet, 210);
    fleet.confirm_targets(at(1000));
    fleet.record_removal(at(2500), &versioned(2, "v2").id);
    fleet.confirm_targets(at(2500));
    let removed = found(&fleet, 2510);

    assert!(fleet.software_changes() > before, "the change is persisted");
    assert_eq!(mixed, None);
    assert_eq!(removed, None, "a stream of the other version may go on");
    assert!(fleet.only_versions(at(2510), STREAM_LIFE).is_empty());
}

/// Guards against trust in what was persisted after the directory could not be read for a while, in which a version
/// may have come and gone.
#[test]
fn a_gap_in_the_knowledge_of_the_directory_ends_the_certainty() {
    let mut fleet = started(&[(0, "v1")], only("v1"));

    let before = found(&fleet, 120);
    fleet.confirm_targets(at(10_000));

    assert_eq!(before, Some(version("v1")));
    assert_eq!(found(&fleet, 10_010), None);
    assert!(fleet.had_several(&name("engines")), "other entries hear it");
}

/// Guards against a value that was read long before the directory: a version may have come and gone meanwhile.
#[test]
fn a_late_read_of_the_directory_ends_the_certainty() {
    let mut fleet = fleet(0, 0);
    fleet.restore_software(at(90), only("v1"));
    fleet.record_listing(at(5000), versioned(0, "v1"));
    fleet.confirm_targets(at(5010));

    assert_eq!(found(&fleet, 5020), None);
}

/// Guards against a service that appears after a gap being taken for one that was never without its targets.
#[test]
fn a_service_that_appears_after_a_gap_is_not_certain() {
    let mut fleet = started(&[], only("v1"));

    fleet.confirm_targets(at(10_000));
    fleet.record_listing(at(10_100), versioned(0, "v1"));

    assert_eq!(found(&fleet, 10_110), None);
}

/// Guards against an entry that starts beside others and goes by an older value: those that have known two versions
/// say so.
#[test]
fn an_entry_that_has_known_two_versions_says_so() {
    let mut fleet = started(&[(0, "v1"), (1, "v2")], EarlierSoftware::Nothing);
    let service: ServiceName = name("engines");

    fleet.confirm_targets(at(2000));
    fleet.record_removal(at(2500), &versioned(1, "v2").id);

    assert!(fleet.had_several(&service));
    assert!(!started(&[(0, "v1")], EarlierSoftware::Unknown).had_several(&service));
}

/// Guards against streams that are joined from two versions: the directory and what was persisted have both come back from a
/// copy that is older than the second version, whose targets do not register again.
#[test]
fn an_older_copy_does_not_tell_what_has_begun_streams() {
    let mut joined = started(&[(0, "v1")], only("v1"));
    let mut alone = joined.clone();

    for fleet in [&mut joined, &mut alone] {
        fleet.doubt_restored();
    }
    let at_once = [found(&joined, 120), found(&alone, 120)];
    joined.record_listing(at(900), versioned(1, "v2"));
    let lives = u64::try_from(STREAM_LIFE.as_millis()).unwrap();
    let mut early = Vec::new();
    for now in (1000..lives + 1000).step_by(500) {
        for fleet in [&mut joined, &mut alone] {
            fleet.confirm_targets(at(now));
            early.extend((now < lives).then(|| found(fleet, now)));
            let persisted = fleet.only_versions(at(now), STREAM_LIFE);
            assert!(now >= lives || persisted.is_empty(), "{persisted:?}");
        }
    }

    assert_eq!(at_once, [None, None]);
    assert!(early.iter().all(Option::is_none), "{early:?}");
    assert_eq!(found(&joined, lives + 600), None);
    assert_eq!(
        found(&alone, lives + 600),
        Some(version("v1")),
        "no stream is older"
    );
}

/// Guards against the same at a first start: the key may have been lost with the directory.
#[test]
fn a_lost_key_does_not_tell_that_no_stream_has_begun() {
    let mut fleet = started(&[(0, "v1")], EarlierSoftware::Nothing);

    fleet.doubt_restored();

    assert_eq!(found(&fleet, 120), None);
}
