//! One target's part of the ledger.

use std::collections::VecDeque;

use cw_types::Time;

/// The most changes kept for one target; older ones are in its report by then.
const CHANGES_MAX: usize = 1024;

/// An attempt that began or ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Change {
    at: Time,
    began: bool,
    /// Prompt tokens that the target has to process.
    tokens: u64,
}

/// What a target has that its report does not show.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Delta {
    /// Attempts, less those that ended.
    pub(super) attempts: i32,
    /// Prompt tokens to process.
    pub(super) tokens: u64,
}

/// What this entry did with one target since the target's report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Account {
    changes: VecDeque<Change>,
    /// Until when the target asked not to be tried again.
    pub(super) busy_until: Time,
}

impl Account {
    /// Records that an attempt began, with prompt tokens to process.
    pub(super) fn begin(&mut self, at: Time, tokens: u64) {
        self.push(Change {
            at,
            began: true,
            tokens,
        });
    }

    /// Records that an attempt ended.
    pub(super) fn end(&mut self, at: Time) {
        self.push(Change {
            at,
            began: false,
            tokens: 0,
        });
    }

    /// Takes back the last attempt that began, since the target did not take it.
    pub(super) fn refuse(&mut self, until: Time) {
        if let Some(last) = self.changes.iter().rposition(|change| change.began) {
            self.changes.remove(last);
        }
        self.busy_until = self.busy_until.max(until);
    }

    /// Forgets what a report of the time `reported` already shows.
    pub(super) fn forget(&mut self, reported: Time) {
        while self
            .changes
            .front()
            .is_some_and(|change| change.at <= reported)
        {
            self.changes.pop_front();
        }
    }

    /// Returns what a report of the time `reported` does not show.
    pub(super) fn delta(&self, reported: Time) -> Delta {
        let mut delta = Delta::default();
        let newest = self.changes.iter().rev();
        for change in newest.take_while(|change| change.at > reported) {
            delta.attempts += if change.began { 1 } else { -1 };
            delta.tokens += change.tokens;
        }
        delta
    }

    /// Returns whether nothing is recorded that could still matter.
    pub(super) fn is_empty(&self, now: Time) -> bool {
        self.changes.is_empty() && self.busy_until <= now
    }

    fn push(&mut self, change: Change) {
        if self.changes.len() == CHANGES_MAX {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }
}
