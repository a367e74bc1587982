//! What to do next about a roll-out.

use std::time::Duration;

use cw_types::Time;
use cw_wire::RolloutStage;
use cw_wire::RolloutState;

use super::ExposureLimits;
use super::RolloutInputs;
use super::RolloutStep;
use super::exposure_plan::ExposurePlan;
use super::sequential_test::ALARM;
use super::sequential_test::DOUBT;
use super::service_rollout::ServiceRollout;

/// The time after the order before the first requests go to the target version. All entries learn of the order, and
/// the rate of requests becomes known.
const START_DELAY: Duration = Duration::from_secs(1);

/// The time after its start in which an entry that found a state does not go forward. The evidence of the other
/// entries arrives.
const CATCH_UP_TIME: Duration = Duration::from_secs(2);

/// The least time between two steps of the ramp. The evidence for the last one has arrived from all entries.
const STEP_TIME: Duration = Duration::from_millis(1500);

/// The answers at a share after which the share may grow. A version that fails half of its answers has shown it.
const STEP_ANSWERS: u64 = 10;

/// The answers after which a version may get all requests. One that fails three of ten answers raises doubt within
/// them with a probability of 0.98, one that fails a fifth with 0.84; the watch goes on afterwards.
const PASS_ANSWERS: u64 = 30;

/// The part of a share by which it must change to be worth a write to the store.
const LEAST_CHANGE: f64 = 0.2;

/// The time between two decisions to reduce the share. The entries have received the first one.
const REDUCE_TIME: Duration = Duration::from_millis(500);

/// The time for which all requests go to the target version before there is no way back, unless the deadline comes
/// first. The ramp is planned for it.
const LEAST_WATCH: Duration = Duration::from_secs(4);

/// The evidence at which a version goes back when the deadline comes. What shows later cannot be mended.
const LAST_DOUBT: f64 = ALARM / 2.0;

impl ServiceRollout {
    /// Decides what to do next.
    pub(super) fn decide(
        &mut self,
        now: Time,
        limits: &ExposureLimits,
        inputs: &RolloutInputs,
    ) -> RolloutStep {
        if inputs.store_reachable {
            self.contact_at = now;
        }
        if self.is_ended() {
            return RolloutStep::Stay;
        }
        self.is_only = self.state.is_none() && inputs.active_old == 0 && inputs.active_new > 0;
        self.compare(now);
        self.count_uncounted(now);
        if inputs.is_decider && inputs.store_reachable {
            return match self.next(now, limits, inputs) {
                Some(state) => RolloutStep::Write(state),
                None => self.stay(now),
            };
        }
        self.stay(now)
    }

    fn stay(&self, now: Time) -> RolloutStep {
        match self.retreat(now) {
            Some(_) => RolloutStep::Retreat,
            None => RolloutStep::Stay,
        }
    }

    /// Returns the next state, `None` if the present one stays.
    fn next(
        &self,
        now: Time,
        limits: &ExposureLimits,
        inputs: &RolloutInputs,
    ) -> Option<RolloutState> {
        let plan = self.plan(now, inputs);
        if let Some(verdict) = &self.verdict {
            return Some(self.next_state(now, RolloutStage::RolledBack, 0.0, verdict));
        }
        match self.stage() {
            None => Some(self.first_state(now)),
            Some(RolloutStage::InProgress) => self.next_in_progress(now, limits, inputs, &plan),
            Some(RolloutStage::Finishing) => self.next_finishing(now, &plan),
            Some(RolloutStage::Completed | RolloutStage::RolledBack) => None,
        }
    }

    fn first_state(&self, now: Time) -> RolloutState {
        let (stage, share, reason) = match self.is_only {
            true => (RolloutStage::Completed, 1.0, "no other version"),
            false if now >= self.deadline() => (RolloutStage::RolledBack, 0.0, "no time"),
            false => (RolloutStage::InProgress, 0.0, "waits for answers"),
        };
        self.next_state(now, stage, share, reason)
    }

    fn next_in_progress(
        &self,
        now: Time,
        limits: &ExposureLimits,
        inputs: &RolloutInputs,
        plan: &ExposurePlan,
    ) -> Option<RolloutState> {
        let share = self.share();
        let stage = RolloutStage::InProgress;
        let answers = self.totals.new.ended();
        if plan.remaining <= plan.margin() {
            let reason = match inputs.active_new {
                0 => "no target of the version",
                _ if answers < PASS_ANSWERS => "too few answers before the deadline",
                _ if self.evidence() >= DOUBT => "in doubt at the deadline",
                _ => "no store before the deadline",
            };
            return Some(self.next_state(now, RolloutStage::RolledBack, 0.0, reason));
        }
        let since = now.since(self.decided_at);
        let limit = match inputs.active_new {
            0 => 0.0,
            new => {
                // The targets of the version get no more than their part of the work.
                let part = new as f64 / (new + inputs.active_old) as f64;
                plan.share_limit(limits).min(part)
            }
        };
        if limit < share * (1.0 - LEAST_CHANGE) && since >= REDUCE_TIME {
            return Some(self.next_state(now, stage, limit, "keeps to the allowance"));
        }
        let is_caught_up = self.state.as_ref().is_none_or(|state| state.step == 1)
            || now.since(self.known_at) >= CATCH_UP_TIME;
        if inputs.active_new == 0 || !is_caught_up || self.evidence() >= DOUBT {
            return None;
        }
        if plan.is_full_time(limits) && self.is_passed(limits, plan, answers) {
            return Some(self.next_state(now, RolloutStage::Finishing, 1.0, "passed"));
        }
        let is_due = match share > 0.0 {
            true => since >= STEP_TIME && answers >= self.step_answers + STEP_ANSWERS,
            false => now.since(self.started_at) >= START_DELAY,
        };
        let next = plan.next_share(limits, share).min(limit);
        let is_worth = next > share * (1.0 + LEAST_CHANGE);
        (is_due && is_worth).then(|| self.next_state(now, stage, next, "no doubt"))
    }

    /// Returns whether the version may get all requests. Where the allowance holds all requests that are expected, a
    /// few answers do.
    fn is_passed(&self, limits: &ExposureLimits, plan: &ExposurePlan, answers: u64) -> bool {
        let rest = plan.high_rate * plan.remaining.as_secs_f64();
        let holds_all = plan.sent_new + rest <= plan.allowance(limits);
        answers >= PASS_ANSWERS || (holds_all && answers > 0)
    }

    fn next_finishing(&self, now: Time, plan: &ExposurePlan) -> Option<RolloutState> {
        let is_last = plan.remaining <= plan.margin();
        let has_ended = self.others.runs_old(now, &self.own) == 0;
        let is_watched = now.since(self.decided_at) >= LEAST_WATCH && self.evidence() < DOUBT;
        let is_caught_up = now.since(self.known_at) >= CATCH_UP_TIME;
        if is_last && self.evidence() >= LAST_DOUBT {
            let reason = "in doubt at the deadline";
            return Some(self.next_state(now, RolloutStage::RolledBack, 0.0, reason));
        }
        let reason = match (is_last, has_ended && is_watched && is_caught_up) {
            (_, true) => "all other runs have ended",
            (true, false) => "the deadline",
            (false, false) => return None,
        };
        Some(self.next_state(now, RolloutStage::Completed, 1.0, reason))
    }

    fn plan(&self, now: Time, inputs: &RolloutInputs) -> ExposurePlan {
        let (sent_all, sent_new) = self.sent();
        let elapsed = now.since(self.started_at).as_secs_f64();
        let mean = match elapsed > 0.0 {
            true => sent_all as f64 / elapsed,
            false => 0.0,
        };
        let recent = self.recent_rate(now);
        ExposurePlan {
            low_rate: mean.min(recent),
            high_rate: mean.max(recent),
            sent_all: sent_all as f64,
            sent_new: sent_new as f64,
            duration: self.order.duration,
            remaining: now.until(self.deadline()),
            run_time: inputs.run_time,
        }
    }

    /// Returns what an operator sees as the allowance.
    pub(super) fn allowance(&self, now: Time, limits: &ExposureLimits) -> u64 {
        let plan = self.plan(now, &RolloutInputs::default());
        plan.allowance(limits) as u64
    }

    /// Counts the requests that a found state knows of and no entry that is left: all entries have started anew.
    fn count_uncounted(&mut self, now: Time) {
        if self.uncounted.is_some() || now.since(self.known_at) < CATCH_UP_TIME {
            return;
        }
        let Some(state) = &self.state else {
            return;
        };
        let decided = now.since(self.decided_at).as_secs_f64();
        let before = now.since(self.started_at).as_secs_f64() - decided;
        let rate = match before > 0.0 {
            true => state.sent_all as f64 / before,
            false => 0.0,
        };
        let share = match state.stage {
            RolloutStage::Finishing => 1.0,
            _ => f64::from(state.share_permille) / 1000.0,
        };
        let all = state.sent_all + (rate * decided) as u64;
        let new = state.sent_new + (rate * share * decided) as u64;
        let known = (
            self.totals.old.sends + self.totals.new.sends,
            self.totals.new.sends,
        );
        // What the entries that are left have counted differs a little from what was written.
        let is_known = known.1 >= state.sent_new;
        self.uncounted = Some(match is_known {
            true => (0, 0),
            false => (all.saturating_sub(known.0), new.saturating_sub(known.1)),
        });
    }
}
