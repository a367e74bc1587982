//! Performs one send of a request, from the choice of the target to the outcome.

use std::net::SocketAddr;

use bytes::Bytes;
use cw_policy::forward::CopyName;
use cw_policy::forward::ExchangeEvent;
use cw_policy::forward::Fault;
use cw_policy::forward::Placement;
use cw_policy::forward::Repeat;
use cw_policy::forward::Resume;
use cw_store::TargetRequestHead;
use cw_types::TargetId;
use cw_types::Time;
use cw_wire::CachedPrompt;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use log::info;

use super::chosen_target::ChosenTarget;
use super::connection_pool::PooledConnection;
use super::exchange_driver::ExchangeDriver;
use super::guards::CopyGuard;
use super::guards::RequestGuard;
use super::guards::SlotGuard;
use super::loss_check::record_crash;
use super::send_outcome::ActiveSend;
use super::send_outcome::SendOutcome;
use super::target_connection::ConnectError;
use super::target_connection::SendError;
use super::target_connection::TargetConnection;
use super::trial_guard::TrialGuard;

/// The target of a send, with the copy that it resumes from and the time limit.
pub(super) struct Destination {
    pub(super) placement: Placement,
    address: SocketAddr,
    /// The copy from which the target resumes.
    pub(super) resume_from: Option<CopyName>,
    /// The time after which the send is given up without an answer.
    pub(super) give_up_at: Option<Time>,
}

/// The action after a connection breaks before the answer.
enum AfterBreak {
    /// Send the request to the same target on a new connection, since no part of it was sent.
    Reconnect,
    /// Send the request again to the same target on a new connection, although it may have run.
    Repeat,
    /// End the send with this event.
    End(ExchangeEvent),
}

impl ExchangeDriver {
    /// Sends the request once.
    pub(super) async fn send(&mut self, resume: &Resume) -> SendOutcome {
        let chosen = match self.choose(resume).await {
            Ok(chosen) => chosen,
            Err(event) => return SendOutcome::Event(event),
        };
        let now = self.context.now();
        let ChosenTarget {
            placement,
            resumed,
            slot,
            trial,
        } = chosen;
        let Some(address) = self.address(&placement.target) else {
            return SendOutcome::Event(ExchangeEvent::NoTarget);
        };
        let resume_from = self.copy_name(resume, address).filter(|_| resumed);
        let destination = Destination {
            give_up_at: self.record_placement(now, &placement, resumed),
            placement,
            address,
            resume_from,
        };
        match self.transmit(&destination, slot, trial).await {
            Ok((active, response)) => self.receive(&destination, active, response).await,
            Err(event) => SendOutcome::Event(event),
        }
    }

    /// Records that the request is sent to a target, and returns the time after which the send is given up
    /// without an answer.
    fn record_placement(
        &mut self,
        now: Time,
        placement: &Placement,
        resumed: bool,
    ) -> Option<Time> {
        self.record_send(now, placement, resumed);
        self.record_rollout_send(now, placement);
        self.record_prompt(now, &placement.target);
        self.exchange.record_send(now, placement.clone());
        self.sent_at = now;
        let prompt_time = {
            let state = self.context.state();
            let prompt = self.request.head.demand.prompt;
            state
                .run_times
                .max_prompt_time(&self.request.service, prompt)
        };
        self.exchange.start_deadline(now, resumed, prompt_time)
    }

    /// Records that a target reads the prompt of the request.
    fn record_prompt(&self, now: Time, target: &TargetId) {
        let Some(prompt) = self.prompt_hash else {
            return;
        };
        let mut state = self.context.state();
        if let Some(target) = state.fleet.hash(target) {
            let read = CachedPrompt { prompt, target };
            state.own_prompts.record(now, read);
        }
    }

    /// Returns the name by which engines know the copy that the request resumes from.
    fn copy_name(&self, resume: &Resume, address: SocketAddr) -> Option<CopyName> {
        let copy = resume.copy.as_ref()?;
        Some(copy.name.clone().unwrap_or_else(|| CopyName {
            address,
            name: self.request.head.id.clone(),
        }))
    }

    /// Sends the request, and returns the head of the response.
    async fn transmit(
        &mut self,
        destination: &Destination,
        mut slot: Option<SlotGuard>,
        trial: Option<TrialGuard>,
    ) -> Result<(ActiveSend, Response<Incoming>), ExchangeEvent> {
        let id = &destination.placement.target;
        let demand = self.request.head.demand;
        // The guard is acquired before the first await, so that the next selection counts this
        // request.
        let mut guard = RequestGuard::acquire(&self.context, id, demand, trial);
        let keeper = destination.placement.keeper.as_ref();
        let copy_guard = keeper.map(|keeper| CopyGuard::acquire(&self.context, keeper, demand));
        let now = self.context.now();
        let pooled = self.context.pool.take(now, id, destination.address).await;
        let pooled = pooled.map_err(|error| self.on_unreachable(id, &error))?;
        let mut may_have_run = false;
        let PooledConnection {
            mut connection,
            mut reused,
        } = self.verified(destination, pooled, may_have_run).await?;
        loop {
            if !self.is_still_open(destination) {
                let event = ExchangeEvent::NotSent(Fault::Leaving);
                return Err(event.after_earlier_run(may_have_run));
            }
            let Some(request) = self.build_request(destination) else {
                let event = ExchangeEvent::NotSent(Fault::Late);
                return Err(event.after_earlier_run(may_have_run));
            };
            if let Some(slot) = &mut slot {
                slot.mark_used();
            }
            guard.mark_sent(destination.placement.incarnation, &self.keys);
            self.record_rollout_transmission();
            let error = match self
                .in_time(destination.give_up_at, connection.send(request))
                .await?
            {
                Ok(response) => {
                    let active = ActiveSend {
                        connection,
                        guard,
                        _copy_guard: copy_guard,
                        may_have_run,
                    };
                    return Ok((active, response));
                }
                Err(error) => error,
            };
            self.log_break(&error);
            match self.after_break(&error, reused) {
                AfterBreak::Reconnect => guard.mark_not_sent(),
                AfterBreak::Repeat if self.spend_repeat(id) => may_have_run = true,
                AfterBreak::Repeat => return Err(ExchangeEvent::Lost(Fault::Broken)),
                AfterBreak::End(event) => {
                    if matches!(event, ExchangeEvent::NotRun(_)) {
                        guard.mark_not_sent();
                    }
                    return Err(event);
                }
            }
            let fresh = self.reconnect(destination, may_have_run).await?;
            PooledConnection { connection, reused } =
                self.verified(destination, fresh, may_have_run).await?;
        }
    }

    /// Returns whether the target still takes the request, which may have changed while it was connected to.
    fn is_still_open(&self, destination: &Destination) -> bool {
        let now = self.context.now();
        let state = self.context.state();
        let placement = &destination.placement;
        state.fleet.is_still_open(placement) && self.may_use(now, &state, &placement.target)
    }

    /// Connects to the target again after a connection has broken.
    pub(super) async fn reconnect(
        &self,
        destination: &Destination,
        may_have_run: bool,
    ) -> Result<PooledConnection, ExchangeEvent> {
        let id = &destination.placement.target;
        self.context.pool.close(id);
        match TargetConnection::connect(destination.address).await {
            Ok(connection) => Ok(PooledConnection {
                connection,
                reused: false,
            }),
            Err(error) => {
                let event = self.on_unreachable(id, &error);
                Err(event.after_earlier_run(may_have_run))
            }
        }
    }

    /// Charges the budget for a repeat at the same target. Returns whether the budget and the limit of
    /// the target allow one.
    fn spend_repeat(&self, target: &TargetId) -> bool {
        let now = self.context.now();
        let precedence = self.exchange.plan().precedence;
        let mut state = self.context.state();
        if !state.fleet.has_slot(now, target) || !self.may_use(now, &state, target) {
            return false;
        }
        let is_allowed = state
            .budgets
            .try_spend_beside(now, &self.request.service, |room| precedence.kept(room));
        if is_allowed {
            state.fleet.take_slot(now, target);
        }
        is_allowed
    }

    fn on_unreachable(&self, id: &TargetId, error: &ConnectError) -> ExchangeEvent {
        info!(
            request = self.request.head.id.as_str(),
            target_id = id.as_str();
            "failed to connect to a target: {error}"
        );
        if error.is_refused() {
            record_crash(&self.context, id, "a refused connection");
        }
        ExchangeEvent::NotSent(Fault::Unreachable)
    }

    /// Logs why the connection to the current target broke.
    pub(super) fn log_break(&self, error: &SendError) {
        let target = self.exchange.placed().map(|placed| placed.target.as_str());
        info!(
            request = self.request.head.id.as_str(),
            target_id = target.unwrap_or("none");
            "the connection to a target failed: {error}"
        );
    }

    /// Logs why the body of an answer is not complete.
    pub(super) fn log_incomplete(&self, error: &(dyn std::error::Error + Send + Sync)) {
        let target = self.exchange.placed().map(|placed| placed.target.as_str());
        info!(
            request = self.request.head.id.as_str(),
            target_id = target.unwrap_or("none");
            "the answer of a target is incomplete: {error:?}"
        );
    }

    /// Returns the action after a connection breaks before the head of the response. `reused` says
    /// whether it had carried a request before.
    fn after_break(&self, error: &SendError, reused: bool) -> AfterBreak {
        let may_repeat = self.exchange.plan().repeat != Repeat::Never;
        match (error.is_unsent(), reused) {
            // Nothing was sent, because the connection had been closed in the meantime.
            (true, true) => AfterBreak::Reconnect,
            (true, false) => AfterBreak::End(ExchangeEvent::NotRun(Fault::Broken)),
            // Targets drop idle connections without notice, so the target may well be alive. One that sends what is no
            // answer is in trouble.
            (false, true) if may_repeat && error.is_connection() => AfterBreak::Repeat,
            (false, _) => AfterBreak::End(ExchangeEvent::Lost(Fault::Broken)),
        }
    }

    /// Returns the request as it is sent now, unless its deadline has passed.
    fn build_request(&self, destination: &Destination) -> Option<Request<Bytes>> {
        let remaining = self.context.now().until(self.exchange.plan().deadline);
        if remaining.is_zero() {
            return None;
        }
        let accepted = &self.request;
        let copy = destination
            .placement
            .keeper
            .as_ref()
            .and_then(|id| self.address(id));
        let rank = self.exchange.plan().precedence.rank;
        let send = TargetRequestHead {
            id: &accepted.head.id,
            target: &destination.placement.target,
            workspace: accepted.admitted.workspace.as_ref(),
            remaining,
            priority: (accepted.memory)
                .map(|_| (accepted.config).engine_priority(&accepted.service, rank)),
            last_event: accepted.events.last(),
            weight_version: self.weights,
            copy_address: copy,
            resume_from: destination.resume_from.as_ref(),
        };
        let mut request = Request::new(accepted.body.clone());
        *request.method_mut() = accepted.parts.method.clone();
        *request.uri_mut() = accepted.parts.uri.clone();
        *request.headers_mut() = self
            .context
            .dialect
            .target_headers(&accepted.parts.headers, &send);
        Some(request)
    }
}
