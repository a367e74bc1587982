//! Distributes directory changes from the few entries that watch it to all others.
//!
//! Each call to the key-value service is charged and its rate is bounded, so only some entries
//! watch it and forward the changes. Datagrams may be lost, so each change is sent more than once
//! and carries the revision of the change before it. An entry that finds a gap reads the directory
//! itself.

use std::collections::VecDeque;
use std::time::Duration;

use cw_types::Time;
use cw_wire::DirectoryChange;
use cw_wire::DirectoryUpdate;

use super::Fleet;

/// How long a change is included in messages. The time covers several messages in a row.
const RESEND_TIME: Duration = Duration::from_millis(900);

/// The maximum number of changes in one message. An entry that misses older ones reads the
/// directory.
const MAX_CHANGES: usize = 128;

/// The step that follows a [`DirectoryUpdate`] message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryUpdateStep {
    /// Do nothing, because the message contains no new change.
    Nothing,
    /// Apply these new changes, which directly follow the last known revision.
    Apply(Vec<DirectoryChange>),
    /// Read the whole directory, because changes are missing.
    Reread,
}

/// The directory changes that an entry knows of.
#[derive(Clone, Debug, Default)]
pub struct DirectoryLog {
    newest: i64,
    recent: VecDeque<(Time, DirectoryChange)>,
    behind: bool,
}

impl DirectoryLog {
    /// Records that the whole directory was read at `revision`.
    pub fn record_read(&mut self, revision: i64) {
        if revision > self.newest {
            self.newest = revision;
            // The individual changes up to this revision are unknown.
            self.recent.clear();
        }
        self.behind = false;
    }

    /// Records a change that this entry's own watch delivered.
    pub fn record_change(
        &mut self,
        now: Time,
        key: &str,
        value: Option<bytes::Bytes>,
        revision: i64,
    ) {
        let last = self.recent.back().map(|(_, change)| change);
        // One transaction of the key-value service may change several keys at the same revision.
        let previous = match last {
            Some(last) if last.revision == revision => last.previous,
            _ if revision <= self.newest => return,
            _ => self.newest,
        };
        let change = DirectoryChange {
            previous,
            revision,
            key: key.to_owned(),
            value,
        };
        self.newest = revision;
        self.recent.push_back((now, change));
        while self.recent.len() > MAX_CHANGES {
            self.recent.pop_front();
        }
    }

    /// Drops the changes that have been sent for long enough, and returns the message for the other
    /// entries.
    pub fn update(&mut self, now: Time, fleet: &Fleet, config: u64) -> DirectoryUpdate {
        while let Some((at, _)) = self.recent.front()
            && now.since(*at) > RESEND_TIME
        {
            self.recent.pop_front();
        }
        DirectoryUpdate {
            up: fleet.is_directory_up(),
            trusted: fleet.is_trusted(now),
            config,
            newest: self.newest,
            changes: self
                .recent
                .iter()
                .map(|(_, change)| change.clone())
                .collect(),
        }
    }

    /// Processes a message of another entry.
    pub fn receive(&mut self, update: &DirectoryUpdate) -> DirectoryUpdateStep {
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
            self.behind = true;
            return DirectoryUpdateStep::Reread;
        }
        self.newest = update.newest;
        DirectoryUpdateStep::Apply(new)
    }

    /// Returns whether the whole directory as of `revision` may be applied. An answer that was under
    /// way while newer changes were applied would undo them.
    pub fn accepts_read(&self, revision: i64) -> bool {
        revision >= self.newest
    }

    /// Returns the revision of the last known change.
    pub fn newest(&self) -> i64 {
        self.newest
    }

    /// Returns whether changes are missing, so that the directory must be read.
    pub fn is_behind(&self) -> bool {
        self.behind
    }
}
