//! The recent dispatches of this entry to one target.

use std::collections::VecDeque;

use cw_types::Time;

/// The maximum number of changes kept for one target. Its reports already include older ones.
const MAX_CHANGES: usize = 1024;

/// The beginning or the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Change {
    at: Time,
    began: bool,
    /// The prompt tokens that the target has to prefill.
    tokens: u64,
}

/// The change of a target's load since its report, with the prefill backlog that results.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct LoadDelta {
    /// The attempts that began since the report, less those that ended.
    pub(super) attempts: i32,
    /// The time that the target needs to prefill its prompts, in seconds.
    pub(super) backlog: f64,
}

impl LoadDelta {
    /// Reduces the backlog by the prefill between two times.
    pub(super) fn drain(&mut self, since: Time, now: Time) {
        let span = now.since(since).as_secs_f64();
        self.backlog = (self.backlog - span).max(0.0);
    }
}

/// The attempts that this entry began and ended at one target since the target's report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct TargetLog {
    changes: VecDeque<Change>,
    /// The time before which the target asked not to be tried again.
    pub(super) busy_until: Time,
}

impl TargetLog {
    /// A log without any record.
    pub(super) const EMPTY: TargetLog = TargetLog {
        changes: VecDeque::new(),
        busy_until: Time(0),
    };

    /// Records that an attempt began, with `tokens` of its prompt to prefill.
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

    /// Removes the last attempt that began, since the target refused it.
    pub(super) fn refuse(&mut self, until: Time) {
        if let Some(last) = self.changes.iter().rposition(|change| change.began) {
            self.changes.remove(last);
        }
        self.busy_until = self.busy_until.max(until);
    }

    /// Removes the changes that a report made at `reported` already includes.
    pub(super) fn remove_reported(&mut self, reported: Time) {
        while self
            .changes
            .front()
            .is_some_and(|change| change.at <= reported)
        {
            self.changes.pop_front();
        }
    }

    /// Returns the load that a report made at `reported` does not include.
    ///
    /// The report showed a prefill `backlog`, in seconds; `token_time` is the prefill time of one
    /// token, also in seconds. Prefill goes on all the time, so the backlog shrinks between the
    /// dispatches that add to it.
    pub(super) fn delta(
        &self,
        now: Time,
        reported: Time,
        backlog: f64,
        token_time: f64,
    ) -> LoadDelta {
        let first = self.changes.partition_point(|change| change.at <= reported);
        let mut delta = LoadDelta {
            attempts: 0,
            backlog,
        };
        let mut at = reported;
        for change in self.changes.iter().skip(first) {
            delta.attempts += if change.began { 1 } else { -1 };
            delta.drain(at, change.at);
            delta.backlog += token_time * change.tokens as f64;
            at = change.at;
        }
        delta.drain(at, now);
        delta
    }

    /// Returns whether the log has no change left and the target may be tried again.
    pub(super) fn is_empty(&self, now: Time) -> bool {
        self.changes.is_empty() && self.busy_until <= now
    }

    fn push(&mut self, change: Change) {
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }
}
