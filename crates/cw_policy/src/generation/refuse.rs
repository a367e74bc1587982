//! What a generation does when targets refuse its attempts.

use std::time::Duration;

use cw_types::AttemptNo;
use cw_types::ErrorKind;
use cw_types::Ran;
use cw_types::Time;
use cw_wire::Reason;

use super::Generation;
use super::Step;

/// What a refusal says when no target says better.
const RETRY_DEFAULT: Duration = Duration::from_secs(1);

impl Generation {
    pub(super) fn not_run(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        reason: Reason,
        retry: Duration,
        steps: &mut Vec<Step>,
    ) {
        let Some(track) = self.tracks.get(&attempt) else {
            return;
        };
        // An agent that lost its memory knows nothing of what it ran.
        if reason == Reason::Unknown && track.reattached > 0 {
            return self.forgotten(now, attempt, steps);
        }
        let Some(target) = self.remove(attempt) else {
            return;
        };
        self.dispatched -= 1;
        self.refused += 1;
        self.retry = Some(self.retry.map_or(retry, |known| known.min(retry)));
        match reason {
            Reason::Busy | Reason::Expired => self.busy.insert(target),
            _ => self.lost.insert(target),
        };
        if reason == Reason::Expired && self.dispatched == 0 {
            return self.fail(ErrorKind::Expired, Ran::No, retry, steps);
        }
        self.next_target(now, steps);
    }

    /// The call never reached the agent.
    pub(super) fn not_sent(&mut self, now: Time, attempt: AttemptNo, steps: &mut Vec<Step>) {
        let Some(target) = self.remove(attempt) else {
            return;
        };
        self.dispatched -= 1;
        self.lost.insert(target);
        self.next_target(now, steps);
    }

    pub(super) fn next_target(&mut self, now: Time, steps: &mut Vec<Step>) {
        if !self.tracks.is_empty() || self.wanted > 0 {
            return;
        }
        let first = self.dispatched == 0 && self.next_index() == self.plan.resume_index;
        if first && self.refused >= self.limits.max_refusals && !self.busy.is_empty() {
            return self.enqueue(steps);
        }
        if !first && self.refused > 0 && self.refused.is_multiple_of(self.limits.max_refusals) {
            self.retry_at = Some(now + self.limits.busy_backoff);
            return;
        }
        self.choose(!first, false, steps);
    }

    pub(super) fn no_target(
        &mut self,
        now: Time,
        kind: ErrorKind,
        retry: Duration,
        steps: &mut Vec<Step>,
    ) {
        self.wanted = self.wanted.saturating_sub(1);
        if !self.tracks.is_empty() || self.wanted > 0 {
            return;
        }
        let first = self.dispatched == 0 && self.next_index() == self.plan.resume_index;
        if first {
            let busy = kind == ErrorKind::Overloaded || !self.busy.is_empty();
            return match busy {
                true => self.enqueue(steps),
                false => self.fail(kind, Ran::No, retry, steps),
            };
        }
        if kind == ErrorKind::Overloaded || !self.busy.is_empty() {
            self.retry_at = Some(now + self.limits.busy_backoff);
            return;
        }
        self.give_up(steps);
    }

    /// Every target is busy: the request waits for its turn.
    fn enqueue(&mut self, steps: &mut Vec<Step>) {
        self.busy.clear();
        self.refused = 0;
        self.queued = true;
        steps.push(Step::Enqueue);
    }

    pub(super) fn turn(&mut self, steps: &mut Vec<Step>) {
        if std::mem::take(&mut self.queued) {
            self.choose(false, false, steps);
        }
    }

    pub(super) fn unqueued(&mut self, kind: ErrorKind, retry: Duration, steps: &mut Vec<Step>) {
        if std::mem::take(&mut self.queued) {
            let retry = self.retry.unwrap_or(retry).max(retry);
            self.fail(kind, Ran::No, retry, steps);
        }
    }

    pub(super) fn give_up(&mut self, steps: &mut Vec<Step>) {
        let kind = match self.ran() {
            Ran::No => ErrorKind::NoTarget,
            _ => ErrorKind::GenerationLost,
        };
        self.fail(kind, self.ran(), RETRY_DEFAULT, steps);
    }
}
