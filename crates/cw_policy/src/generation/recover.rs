//! Recovery from silent links, stalled engines, crashes and lost attempts.

use std::time::Duration;

use cw_types::AttemptNo;
use cw_types::ErrorKind;
use cw_types::Ran;
use cw_types::TargetId;
use cw_types::Time;
use cw_types::TokenIndex;
use cw_wire::FinishReason;

use super::DropReason;
use super::Generation;
use super::Step;
use super::tracked_attempt::Phase;

/// The number of reattachments without new output after which an attempt counts as unreachable.
const MAX_REATTACHMENTS: u32 = 3;

impl Generation {
    // ---- Reattachment ----

    pub(super) fn on_timeout(&mut self, now: Time, attempt: AttemptNo, steps: &mut Vec<Step>) {
        let phase = self.attempts.get(&attempt).map(|tracked| tracked.phase);
        match phase {
            Some(Phase::Reattached) => self.on_unreachable(now, attempt, steps),
            Some(_) => self.reattach(now, attempt, steps),
            None => {}
        }
    }

    /// Reattaches to an attempt over a new connection, since the failure may be limited to the old
    /// connection.
    pub(super) fn reattach(&mut self, now: Time, attempt: AttemptNo, steps: &mut Vec<Step>) {
        let link = self.new_link();
        let from = self.next_index();
        let (idempotent, call) = (self.plan.idempotent, self.is_call());
        let Some(tracked) = self.attempts.get_mut(&attempt) else {
            return;
        };
        if tracked.reattach_count >= MAX_REATTACHMENTS {
            return self.on_unreachable(now, attempt, steps);
        }
        steps.push(Step::Close { link: tracked.link });
        // The loss is dated to the last frame or output.
        self.lost_at = self
            .lost_at
            .or(Some(tracked.last_frame.max(tracked.last_output)));
        tracked.link = link;
        tracked.phase = Phase::Reattached;
        tracked.last_frame = now;
        tracked.reattach_count += 1;
        steps.push(Step::Attach {
            link,
            attempt,
            target: tracked.target.clone(),
            repeat: tracked.dispatched_output.clone().filter(|_| idempotent),
            from,
        });
        if call {
            self.response = Default::default();
        }
    }

    /// Requests the output again from the first missing index.
    pub(super) fn on_gap(&mut self, now: Time, attempt: AttemptNo, steps: &mut Vec<Step>) {
        steps.push(Step::Dropped(DropReason::Gap));
        self.reattach(now, attempt, steps);
    }

    /// Handles an attempt whose agent cannot be reached.
    pub(super) fn on_unreachable(&mut self, now: Time, attempt: AttemptNo, steps: &mut Vec<Step>) {
        if self.plan.idempotent {
            return self.lose_attempt(now, attempt, Ran::Unknown, steps);
        }
        let Some(tracked) = self.attempts.get_mut(&attempt) else {
            return;
        };
        if tracked.reattach_count < MAX_REATTACHMENTS {
            steps.push(Step::Close { link: tracked.link });
            tracked.phase = Phase::BackingOff;
            tracked.last_frame = now;
            return;
        }
        if tracked.dispatched_output.is_some() {
            return self.confirm_cancel(attempt, steps);
        }
        // Another entry dispatched the attempt and may still reach it, so it is not cancelled.
        self.cancel_attempt(attempt, steps);
        self.fail_unknown_outcome(steps);
    }

    /// Handles the reply of an agent that does not know the attempt.
    pub(super) fn on_unknown_attempt(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        steps: &mut Vec<Step>,
    ) {
        if self.plan.idempotent {
            return self.lose_attempt(now, attempt, Ran::Unknown, steps);
        }
        if self.plan.resume_index.0 == 0 {
            return self.confirm_cancel(attempt, steps);
        }
        // The caller has received output of the attempt, so the agent has restarted since.
        self.cancel_attempt(attempt, steps);
        self.fail_unknown_outcome(steps);
    }

    fn confirm_cancel(&mut self, attempt: AttemptNo, steps: &mut Vec<Step>) {
        if let Some(tracked) = self.attempts.get_mut(&attempt) {
            steps.push(Step::Close { link: tracked.link });
            tracked.phase = Phase::ConfirmingCancel;
            let target = tracked.target.clone();
            steps.push(Step::ConfirmCancel { attempt, target });
        }
    }

    pub(super) fn on_cancel_result(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        ran: Option<Ran>,
        steps: &mut Vec<Step>,
    ) {
        let confirming = |phase| phase == Phase::ConfirmingCancel;
        if !self
            .attempts
            .get(&attempt)
            .is_some_and(|t| confirming(t.phase))
        {
            return;
        }
        if ran == Some(Ran::No) {
            return self.on_not_sent(now, attempt, steps);
        }
        self.remove_attempt(attempt);
        self.fail_unknown_outcome(steps);
    }

    fn fail_unknown_outcome(&mut self, steps: &mut Vec<Step>) {
        let ran = match self.ran() {
            Ran::Partly => Ran::Partly,
            _ => Ran::Unknown,
        };
        self.fail(ErrorKind::OutcomeUnknown, ran, Duration::ZERO, steps);
    }

    /// Handles an attempt whose early output the agent no longer retains; only a caller that has
    /// received it can continue.
    pub(super) fn on_trimmed(&mut self, now: Time, attempt: AttemptNo, steps: &mut Vec<Step>) {
        if self.next_index() >= self.plan.resume_index {
            return self.lose_attempt(now, attempt, Ran::Partly, steps);
        }
        self.base_index = self.plan.resume_index;
        self.output.clear();
        self.reattach(now, attempt, steps);
    }

    // ---- Stalls, crashes and losses ----

    /// Handles an engine that produces no output while its agent is alive.
    pub(super) fn on_stalled(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        quiet: Duration,
        steps: &mut Vec<Step>,
    ) {
        let Some(tracked) = self.attempts.get_mut(&attempt) else {
            return;
        };
        // Non-idempotent work can only wait for the engine.
        tracked.stalled = true;
        if !self.plan.idempotent {
            return;
        }
        let target = tracked.target.clone();
        let stalled_since = Time(now.0.saturating_sub((Time::default() + quiet).0));
        self.lost_at = self.lost_at.or(Some(stalled_since));
        steps.push(Step::Lost {
            target: target.clone(),
        });
        if self.limits.hedges < 2 {
            self.cancel_attempt(attempt, steps);
        } else if self.writer == Some(attempt) {
            // The stalled attempt keeps running, and the first attempt to deliver the next token
            // becomes the writer.
            self.writer = None;
        }
        self.lost_targets.insert(target);
        self.start_replacements(steps);
    }

    /// Handles an engine that crashed while it ran the attempt and its agent stayed up.
    pub(super) fn on_crashed(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        ran: Ran,
        steps: &mut Vec<Step>,
    ) {
        let Some(target) = self.remove_attempt(attempt) else {
            return;
        };
        self.count_crash();
        self.lost_at = self.lost_at.or(Some(now));
        steps.push(Step::Crashed {
            target: target.clone(),
        });
        self.lost_targets.insert(target);
        let may_check = ran != Ran::No && self.plan.idempotent && self.gone_since.is_none();
        if may_check && self.crash_count >= self.limits.max_crashes {
            self.checking_crashes = true;
            steps.push(Step::CheckCrashes);
            return;
        }
        self.replace_attempt(now, ran, steps);
    }

    /// Counts a crash. A request that causes crashes does so at the same index of its output each
    /// time; one whose output has advanced since the last crash was in flight by coincidence.
    fn count_crash(&mut self) {
        let index = self.next_index();
        let progress = index.0.saturating_sub(self.crash_index.0);
        self.crash_count = match progress >= self.limits.crash_progress {
            true => 1,
            false => self.crash_count + 1,
        };
        self.crash_index = index;
        self.cleared_index = index;
    }

    /// Clears the request of suspicion once its output has advanced past the index of a crash.
    pub(super) fn clear_suspicion(&mut self, steps: &mut Vec<Step>) {
        let index = self.next_index();
        let progress = index.0.saturating_sub(self.cleared_index.0);
        if self.crash_count > 0 && progress >= self.limits.crash_progress {
            self.cleared_index = index;
            steps.push(Step::ClearSuspicion);
        }
    }

    pub(super) fn on_crashes_checked(&mut self, at_fault: bool, steps: &mut Vec<Step>) {
        if !std::mem::take(&mut self.checking_crashes) {
            return;
        }
        match at_fault {
            true => self.fail(ErrorKind::CrashesTargets, self.ran(), Duration::ZERO, steps),
            false => self.start_replacements(steps),
        }
    }

    /// Cancels a lost attempt and replaces it if the work is idempotent or has not run.
    pub(super) fn lose_attempt(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        ran: Ran,
        steps: &mut Vec<Step>,
    ) {
        let Some(tracked) = self.attempts.get(&attempt) else {
            return;
        };
        self.lost_at = self
            .lost_at
            .or(Some(tracked.last_frame.max(tracked.last_output)));
        let Some(target) = self.cancel_attempt(attempt, steps) else {
            return;
        };
        steps.push(Step::Lost {
            target: target.clone(),
        });
        self.lost_targets.insert(target);
        self.replace_attempt(now, ran, steps);
    }

    fn replace_attempt(&mut self, now: Time, ran: Ran, steps: &mut Vec<Step>) {
        if ran == Ran::No {
            self.dispatch_count -= 1;
            return self.try_next_target(now, steps);
        }
        if !self.plan.idempotent {
            return self.fail_unknown_outcome(steps);
        }
        if self.gone_since.is_some() {
            return self.abandon(steps);
        }
        self.start_replacements(steps);
    }

    /// Requests targets until enough attempts run that have not stalled.
    fn start_replacements(&mut self, steps: &mut Vec<Step>) {
        if self.is_call() {
            self.response = Default::default();
        }
        let end_index = self.plan.max_tokens.map(|limit| TokenIndex(limit.0));
        if end_index.is_some_and(|end| self.next_index() >= end) {
            steps.push(Step::Finish(FinishReason::Length));
            return self.end();
        }
        let prefix_missing = self.base_index.0 > 0 || self.next_index() < self.plan.resume_index;
        let exhausted = self.dispatch_count >= self.limits.max_attempts;
        let active = self
            .attempts
            .values()
            .filter(|tracked| !tracked.stalled)
            .count();
        let active = u32::try_from(active).unwrap_or(u32::MAX) + self.pending_choices;
        if prefix_missing || exhausted {
            if self.attempts.is_empty() {
                self.fail_exhausted(steps);
            }
            return;
        }
        for number in active..self.replacement_count() {
            self.choose_target(true, number > 0, steps);
        }
    }

    /// Returns the number of concurrent attempts that may replace a lost one.
    fn replacement_count(&self) -> u32 {
        // A request that may have crashed an engine is not sent to two more at the same time.
        match self.is_call() || self.crash_count > 0 {
            true => 1,
            false => (self.limits.hedges).min(self.limits.max_attempts - self.dispatch_count),
        }
    }

    /// Removes an attempt that needs no close or cancel and returns its target.
    pub(super) fn remove_attempt(&mut self, attempt: AttemptNo) -> Option<TargetId> {
        let tracked = self.attempts.remove(&attempt)?;
        if self.writer == Some(attempt) {
            self.writer = None;
        }
        Some(tracked.target)
    }
}
