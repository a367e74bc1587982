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
}

/// What this entry did with one target since the target's report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Account {
    changes: VecDeque<Change>,
    /// Until when the target asked not to be tried again.
    pub(super) busy_until: Time,
}

impl Account {
    /// Records that an attempt began or ended.
    pub(super) fn change(&mut self, at: Time, began: bool) {
        if self.changes.len() == CHANGES_MAX {
            self.changes.pop_front();
        }
        self.changes.push_back(Change { at, began });
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

    /// Returns how many more attempts are there than at the time `reported`.
    pub(super) fn delta(&self, reported: Time) -> i32 {
        self.changes
            .iter()
            .rev()
            .take_while(|change| change.at > reported)
            .map(|change| if change.began { 1 } else { -1 })
            .sum()
    }

    /// Returns whether nothing is recorded that could still matter.
    pub(super) fn is_empty(&self, now: Time) -> bool {
        self.changes.is_empty() && self.busy_until <= now
    }
}
