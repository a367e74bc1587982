//! Tests that entries that do not watch the directory miss no change, whichever datagrams are lost.

use bytes::Bytes;
use cw_policy::forward::DirectoryLog;
use cw_policy::forward::DirectoryUpdateStep;
use cw_policy::forward::Fleet;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::BTreeMap;

use crate::fixtures::at;
use crate::fixtures::fleet;

/// Creates a fleet whose directory answers.
fn answering_fleet() -> Fleet {
    fleet(1, 1)
}

fn value(text: &str) -> Option<Bytes> {
    Some(Bytes::copy_from_slice(text.as_bytes()))
}

#[test]
fn changes_are_applied_in_order_and_once() {
    let (mut watcher, mut other) = (DirectoryLog::default(), DirectoryLog::default());
    watcher.record_read(10);
    other.record_read(10);
    watcher.record_change(at(0), "a", value("1"), 11);
    watcher.record_change(at(1), "a", None, 14);

    let step = other.receive(&watcher.update(at(2), &answering_fleet(), 1));
    let again = other.receive(&watcher.update(at(3), &answering_fleet(), 1));

    let DirectoryUpdateStep::Apply(changes) = step else {
        panic!("{step:?}");
    };
    let revisions: Vec<i64> = changes.iter().map(|change| change.revision).collect();
    assert_eq!(revisions, vec![11, 14]);
    assert_eq!(again, DirectoryUpdateStep::Nothing);
}

/// Guards against an answer with the whole directory that was under way while a newer change came
/// through another entry: it would revert that a target is leaving, or list one that is gone.
#[test]
fn the_whole_directory_is_applied_only_if_no_newer_change_is_known() {
    let (mut watcher, mut other) = (DirectoryLog::default(), DirectoryLog::default());
    watcher.record_read(10);
    other.record_read(10);
    watcher.record_change(at(0), "a", value("1"), 12);

    other.receive(&watcher.update(at(1), &answering_fleet(), 1));

    assert!(!other.accepts_read(11));
    assert!(other.accepts_read(12));
    assert!(DirectoryLog::default().accepts_read(0));
}

#[test]
fn a_missing_change_makes_an_entry_read_the_directory() {
    let (mut watcher, mut other) = (DirectoryLog::default(), DirectoryLog::default());
    watcher.record_read(10);
    other.record_read(10);
    watcher.record_change(at(0), "a", value("1"), 11);
    // The first change is too old to be in the next message that arrives.
    watcher.record_change(at(5000), "b", value("1"), 15);

    let step = other.receive(&watcher.update(at(5000), &answering_fleet(), 1));

    assert_eq!(step, DirectoryUpdateStep::Reread);
    assert!(other.is_behind());
    other.record_read(15);
    assert!(!other.is_behind());
}

#[test]
fn a_full_read_by_the_watcher_makes_the_others_read_the_directory() {
    let (mut watcher, mut other) = (DirectoryLog::default(), DirectoryLog::default());
    watcher.record_read(10);
    other.record_read(10);

    watcher.record_read(20);

    assert_eq!(
        other.receive(&watcher.update(at(0), &answering_fleet(), 1)),
        DirectoryUpdateStep::Reread
    );
}

#[test]
fn one_revision_may_change_several_keys() {
    let (mut watcher, mut other) = (DirectoryLog::default(), DirectoryLog::default());
    watcher.record_read(10);
    other.record_read(10);
    for key in ["a", "b", "c"] {
        watcher.record_change(at(0), key, None, 11);
    }

    let step = other.receive(&watcher.update(at(1), &answering_fleet(), 1));

    let DirectoryUpdateStep::Apply(changes) = step else {
        panic!("{step:?}");
    };
    assert_eq!(changes.len(), 3);
}

/// The directory changes at random, and an entry loses most of the watcher's messages. After each
/// message that the entry receives, and the read that may follow, it must have the same state as
/// the watcher.
#[test]
fn any_loss_of_messages_leads_to_the_same_state() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut expected: BTreeMap<String, Bytes> = BTreeMap::new();
        let mut actual: BTreeMap<String, Bytes> = BTreeMap::new();
        let (mut watcher, mut other) = (DirectoryLog::default(), DirectoryLog::default());
        let mut revision = 1;
        for step in 0..300 {
            let now = at(step * 100);
            revision += rng.random_range(1..4);
            let key = format!("k{}", rng.random_range(0..6));
            let new = rng
                .random_bool(0.7)
                .then(|| Bytes::from(format!("{revision}")));
            match &new {
                Some(new) => expected.insert(key.clone(), new.clone()),
                None => expected.remove(&key),
            };
            watcher.record_change(now, &key, new, revision);
            if rng.random_bool(0.6) {
                continue;
            }
            match other.receive(&watcher.update(now, &answering_fleet(), 1)) {
                DirectoryUpdateStep::Nothing => {}
                DirectoryUpdateStep::Reread => {
                    actual = expected.clone();
                    other.record_read(revision);
                }
                DirectoryUpdateStep::Apply(changes) => {
                    for change in changes {
                        match change.value {
                            Some(new) => actual.insert(change.key, new),
                            None => actual.remove(&change.key),
                        };
                    }
                }
            }
            assert_eq!(actual, expected, "seed {seed}, step {step}");
        }
    }
}

/// Guards against stale targets when the store rejects the calls of one entry while engines leave:
/// the other entries must still trust the directory, and that entry must not keep targets that the
/// others have dropped.
#[test]
fn the_directory_is_trusted_only_after_it_has_answered_long_enough() {
    let mut log = DirectoryLog::default();
    let mut fleet = fleet(1, 1);

    let trusted = log.update(at(10_000), &fleet, 1);
    fleet.record_directory_failure();
    let failed = log.update(at(10_000), &fleet, 1);
    fleet.record_directory_answer(at(11_000));
    let recovered = log.update(at(11_100), &fleet, 1);
    let later = log.update(at(13_100), &fleet, 1);

    assert!(trusted.up && trusted.trusted);
    assert!(!failed.up && !failed.trusted);
    assert!(recovered.up && !recovered.trusted);
    assert!(later.up && later.trusted);
}
