//! Tests that entries that do not watch the directory miss no change, whichever datagrams are lost.

use bytes::Bytes;
use cw_policy::forward::DirectoryLog;
use cw_policy::forward::DirectoryUpdateStep;
use cw_policy::forward::Fleet;
use cw_wire::DirectoryChange;
use cw_wire::DirectoryUpdate;
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
    watcher.record_read(10, 10);
    other.record_read(10, 10);
    watcher.record_change("a", value("1"), 11);
    watcher.record_change("a", None, 14);

    let step = other.receive(at(2), &watcher.update(at(2), &answering_fleet(), 1));
    let again = other.receive(at(3), &watcher.update(at(3), &answering_fleet(), 1));

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
    watcher.record_read(10, 10);
    other.record_read(10, 10);
    watcher.record_change("a", value("1"), 12);

    other.receive(at(1), &watcher.update(at(1), &answering_fleet(), 1));

    assert!(!other.accepts_read(11));
    assert!(other.accepts_read(12));
    assert!(DirectoryLog::default().accepts_read(0));
}

#[test]
fn an_entry_that_misses_changes_gets_them_from_the_watcher() {
    let (mut watcher, mut other) = (DirectoryLog::default(), DirectoryLog::default());
    watcher.record_read(10, 10);
    other.record_read(10, 10);
    watcher.record_change("a", value("1"), 11);
    for _ in 0..2 {
        // These messages are lost.
        watcher.update(at(0), &answering_fleet(), 1);
    }
    watcher.record_change("b", value("1"), 15);
    let step = other.receive(at(100), &watcher.update(at(100), &answering_fleet(), 1));

    let is_behind = [other.is_behind(at(200)), other.is_behind(at(400))];
    let missing = DirectoryUpdate {
        changes: watcher.changes_since(other.newest()).unwrap(),
        ..watcher.digest(at(400), &answering_fleet(), 1)
    };
    let applied = other.receive(at(410), &missing);

    assert_eq!(step, DirectoryUpdateStep::Missing);
    assert_eq!(is_behind, [false, true], "the other watcher may still tell");
    assert_eq!(applied, DirectoryUpdateStep::Apply(missing.changes));
    assert!(!other.is_behind(at(5000)));
}

/// Guards against hundreds of entries that read the directory because one watcher has read it again,
/// after a failed call or when the store has forgotten its history.
#[test]
fn a_full_read_by_a_watcher_is_told_as_its_differences() {
    let (mut watcher, mut other) = (DirectoryLog::default(), DirectoryLog::default());
    watcher.record_read(10, 10);
    other.record_read(10, 10);

    watcher.record_differences(20, vec![("a".to_owned(), value("1"))]);
    let step = other.receive(at(0), &watcher.update(at(0), &answering_fleet(), 1));
    watcher.record_differences(30, Vec::new());
    let same = other.receive(at(1), &watcher.update(at(1), &answering_fleet(), 1));

    assert!(matches!(step, DirectoryUpdateStep::Apply(changes) if changes.len() == 1));
    assert_eq!(same, DirectoryUpdateStep::Nothing);
    assert!(watcher.accepts_read(30) && !watcher.accepts_read(29));
}

/// Guards against entries that read the directory because two of them have read it at different revisions
/// between which nothing has changed.
#[test]
fn reads_at_different_revisions_agree_if_nothing_has_changed() {
    let logs = [12, 15].map(|revision| {
        let mut log = DirectoryLog::default();
        log.record_read(revision, 10);
        log
    });
    let [mut early, mut late] = logs;

    let first = early.receive(at(0), &late.update(at(0), &answering_fleet(), 1));
    late.record_change("a", value("1"), 20);
    let second = early.receive(at(1), &late.update(at(1), &answering_fleet(), 1));

    assert_eq!(first, DirectoryUpdateStep::Nothing);
    assert!(matches!(second, DirectoryUpdateStep::Apply(changes) if changes.len() == 1));
}

/// Guards against an entry that asks forever for changes that nobody has: it has read the directory since
/// and found no difference.
#[test]
fn a_read_without_differences_ends_a_gap() {
    let mut log = DirectoryLog::default();
    log.record_read(10, 10);
    let ahead = DirectoryUpdate {
        newest: 14,
        ..log.digest(at(0), &answering_fleet(), 1)
    };
    log.receive(at(0), &ahead);

    log.record_differences(16, Vec::new());

    assert_eq!(log.receive(at(900), &ahead), DirectoryUpdateStep::Nothing);
    assert!(!log.is_behind(at(5000)));
}

/// Guards against an entry that tells what it does not know: after a read without differences from
/// before, the changes up to it are unknown.
#[test]
fn changes_before_a_first_read_are_not_known() {
    let mut log = DirectoryLog::default();
    log.record_read(20, 18);
    log.record_change("b", value("1"), 25);

    assert!(log.changes_since(17).is_none());
    assert!(
        log.changes_since(18).is_some(),
        "nothing has changed in between"
    );
    assert!(log.changes_since(25).is_none(), "there is none");
}

/// Guards against messages that repeat each change many times: with hundreds of entries, that is most of
/// what they send.
#[test]
fn a_change_is_sent_twice() {
    let mut watcher = DirectoryLog::default();
    watcher.record_read(10, 10);
    watcher.record_change("a", value("1"), 11);

    let sent: Vec<usize> = (0..4)
        .map(|step| {
            let update = watcher.update(at(step * 10), &answering_fleet(), 1);
            update.changes.len()
        })
        .collect();

    assert_eq!(sent, vec![1, 1, 0, 0]);
}

#[test]
fn one_revision_may_change_several_keys() {
    let (mut watcher, mut other) = (DirectoryLog::default(), DirectoryLog::default());
    watcher.record_read(10, 10);
    other.record_read(10, 10);
    for key in ["a", "b", "c"] {
        watcher.record_change(key, None, 11);
    }

    let step = other.receive(at(1), &watcher.update(at(1), &answering_fleet(), 1));

    let DirectoryUpdateStep::Apply(changes) = step else {
        panic!("{step:?}");
    };
    assert_eq!(changes.len(), 3);
}

fn apply(targets: &mut BTreeMap<String, Bytes>, changes: Vec<DirectoryChange>) {
    for change in changes {
        match change.value {
            Some(new) => targets.insert(change.key, new),
            None => targets.remove(&change.key),
        };
    }
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
            watcher.record_change(&key, new, revision);
            if rng.random_bool(0.6) {
                continue;
            }
            match other.receive(now, &watcher.update(now, &answering_fleet(), 1)) {
                DirectoryUpdateStep::Nothing => {}
                DirectoryUpdateStep::Missing if rng.random_bool(0.3) => {
                    actual = expected.clone();
                    other.record_read(revision, revision);
                }
                DirectoryUpdateStep::Missing => {
                    let missing = DirectoryUpdate {
                        changes: watcher.changes_since(other.newest()).unwrap(),
                        ..watcher.digest(now, &answering_fleet(), 1)
                    };
                    let DirectoryUpdateStep::Apply(changes) = other.receive(now, &missing) else {
                        panic!("seed {seed}, step {step}: the answer is not complete");
                    };
                    apply(&mut actual, changes);
                }
                DirectoryUpdateStep::Apply(changes) => apply(&mut actual, changes),
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

/// Guards against an entry that takes a part of a watching entry's read for all of it: the differences of a read bear one
/// revision, and more of them than a message holds looked complete, so a target that was leaving stayed in use.
#[test]
fn any_number_of_differences_leads_to_the_same_state() {
    for seed in 0..100 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut expected: BTreeMap<String, Bytes> = BTreeMap::new();
        let mut actual: BTreeMap<String, Bytes> = BTreeMap::new();
        let (mut watcher, mut other) = (DirectoryLog::default(), DirectoryLog::default());
        let mut revision = 1;
        for step in 0..60 {
            let now = at(step * 100);
            let changed = rng.random_range(1..300_usize);
            let differences: Vec<_> = (0..changed)
                .map(|_| {
                    revision += 1;
                    let key = format!("k{}", rng.random_range(0..294));
                    let is_written = rng.random_bool(0.7);
                    (key, is_written.then(|| Bytes::from(format!("{revision}"))))
                })
                .collect::<BTreeMap<_, _>>()
                .into_iter()
                .collect();
            for (key, new) in &differences {
                match new {
                    Some(new) => expected.insert(key.clone(), new.clone()),
                    None => expected.remove(key),
                };
            }
            watcher.record_differences(revision, differences);
            if rng.random_bool(0.3) {
                continue;
            }
            let known = match rng.random_bool(0.5) {
                true => watcher.update(now, &answering_fleet(), 1),
                false => DirectoryUpdate {
                    changes: watcher.changes_since(other.newest()).unwrap_or_default(),
                    ..watcher.digest(now, &answering_fleet(), 1)
                },
            };
            match other.receive(now, &known) {
                DirectoryUpdateStep::Nothing => {}
                DirectoryUpdateStep::Missing => {
                    actual = expected.clone();
                    other.record_read(revision, revision);
                }
                DirectoryUpdateStep::Apply(changes) => apply(&mut actual, changes),
            }
            assert!(actual == expected, "seed {seed}, step {step}");
        }
    }
}

/// Guards against a watch whose answer was under way while the whole directory was read: an older record of a target that the
/// read no longer has made it usable again.
#[test]
fn a_change_that_a_read_has_shown_before_is_not_new() {
    let mut log = DirectoryLog::default();
    log.record_read(10, 10);
    log.record_differences(20, vec![("a".to_owned(), None)]);

    let older = log.record_change("a", value("1"), 15);
    let newer = ["a", "b"].map(|key| log.record_change(key, value("2"), 25));

    assert!(!older);
    assert_eq!(newer, [true, true], "one revision may change several keys");
}
