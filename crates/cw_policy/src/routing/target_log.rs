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

/// What a target has, from its report and what was sent since.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Delta {
    /// Attempts that began since the report, less those that ended.
    pub(super) attempts: i32,
    /// How long the target takes to process the prompts that it has.
    pub(super) backlog: f64,
}

impl Delta {
    pub(super) fn drain(&mut self, since: Time, now: Time) {
        let span = now.since(since).as_secs_f64();
        self.backlog = (self.backlog - span).max(0.0);
    }
}

/// What this entry did with one target since the target's report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Account {
    changes: VecDeque<Change>,
    /// Until when the target asked not to be tried again.
    pub(super) busy_until: Time,
}

impl Account {
    /// An account in which nothing is recorded.
    pub(super) const EMPTY: Account = Account {
        changes: VecDeque::new(),
        busy_until: Time(0),
    };

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
    ///
    /// It showed a `backlog` of prompts, in seconds; `cost` is the time of one token. Prompts are
    /// processed all the while, so the backlog shrinks between the sends that add to it.
    pub(super) fn delta(&self, now: Time, reported: Time, backlog: f64, cost: f64) -> Delta {
        let first = self.changes.partition_point(|change| change.at <= reported);
        let mut delta = Delta {
            attempts: 0,
            backlog,
        };
        let mut at = reported;
        for change in self.changes.iter().skip(first) {
            delta.attempts += if change.began { 1 } else { -1 };
            delta.drain(at, change.at);
            delta.backlog += cost * change.tokens as f64;
            at = change.at;
        }
        delta.drain(at, now);
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
