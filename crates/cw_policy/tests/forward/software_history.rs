//! Tests of what an entry knows of the versions that began streams before it started: a caller may take up a stream
//! after the death of all entries, and is refused where its version is a guess.

use std::collections::BTreeSet;
use std::time::Duration;

use cw_policy::forward::EarlierSoftware;
use cw_policy::forward::Fleet;
use cw_policy::forward::Listing;
use cw_policy::forward::RestoredSoftware;
use cw_types::ServiceName;
use cw_types::StoreEra;
use cw_wire::SoftwareHash;

use crate::fixtures::at;
use crate::fixtures::fleet;
use crate::fixtures::listing;
use crate::fixtures::name;

/// The era of the key-value service, where it does not go back.
const ERA: StoreEra = StoreEra(1);

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

/// Returns a reading of what was persisted in an era.
fn read(software: EarlierSoftware, written_in: u32) -> RestoredSoftware {
    RestoredSoftware {
        software,
        written_in: StoreEra(written_in),
        read_at: at(90),
    }
}

/// Creates the fleet of an entry that has just started and has read the directory.
fn started(engines: &[(usize, &str)], earlier: EarlierSoftware) -> Fleet {
    let mut fleet = fleet(0, 0);
    for (number, version) in engines {
        fleet.record_listing(at(100), versioned(*number, version));
    }
    fleet.restore_software(read(earlier, ERA.0));
    fleet.confirm_targets(at(110), ERA);
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
        Some(BTreeSet::from([version("v1")])),
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
    let mut unread = fleet(0, 0);
    unread.record_listing(at(100), versioned(0, "v1"));
    unread.confirm_targets(at(110), ERA);
    let cases = [
        started(&[(0, "v1"), (1, "v2")], only("v1")),
        started(&[(0, "v2")], only("v1")),
        started(&[(0, "v2")], persisted),
        unread,
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
    fleet.confirm_targets(at(1000), ERA);
    fleet.record_removal(at(2500), &versioned(2, "v2").id);
    fleet.confirm_targets(at(2500), ERA);
    let removed = found(&fleet, 2510);

    assert!(fleet.software_changes() > before, "the change is persisted");
    assert_eq!(mixed, None);
    assert_eq!(removed, None, "a stream of the other version may go on");
    let persisted = fleet.only_versions(at(2510), STREAM_LIFE);
    assert_eq!(persisted, Some(BTreeSet::new()));
}

/// Guards against trust in what was persisted after the directory could not be read for a while, in which a version
/// may have come and gone.
#[test]
fn a_gap_in_the_knowledge_of_the_directory_ends_the_certainty() {
    let mut fleet = started(&[(0, "v1")], only("v1"));

    let before = found(&fleet, 120);
    fleet.confirm_targets(at(10_000), ERA);

    assert_eq!(before, Some(version("v1")));
    assert_eq!(found(&fleet, 10_010), None);
    assert!(fleet.had_several(&name("engines")), "other entries hear it");
}

/// Guards against a value that was read long before the directory: a version may have come and gone meanwhile.
#[test]
fn a_late_read_of_the_directory_ends_the_certainty() {
    let mut fleet = fleet(0, 0);
    fleet.restore_software(read(only("v1"), ERA.0));
    fleet.record_listing(at(5000), versioned(0, "v1"));
    fleet.confirm_targets(at(5010), ERA);

    assert_eq!(found(&fleet, 5020), None);
}

/// Guards against a service that appears after a gap being taken for one that was never without its targets.
#[test]
fn a_service_that_appears_after_a_gap_is_not_certain() {
    let mut fleet = started(&[], only("v1"));

    fleet.confirm_targets(at(10_000), ERA);
    fleet.record_listing(at(10_100), versioned(0, "v1"));

    assert_eq!(found(&fleet, 10_110), None);
}

/// Guards against an entry that starts beside others and goes by an older value: those that have known two versions
/// say so.
#[test]
fn an_entry_that_has_known_two_versions_says_so() {
    let mut fleet = started(&[(0, "v1"), (1, "v2")], EarlierSoftware::Nothing);
    let service: ServiceName = name("engines");

    fleet.confirm_targets(at(2000), ERA);
    fleet.record_removal(at(2500), &versioned(1, "v2").id);

    assert!(fleet.had_several(&service));
    assert!(!started(&[(0, "v1")], EarlierSoftware::Nothing).had_several(&service));
}

/// Guards against streams that are joined from two versions: the directory and what was persisted have both come back from a
/// copy that is older than the second version, whose targets do not register again.
#[test]
fn an_older_copy_does_not_tell_what_has_begun_streams() {
    let mut joined = fleet(0, 0);
    joined.restore_software(read(only("v1"), 1));
    joined.record_listing(at(100), versioned(0, "v1"));
    joined.confirm_targets(at(110), StoreEra(2));
    let mut alone = joined.clone();

    let at_once = [found(&joined, 120), found(&alone, 120)];
    joined.record_listing(at(900), versioned(1, "v2"));
    let lives = u64::try_from(STREAM_LIFE.as_millis()).unwrap();
    let mut early = Vec::new();
    for now in (1000..lives + 1000).step_by(500) {
        for fleet in [&mut joined, &mut alone] {
            fleet.confirm_targets(at(now), StoreEra(2));
            early.extend((now < lives).then(|| found(fleet, now)));
            let persisted = fleet.only_versions(at(now), STREAM_LIFE);
            let is_empty = persisted.as_ref().is_some_and(BTreeSet::is_empty);
            assert!(now >= lives || is_empty, "{persisted:?}");
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
    let mut fleet = fleet(0, 0);
    fleet.restore_software(read(EarlierSoftware::Nothing, 0));
    fleet.record_listing(at(100), versioned(0, "v1"));
    fleet.confirm_targets(at(110), StoreEra(1));

    assert_eq!(found(&fleet, 120), None);
}

/// What an entry does at its start, in any order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum StartStep {
    /// Reads what was persisted.
    Read,
    /// Reads it once more.
    ReadAgain,
    /// Reads the configuration, or hears of another entry.
    LearnEra,
    /// Applies the record of a target.
    List,
    /// Knows all targets.
    Confirm,
}

/// Plays the steps, and returns what is found after each one.
fn play(steps: &[StartStep], written_in: u32, era: StoreEra) -> Vec<Option<SoftwareHash>> {
    let mut fleet = fleet(0, 0);
    let play = |step: &StartStep| {
        match step {
            StartStep::Read | StartStep::ReadAgain => {
                fleet.restore_software(read(only("v1"), written_in));
            }
            StartStep::LearnEra => drop(fleet.record_store_era(at(100), era)),
            StartStep::List => drop(fleet.record_listing(at(100), versioned(0, "v1"))),
            StartStep::Confirm => fleet.confirm_targets(at(110), era),
        }
        found(&fleet, 120)
    };
    steps.iter().map(play).collect()
}

/// Returns all orders of the steps.
fn orders(steps: &[StartStep]) -> Vec<Vec<StartStep>> {
    if steps.is_empty() {
        return vec![Vec::new()];
    }
    let firsts = steps.iter();
    let with_first = |first: &StartStep| {
        let others: Vec<StartStep> = steps
            .iter()
            .filter(|step| *step != first)
            .copied()
            .collect();
        let orders = orders(&others).into_iter();
        orders
            .map(|order| [&[*first], order.as_slice()].concat())
            .collect::<Vec<_>>()
    };
    firsts.flat_map(with_first).collect()
}

/// Guards against streams that are joined from two versions: what was persisted in an earlier era was read a second time after
/// it had been found not to hold, and counted again.
#[test]
fn no_order_of_reads_makes_what_an_earlier_era_has_left_certain() {
    let steps = [
        StartStep::Read,
        StartStep::ReadAgain,
        StartStep::LearnEra,
        StartStep::List,
        StartStep::Confirm,
    ];
    let orders = orders(&steps);

    for order in &orders {
        let outdated = play(order, 1, StoreEra(2));
        let current = play(order, 2, StoreEra(2));

        assert!(outdated.iter().all(Option::is_none), "{order:?}");
        assert_eq!(current.last(), Some(&Some(version("v1"))), "{order:?}");
    }
    assert_eq!(orders.len(), 120);
}

/// Guards against the same by a read that comes later: an entry that becomes the writer reads what was persisted long after its
/// start.
#[test]
fn a_late_read_of_an_older_value_does_not_replace_a_newer_one() {
    let service: ServiceName = name("engines");
    let mut fleet = fleet(0, 0);
    fleet.restore_software(read(EarlierSoftware::Only(BTreeSet::new()), 2));
    fleet.record_listing(at(100), versioned(0, "v1"));
    fleet.confirm_targets(at(110), StoreEra(2));

    for written_in in [1, 2] {
        fleet.restore_software(read(only("v1"), written_in));
        assert_eq!(fleet.restored_software(at(120), &service), None);
    }
}

/// Guards against a version that has come after the copy and left no trace: this entry has missed it, and the entries that used
/// it are lost.
#[test]
fn an_entry_is_not_certain_of_what_it_missed_before_the_service_went_back() {
    let mut fleet = started(&[(0, "v1")], only("v1"));
    let lives = u64::try_from(STREAM_LIFE.as_millis()).unwrap();
    for now in (1000..lives + 1000).step_by(500) {
        fleet.confirm_targets(at(now), ERA);
    }
    let before = [found(&fleet, 120), found(&fleet, lives + 600)];

    let has_gone_back = fleet.record_store_era(at(lives + 1000), StoreEra(2));
    fleet.confirm_targets(at(lives + 1500), StoreEra(2));
    fleet.restore_software(read(only("v1"), 2));

    assert_eq!(before, [Some(version("v1")); 2]);
    assert!(has_gone_back);
    assert_eq!(found(&fleet, lives + 1600), None);
}
