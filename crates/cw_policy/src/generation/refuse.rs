//! The handling of refusals, and the selection of the next target.

use std::time::Duration;

use cw_types::AttemptNo;
use cw_types::ErrorKind;
use cw_types::Ran;
use cw_types::Time;
use cw_wire::NotRunReason;

use super::Generation;
use super::Step;

/// The retry delay reported to the caller when attempts are exhausted or no target is available.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(1);

impl Generation {
    pub(super) fn on_not_run(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        reason: NotRunReason,
        retry: Duration,
        steps: &mut Vec<Step>,
    ) {
        let Some(tracked) = self.attempts.get(&attempt) else {
            return;
        };
        // The agent may have restarted and lost the record of an attempt that it ran.
        if reason == NotRunReason::Unknown && tracked.reattach_count > 0 {
            return self.on_unknown_attempt(now, attempt, steps);
        }
        let Some(target) = self.remove_attempt(attempt) else {
            return;
        };
        self.dispatch_count -= 1;
        self.refusal_count += 1;
        self.retry_after = Some(self.retry_after.map_or(retry, |known| known.min(retry)));
        match reason {
            NotRunReason::Busy | NotRunReason::Expired => self.busy_targets.insert(target),
            _ => self.lost_targets.insert(target),
        };
        if reason == NotRunReason::Expired && self.dispatch_count == 0 {
            return self.fail(ErrorKind::Expired, Ran::No, retry, steps);
        }
        self.try_next_target(now, steps);
    }

    /// Excludes the target of an attempt that never ran, and tries the next one.
    pub(super) fn on_not_sent(&mut self, now: Time, attempt: AttemptNo, steps: &mut Vec<Step>) {
        let Some(target) = self.remove_attempt(attempt) else {
            return;
        };
        self.dispatch_count -= 1;
        self.lost_targets.insert(target);
        self.try_next_target(now, steps);
    }

    pub(super) fn try_next_target(&mut self, now: Time, steps: &mut Vec<Step>) {
        if !self.attempts.is_empty() || self.pending_choices > 0 {
            return;
        }
        let not_started = self.dispatch_count == 0 && self.next_index() == self.plan.resume_index;
        if not_started
            && self.refusal_count >= self.limits.max_refusals
            && !self.busy_targets.is_empty()
        {
            return self.enqueue_request(steps);
        }
        if !not_started
            && self.refusal_count > 0
            && self.refusal_count.is_multiple_of(self.limits.max_refusals)
        {
            self.retry_at = Some(now + self.limits.busy_backoff);
            return;
        }
        self.choose_target(!not_started, false, steps);
    }

    pub(super) fn on_no_target(
        &mut self,
        now: Time,
        kind: ErrorKind,
        retry: Duration,
        steps: &mut Vec<Step>,
    ) {
        self.pending_choices = self.pending_choices.saturating_sub(1);
        if !self.attempts.is_empty() || self.pending_choices > 0 {
            return;
        }
        let not_started = self.dispatch_count == 0 && self.next_index() == self.plan.resume_index;
        if not_started {
            let any_busy = kind == ErrorKind::Overloaded || !self.busy_targets.is_empty();
            return match any_busy {
                true => self.enqueue_request(steps),
                false => self.fail(kind, Ran::No, retry, steps),
            };
        }
        if kind == ErrorKind::Overloaded || !self.busy_targets.is_empty() {
            self.retry_at = Some(now + self.limits.busy_backoff);
            return;
        }
        self.fail_exhausted(steps);
    }

    /// Queues the request because all targets are busy.
    fn enqueue_request(&mut self, steps: &mut Vec<Step>) {
        self.busy_targets.clear();
        self.refusal_count = 0;
        self.queued = true;
        steps.push(Step::Enqueue);
    }

    pub(super) fn on_dequeued(&mut self, steps: &mut Vec<Step>) {
        if std::mem::take(&mut self.queued) {
            self.choose_target(false, false, steps);
        }
    }

    pub(super) fn on_queue_rejected(
        &mut self,
        kind: ErrorKind,
        retry: Duration,
        steps: &mut Vec<Step>,
    ) {
        if std::mem::take(&mut self.queued) {
            let retry = self.retry_after.unwrap_or(retry).max(retry);
            self.fail(kind, Ran::No, retry, steps);
        }
    }

    pub(super) fn fail_exhausted(&mut self, steps: &mut Vec<Step>) {
        let kind = match self.ran() {
            Ran::No => ErrorKind::NoTarget,
            _ => ErrorKind::GenerationLost,
        };
        self.fail(kind, self.ran(), DEFAULT_RETRY_DELAY, steps);
    }
}
