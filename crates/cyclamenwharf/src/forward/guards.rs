//! Guards for the resources of a request, which are released when the guard is dropped.

use std::sync::Arc;

use cw_policy::forward::AnswerKind;
use cw_policy::forward::Demand;
use cw_policy::forward::SendEnd;
use cw_policy::forward::SendId;
use cw_policy::forward::Slot;
use cw_policy::forward::SuspectKeys;
use cw_types::Incarnation;
use cw_types::TargetId;
use cw_wire::TrialEnd;
use log::info;

use super::forward_context::ForwardContext;
use super::trial_guard::TrialGuard;

/// Counts a request in the load of its target, and among the suspects if the target crashes.
pub(super) struct RequestGuard {
    context: Arc<ForwardContext>,
    target: TargetId,
    demand: Demand,
    began: bool,
    /// The send, once the request is on its way to the target.
    send: Option<SendId>,
    end: SendEnd,
    /// The trial, if the request may be sent only on trial.
    trial: Option<TrialGuard>,
}

impl RequestGuard {
    pub(super) fn acquire(
        context: &Arc<ForwardContext>,
        target: &TargetId,
        demand: Demand,
        trial: Option<TrialGuard>,
    ) -> Self {
        let now = context.now();
        let mut state = context.state();
        state.fleet.record_send(now, target, demand);
        if demand.prompt > 0 {
            state.prompted_targets.insert(target.clone());
            context.prompt_update.notify_one();
        }
        drop(state);
        Self {
            context: Arc::clone(context),
            target: target.clone(),
            demand,
            began: false,
            send: None,
            end: SendEnd::Unanswered,
            trial,
        }
    }

    fn set_trial_end(&mut self, end: TrialEnd) {
        if let Some(trial) = &mut self.trial {
            trial.end = end;
        }
    }

    /// Records that the request is on its way to the target, which it may crash from now on.
    pub(super) fn mark_sent(&mut self, incarnation: Incarnation, keys: &SuspectKeys) {
        if self.send.is_some() {
            return;
        }
        self.set_trial_end(TrialEnd::Lost);
        let now = self.context.now();
        let mut state = self.context.state();
        let crashes = &mut state.crashes;
        let send = crashes.record_send(now, &self.target, incarnation, keys.clone());
        self.send = Some(send);
    }

    /// Records that the target has answered, so that it has not crashed under the request.
    pub(super) fn mark_answered(&mut self, answer: AnswerKind) {
        self.end = SendEnd::Answered;
        if let Some(trial) = &mut self.trial {
            let state = self.context.state();
            trial.end = state.crashes.trial_end(trial.suspect, answer);
        }
    }

    /// Records that the request has run past the moment at which one that crashes its target ends it. `evidence`
    /// says in the log how that was seen.
    pub(super) fn mark_run_on(&mut self, keys: &SuspectKeys, evidence: &str) {
        self.set_trial_end(TrialEnd::RanOn);
        self.trial = None;
        let Some(send) = self.send else {
            return;
        };
        let now = self.context.now();
        let mut state = self.context.state();
        let crashes = &mut state.crashes;
        let cleared = crashes.record_run_on(now, &self.target, send, keys.clone());
        for (suspect, crashes) in cleared {
            info!(
                suspect = suspect.to_string(),
                target_id = self.target.as_str(),
                crashes = crashes,
                evidence = evidence;
                "a suspect has run on and is cleared of its crashes"
            );
        }
    }

    /// Records that the request did not reach the target.
    pub(super) fn mark_not_sent(&mut self) {
        self.set_trial_end(TrialEnd::NotRun);
        if let Some(send) = self.send.take() {
            let now = self.context.now();
            let mut state = self.context.state();
            let crashes = &mut state.crashes;
            crashes.record_end(now, &self.target, send, SendEnd::NotSent);
        }
    }

    /// Records that the answer has begun.
    pub(super) fn mark_begun(&mut self) {
        if !self.began {
            self.began = true;
            let now = self.context.now();
            let mut state = self.context.state();
            state.fleet.record_start(now, &self.target, self.demand);
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let now = self.context.now();
        let mut state = self.context.state();
        let fleet = &mut state.fleet;
        fleet.record_end(now, &self.target, self.demand, self.began);
        if let Some(send) = self.send {
            let crashes = &mut state.crashes;
            crashes.record_end(now, &self.target, send, self.end);
        }
    }
}

/// A slot that is kept at a target for one request. It is given back unless the request is sent.
pub(super) struct SlotGuard {
    context: Arc<ForwardContext>,
    slot: Slot,
    is_used: bool,
}

impl SlotGuard {
    /// Keeps the next slot at a target, `None` if the directory does not list the target any more.
    pub(super) fn acquire(context: &Arc<ForwardContext>, target: &TargetId) -> Option<Self> {
        let now = context.now();
        let slot = context.state().fleet.keep_slot(now, target)?;
        Some(Self {
            context: Arc::clone(context),
            slot,
            is_used: false,
        })
    }

    pub(super) fn slot(&self) -> &Slot {
        &self.slot
    }

    /// Records that the request is on its way to the target.
    pub(super) fn mark_used(&mut self) {
        self.is_used = true;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if !self.is_used {
            self.context.state().fleet.return_slot(&self.slot);
        }
    }
}

/// Counts the memory of a run's copy in the load of the target that keeps it.
pub(super) struct CopyGuard {
    context: Arc<ForwardContext>,
    keeper: TargetId,
    demand: Demand,
}

impl CopyGuard {
    pub(super) fn acquire(
        context: &Arc<ForwardContext>,
        keeper: &TargetId,
        demand: Demand,
    ) -> Self {
        context.state().fleet.count_copy(keeper, demand, true);
        Self {
            context: Arc::clone(context),
            keeper: keeper.clone(),
            demand,
        }
    }
}

impl CopyGuard {
    /// Returns whether the copy is at this target.
    pub(super) fn is_at(&self, keeper: &TargetId) -> bool {
        self.keeper == *keeper
    }
}

impl Drop for CopyGuard {
    fn drop(&mut self) {
        let mut state = self.context.state();
        state.fleet.count_copy(&self.keeper, self.demand, false);
    }
}
