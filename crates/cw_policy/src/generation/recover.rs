//! What a generation does when an attempt is silent, stalled or lost.

use std::time::Duration;

use cw_types::AttemptNo;
use cw_types::ErrorKind;
use cw_types::Ran;
use cw_types::TargetId;
use cw_types::Time;
use cw_types::TokenIndex;
use cw_wire::Finish;

use super::DropReason;
use super::Generation;
use super::Step;
use super::tracked_attempt::Phase;

/// Re-attachments without new output before an attempt counts as lost.
const REATTACH_MAX: u32 = 3;

impl Generation {
    // ---- Silence ----

    pub(super) fn silent(&mut self, now: Time, attempt: AttemptNo, steps: &mut Vec<Step>) {
        let phase = self.tracks.get(&attempt).map(|track| track.phase);
        match phase {
            Some(Phase::Reattached) => self.unreachable(now, attempt, steps),
            Some(_) => self.reattach(now, attempt, steps),
            None => {}
        }
    }

    /// Reaches an attempt again over a new connection: the old one may be dead by itself.
    pub(super) fn reattach(&mut self, now: Time, attempt: AttemptNo, steps: &mut Vec<Step>) {
        let link = self.new_link();
        let from = self.next_index();
        let (idempotent, call) = (self.plan.idempotent, self.is_call());
        let Some(track) = self.tracks.get_mut(&attempt) else {
            return;
        };
        if track.reattached >= REATTACH_MAX {
            return self.unreachable(now, attempt, steps);
        }
        steps.push(Step::Close { link: track.link });
        // The time of the loss is that of the last sign of life.
        self.lost_at = self.lost_at.or(Some(track.heard.max(track.moved)));
        track.link = link;
        track.phase = Phase::Reattached;
        track.heard = now;
        track.reattached += 1;
        steps.push(Step::Attach {
            link,
            attempt,
            target: track.target.clone(),
            repeat: track.so_far.clone().filter(|_| idempotent),
            from,
        });
        if call {
            self.held = Default::default();
        }
    }

    /// An output with a hole is asked for again.
    pub(super) fn gap(&mut self, now: Time, attempt: AttemptNo, steps: &mut Vec<Step>) {
        steps.push(Step::Dropped(DropReason::Gap));
        self.reattach(now, attempt, steps);
    }

    /// The agent cannot be reached.
    pub(super) fn unreachable(&mut self, now: Time, attempt: AttemptNo, steps: &mut Vec<Step>) {
        if self.plan.idempotent {
            return self.lose(now, attempt, Ran::Unknown, steps);
        }
        let Some(track) = self.tracks.get_mut(&attempt) else {
            return;
        };
        if track.reattached < REATTACH_MAX {
            steps.push(Step::Close { link: track.link });
            track.phase = Phase::Pausing;
            track.heard = now;
            return;
        }
        if track.so_far.is_some() {
            return self.prove(attempt, steps);
        }
        // The attempt is another entry's, which may well reach it: it is not to be cancelled.
        self.drop_track(attempt, steps);
        self.unknown_outcome(steps);
    }

    /// The agent does not know the attempt.
    pub(super) fn forgotten(&mut self, now: Time, attempt: AttemptNo, steps: &mut Vec<Step>) {
        if self.plan.idempotent {
            return self.lose(now, attempt, Ran::Unknown, steps);
        }
        if self.plan.resume_index.0 == 0 {
            return self.prove(attempt, steps);
        }
        // Its caller holds output of it: an agent that never saw it is of a later life.
        self.drop_track(attempt, steps);
        self.unknown_outcome(steps);
    }

    fn prove(&mut self, attempt: AttemptNo, steps: &mut Vec<Step>) {
        if let Some(track) = self.tracks.get_mut(&attempt) {
            steps.push(Step::Close { link: track.link });
            track.phase = Phase::Proving;
            let target = track.target.clone();
            steps.push(Step::ConfirmCancel { attempt, target });
        }
    }

    pub(super) fn proof(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        ran: Option<Ran>,
        steps: &mut Vec<Step>,
    ) {
        let proving = |phase| phase == Phase::Proving;
        if !self.tracks.get(&attempt).is_some_and(|t| proving(t.phase)) {
            return;
        }
        if ran == Some(Ran::No) {
            return self.not_sent(now, attempt, steps);
        }
        self.remove(attempt);
        self.unknown_outcome(steps);
    }

    fn unknown_outcome(&mut self, steps: &mut Vec<Step>) {
        let ran = match self.ran() {
            Ran::Partly => Ran::Partly,
            _ => Ran::Unknown,
        };
        self.fail(ErrorKind::OutcomeUnknown, ran, Duration::ZERO, steps);
    }

    /// The beginning of the output is not kept any more: only a caller that has it can go on.
    pub(super) fn trimmed(&mut self, now: Time, attempt: AttemptNo, steps: &mut Vec<Step>) {
        if self.next_index() >= self.plan.resume_index {
            return self.lose(now, attempt, Ran::Partly, steps);
        }
        self.base = self.plan.resume_index;
        self.output.clear();
        self.reattach(now, attempt, steps);
    }

    // ---- Stalls and losses ----

    /// The engine produces nothing, though its agent lives.
    pub(super) fn stalled(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        quiet: Duration,
        steps: &mut Vec<Step>,
    ) {
        let Some(track) = self.tracks.get_mut(&attempt) else {
            return;
        };
        // Work that may run once has nothing to do but wait for the engine.
        track.stalled = true;
        if !self.plan.idempotent {
            return;
        }
        let target = track.target.clone();
        let began = Time(now.0.saturating_sub((Time::default() + quiet).0));
        self.lost_at = self.lost_at.or(Some(began));
        steps.push(Step::Lost {
            target: target.clone(),
        });
        if self.limits.hedges < 2 {
            self.drop_track(attempt, steps);
        } else if self.writer == Some(attempt) {
            // The stalled attempt stays in the race: whichever brings the next token wins.
            self.writer = None;
        }
        self.lost.insert(target);
        self.resume(steps);
    }

    /// An engine died under a living agent while it ran the attempt.
    pub(super) fn crashed(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        ran: Ran,
        steps: &mut Vec<Step>,
    ) {
        let Some(target) = self.remove(attempt) else {
            return;
        };
        self.count_crash();
        self.lost_at = self.lost_at.or(Some(now));
        steps.push(Step::Crashed {
            target: target.clone(),
        });
        self.lost.insert(target);
        let cut = ran != Ran::No && self.plan.idempotent && self.absent.is_none();
        if cut && self.crashes >= self.limits.max_crashes {
            self.judging = true;
            steps.push(Step::CheckCrashes);
            return;
        }
        self.replace(now, ran, steps);
    }

    /// A request that crashes its engines does so at the same place of its output each time. One
    /// whose output went on since the last crash was only there when an engine died.
    fn count_crash(&mut self) {
        let here = self.next_index();
        let progress = here.0.saturating_sub(self.crashed_at.0);
        self.crashes = match progress >= self.limits.crash_progress {
            true => 1,
            false => self.crashes + 1,
        };
        self.crashed_at = here;
        self.cleared_at = here;
    }

    /// Output that goes on past the place of a crash speaks for the request.
    pub(super) fn clear(&mut self, steps: &mut Vec<Step>) {
        let here = self.next_index();
        let progress = here.0.saturating_sub(self.cleared_at.0);
        if self.crashes > 0 && progress >= self.limits.crash_progress {
            self.cleared_at = here;
            steps.push(Step::ClearSuspicion);
        }
    }

    pub(super) fn judged(&mut self, guilty: bool, steps: &mut Vec<Step>) {
        if !std::mem::take(&mut self.judging) {
            return;
        }
        match guilty {
            true => self.fail(ErrorKind::CrashesTargets, self.ran(), Duration::ZERO, steps),
            false => self.resume(steps),
        }
    }

    /// An attempt is lost: it is cancelled and, where that is allowed, replaced.
    pub(super) fn lose(&mut self, now: Time, attempt: AttemptNo, ran: Ran, steps: &mut Vec<Step>) {
        let Some(track) = self.tracks.get(&attempt) else {
            return;
        };
        self.lost_at = self.lost_at.or(Some(track.heard.max(track.moved)));
        let Some(target) = self.drop_track(attempt, steps) else {
            return;
        };
        steps.push(Step::Lost {
            target: target.clone(),
        });
        self.lost.insert(target);
        self.replace(now, ran, steps);
    }

    fn replace(&mut self, now: Time, ran: Ran, steps: &mut Vec<Step>) {
        if ran == Ran::No {
            self.dispatched -= 1;
            return self.next_target(now, steps);
        }
        if !self.plan.idempotent {
            return self.unknown_outcome(steps);
        }
        if self.absent.is_some() {
            return self.abandon(steps);
        }
        self.resume(steps);
    }

    /// Asks for targets until enough attempts that have not stalled race for the next token.
    fn resume(&mut self, steps: &mut Vec<Step>) {
        if self.is_call() {
            self.held = Default::default();
        }
        let whole = self.plan.max_tokens.map(|most| TokenIndex(most.0));
        if whole.is_some_and(|whole| self.next_index() >= whole) {
            steps.push(Step::Finish(Finish::Length));
            return self.end();
        }
        let unknown = self.base.0 > 0 || self.next_index() < self.plan.resume_index;
        let spent = self.dispatched >= self.limits.max_attempts;
        let live = self.tracks.values().filter(|track| !track.stalled).count();
        let live = u32::try_from(live).unwrap_or(u32::MAX) + self.wanted;
        if unknown || spent {
            if self.tracks.is_empty() {
                self.give_up(steps);
            }
            return;
        }
        for place in live..self.hedges() {
            self.choose(true, place > 0, steps);
        }
    }

    /// Returns how many attempts may replace a lost one.
    fn hedges(&self) -> u32 {
        // A request that may have crashed an engine is not given to two others at once.
        match self.is_call() || self.crashes > 0 {
            true => 1,
            false => (self.limits.hedges).min(self.limits.max_attempts - self.dispatched),
        }
    }

    /// Forgets an attempt whose link and work have ended by themselves.
    pub(super) fn remove(&mut self, attempt: AttemptNo) -> Option<TargetId> {
        let track = self.tracks.remove(&attempt)?;
        if self.writer == Some(attempt) {
            self.writer = None;
        }
        Some(track.target)
    }
}
