//! Distributes directory changes from the few entries that watch it to all others.
//!
//! Each call to the key-value service is charged and its rate is bounded, so only some entries
//! watch it, and one of these forwards the changes. Datagrams may be lost, so each change is sent more than once
//! and carries the revision of the change before it. An entry that finds a gap waits for
//! the next messages, asks the watcher that knows more for the changes that it lacks, and reads the
//! directory itself only if that fails.

use std::collections::VecDeque;
use std::time::Duration;

use cw_types::Time;
use cw_wire::DirectoryChange;
use cw_wire::DirectoryUpdate;

use super::Fleet;

/// The number of messages that include a change. An entry that loses all of them asks for the change.
const MAX_SENDS: u32 = 2;

/// The maximum number of changes in one message, which must fit into a datagram. Of more changes at one revision, none
/// is sent, and the other entries ask for them.
const MAX_CHANGES: usize = 128;

/// The maximum number of changes that are kept for entries that miss some.
const MAX_HISTORY: usize = 1024;

/// How long an entry that misses changes waits for them. A watcher that does not send changes may tell its
/// last one before they arrive, and the next message repeats them within 200 ms.
const GAP_DELAY: Duration = Duration::from_millis(300);

/// The step that follows a [`DirectoryUpdate`] message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryUpdateStep {
    /// Do nothing, because the message contains no new change.
    Nothing,
    /// Apply these new changes, which directly follow the last known revision.
    Apply(Vec<DirectoryChange>),
    /// Ask the sender for the changes since the last known revision, because some are missing.
    Missing,
}

/// A change, and the number of messages that have included it.
#[derive(Clone, Debug)]
struct KnownChange {
    change: DirectoryChange,
    sends: u32,
}

/// The directory changes that an entry knows of.
#[derive(Clone, Debug, Default)]
pub struct DirectoryLog {
    /// The revision as of which the directory is known.
    newest: i64,
    /// The revision of the last known change. Reads by several entries have different revisions even if
    /// nothing has changed between, so the entries compare this one.
    last_change: i64,
    history: VecDeque<KnownChange>,
    /// Since when changes are missing.
    behind_since: Option<Time>,
    left_out: usize,
}

impl DirectoryLog {
    /// Records that the whole directory was read at `revision`, and that `last_change` is the newest
    /// change in it. What was known before is replaced.
    pub fn record_read(&mut self, revision: i64, last_change: i64) {
        if revision > self.newest {
            self.newest = revision;
            self.last_change = last_change;
            // The individual changes up to this revision are unknown.
            self.history.clear();
        }
        self.behind_since = None;
    }

    /// Records that the whole directory was read at `revision`, with the differences from what was known
    /// before. They are sent like changes, so that the other entries need not read the directory too.
    pub fn record_differences(
        &mut self,
        revision: i64,
        differences: Vec<(String, Option<bytes::Bytes>)>,
    ) {
        for (key, value) in differences {
            self.record_change(&key, value, revision);
        }
        self.newest = self.newest.max(revision);
        self.behind_since = None;
    }

    /// Records a change that this entry's own watch delivered. Returns whether it is new: a read of the whole directory may have
    /// shown it before, together with what has followed.
    pub fn record_change(&mut self, key: &str, value: Option<bytes::Bytes>, revision: i64) -> bool {
        let last = self.history.back().map(|known| &known.change);
        // One transaction of the key-value service may change several keys at the same revision.
        let previous = match last {
            Some(last) if last.revision == revision => last.previous,
            _ if revision <= self.newest => return false,
            _ => self.last_change,
        };
        self.newest = revision;
        self.last_change = revision;
        self.keep(KnownChange {
            change: DirectoryChange {
                previous,
                revision,
                key: key.to_owned(),
                value,
            },
            sends: 0,
        });
        true
    }

    /// Returns the message for the other entries, with the changes that have not been sent often enough.
    pub fn update(&mut self, now: Time, fleet: &Fleet, config: u64) -> DirectoryUpdate {
        let mut update = self.digest(now, fleet, config);
        let unsent = self.history.iter().rev();
        let unsent = unsent.take_while(|known| known.sends < MAX_SENDS).count();
        let due = self.history.len() - unsent;
        let first = self.next_revision_start(self.history.len() - unsent.min(MAX_CHANGES));
        for (index, known) in self.history.iter_mut().enumerate().skip(due) {
            known.sends += 1;
            if index >= first {
                update.changes.push(known.change.clone());
            }
        }
        self.left_out = first - due;
        update
    }

    /// Returns the number of changes that the last message had no room for.
    pub fn left_out(&self) -> usize {
        self.left_out
    }

    /// Returns the message for the other entries without any changes.
    pub fn digest(&self, now: Time, fleet: &Fleet, config: u64) -> DirectoryUpdate {
        DirectoryUpdate {
            up: fleet.is_directory_up(),
            trusted: fleet.is_trusted(now),
            config,
            newest: self.last_change,
            changes: Vec::new(),
            known: self.newest,
            config_age: None,
            targets_age: None,
        }
    }

    /// Records that all changes up to `revision` are known. Another entry's word counts only if its last change
    /// is known here.
    pub fn record_known(&mut self, revision: i64) {
        self.newest = self.newest.max(revision);
    }

    /// Returns all changes after `revision`, `None` if they are not known any more.
    pub fn changes_since(&self, revision: i64) -> Option<Vec<DirectoryChange>> {
        let known = self.history.iter().map(|known| &known.change);
        let missing: Vec<DirectoryChange> = known
            .filter(|change| change.revision > revision)
            .cloned()
            .collect();
        let first = missing.first()?;
        (first.previous <= revision).then_some(missing)
    }

    /// Processes a message of another entry.
    pub fn receive(&mut self, now: Time, update: &DirectoryUpdate) -> DirectoryUpdateStep {
        if update.newest <= self.newest {
            return DirectoryUpdateStep::Nothing;
        }
        let new: Vec<DirectoryChange> = update
            .changes
            .iter()
            .filter(|change| change.revision > self.newest)
            .cloned()
            .collect();
        let follows = new
            .first()
            .is_some_and(|change| change.previous <= self.newest);
        let ends = new
            .last()
            .is_some_and(|change| change.revision == update.newest);
        if !follows || !ends {
            self.behind_since.get_or_insert(now);
            return DirectoryUpdateStep::Missing;
        }
        self.newest = update.newest;
        self.last_change = update.newest;
        self.behind_since = None;
        for change in &new {
            // The watchers send it to the others.
            self.keep(KnownChange {
                change: change.clone(),
                sends: MAX_SENDS,
            });
        }
        DirectoryUpdateStep::Apply(new)
    }

    /// Returns the position at or after `index` at which the changes of a revision begin. Changes of one revision are told
    /// together, since an entry that knows some of them counts as knowing all.
    fn next_revision_start(&self, index: usize) -> usize {
        let revision_at = |index: usize| self.history.get(index).map(|known| known.change.revision);
        let before = index.checked_sub(1).and_then(revision_at);
        let is_same = |index: &usize| before.is_some() && revision_at(*index) == before;
        index + (index..self.history.len()).take_while(is_same).count()
    }

    fn keep(&mut self, known: KnownChange) {
        self.history.push_back(known);
        let excess = self.history.len().saturating_sub(MAX_HISTORY);
        if excess > 0 {
            let first = self.next_revision_start(excess);
            self.history.drain(..first);
        }
    }

    /// Returns whether the whole directory as of `revision` may be applied. An answer that was under
    /// way while newer changes were applied would undo them.
    pub fn accepts_read(&self, revision: i64) -> bool {
        revision >= self.newest
    }

    /// Returns the revision as of which the directory is known, 0 if it is not.
    pub fn newest(&self) -> i64 {
        self.newest
    }

    /// Returns the revision of the last known change.
    pub fn last_change(&self) -> i64 {
        self.last_change
    }

    /// Returns when changes will have been missing for so long that this entry has to ask for them, `None` if
    /// none is missing.
    pub fn behind_at(&self) -> Option<Time> {
        self.behind_since.map(|since| since + GAP_DELAY)
    }

    /// Returns whether changes have been missing for so long that this entry has to ask for them.
    pub fn is_behind(&self, now: Time) -> bool {
        (self.behind_since).is_some_and(|since| now.since(since) >= GAP_DELAY)
    }
}
