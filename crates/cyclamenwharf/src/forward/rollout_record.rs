//! Records what each run shows about the version that it runs at, while its service has a roll-out.

use std::sync::Arc;
use std::time::Duration;

use cw_policy::forward::ExchangeEvent;
use cw_policy::forward::Fault;
use cw_policy::forward::Placement;
use cw_policy::rollout::RunEnd;
use cw_policy::rollout::RunOutcome;
use cw_policy::rollout::Side;
use cw_types::RouteName;
use cw_types::ServiceName;
use cw_types::Time;

use super::exchange_driver::ExchangeDriver;
use super::forward_context::ForwardContext;

/// A run of a service that has a roll-out. Dropping it records its end.
pub(super) struct RolloutRun {
    context: Arc<ForwardContext>,
    service: ServiceName,
    route: RouteName,
    side: Side,
    sent_at: Time,
    /// When the last part of the answer came.
    last_at: Option<Time>,
    /// The longest pause between two parts of the answer.
    longest_pause: Option<Duration>,
    end: RunEnd,
    /// Whether the run was given up for its silence, which shows how slow the version is.
    is_silent: bool,
}

impl RolloutRun {
    /// Records that a part of the answer has come.
    pub(super) fn record_part(&mut self, now: Time) {
        match self.last_at.replace(now) {
            Some(last) => self.longest_pause = self.longest_pause.max(Some(now.since(last))),
            None => {
                let time = now.since(self.sent_at);
                let mut state = self.context.state();
                let rollouts = &mut state.rollouts;
                rollouts.record_first(now, &self.service, &self.route, self.side, time);
            }
        }
    }
}

impl Drop for RolloutRun {
    fn drop(&mut self) {
        let now = self.context.now();
        let waited = now.since(self.last_at.unwrap_or(self.sent_at));
        let waited = self.is_silent.then_some(waited);
        let is_begun = self.last_at.is_some();
        let outcome = RunOutcome {
            end: self.end,
            first: waited.filter(|_| !is_begun),
            pause: self.longest_pause.max(waited.filter(|_| is_begun)),
        };
        let mut state = self.context.state();
        if self.end == RunEnd::Answered {
            let length = state.run_lengths.entry(self.service.clone()).or_default();
            length.record(now.since(self.sent_at));
        }
        let rollouts = &mut state.rollouts;
        rollouts.record_outcome(now, &self.service, &self.route, self.side, outcome);
    }
}

impl ExchangeDriver {
    /// Records a send, if the service has a roll-out.
    pub(super) fn record_rollout_send(&mut self, now: Time, placement: &Placement) {
        // The run before ends first.
        self.rollout_run = None;
        let service = &self.request.service;
        let route = &self.request.admitted.route.name;
        let mut state = self.context.state();
        if state.ordered_software(service).is_none() {
            return;
        }
        let side = state.rollouts.side_of(service, placement.software);
        state.rollouts.record_send(now, service, route, side);
        drop(state);
        self.rollout_run = Some(RolloutRun {
            context: Arc::clone(&self.context),
            service: service.clone(),
            route: route.clone(),
            side,
            sent_at: now,
            last_at: None,
            longest_pause: None,
            end: RunEnd::Dropped,
            is_silent: false,
        });
    }

    /// Records that the request goes out on a connection. A target that has just started has none open yet, which
    /// shows nothing about its version.
    pub(super) fn record_rollout_transmission(&mut self) {
        let now = self.context.now();
        if let Some(run) = &mut self.rollout_run {
            run.sent_at = now;
        }
    }

    /// Records that a part of the answer has come.
    pub(super) fn record_rollout_part(&mut self) {
        let now = self.context.now();
        if let Some(run) = &mut self.rollout_run {
            run.record_part(now);
        }
    }

    /// Records how the run has ended.
    pub(super) fn record_rollout_end(&mut self, end: RunEnd) {
        if let Some(mut run) = self.rollout_run.take() {
            run.end = end;
        }
    }

    /// Records how the run has ended, by the event that ended it. A broken connection is a failure of a host; a
    /// failure of the version has been recorded where it was found.
    pub(super) fn record_rollout_event(&mut self, event: ExchangeEvent) {
        let end = match event {
            ExchangeEvent::Failed => RunEnd::Failed,
            ExchangeEvent::Lost(Fault::Broken | Fault::Unreachable | Fault::Silent)
            | ExchangeEvent::Expired => RunEnd::Lost,
            _ => RunEnd::Dropped,
        };
        if let Some(run) = &mut self.rollout_run {
            let silent = ExchangeEvent::Lost(Fault::Silent);
            run.is_silent = event == silent || event == ExchangeEvent::Expired;
        }
        self.record_rollout_end(end);
    }
}
