//! Performs one send of a request, from the choice of the target to the outcome.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cw_policy::forward::CopyName;
use cw_policy::forward::ExchangeEvent;
use cw_policy::forward::Fault;
use cw_policy::forward::Placement;
use cw_policy::forward::Repeat;
use cw_policy::forward::Resume;
use cw_store::TargetRequestHead;
use cw_store::TargetResponseHead;
use cw_types::TargetId;
use cw_types::Time;
use cw_wire::CachedPrompt;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use log::info;

use super::connection_pool::PooledConnection;
use super::exchange_driver::ExchangeDriver;
use super::guards::CopyGuard;
use super::guards::RequestGuard;
use super::loss_check::record_crash;
use super::placement_choice::PlacementChoice;
use super::response::BufferedResponse;
use super::send_outcome::ActiveSend;
use super::send_outcome::Reuse;
use super::send_outcome::SendOutcome;
use super::send_outcome::TargetStream;
use super::target_connection::ConnectError;
use super::target_connection::TargetConnection;

/// How often a request that waits for its first event checks whether its target is suspected. It is
/// a small part of a normal pause.
const SUSPICION_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// The delay after a successful probe of a suspected target until the next one. Each probe opens a
/// connection, which is charged.
const PROBE_PERIOD: Duration = Duration::from_millis(1000);

/// The target of a send, with the copy that it resumes from and the time limit.
struct Destination {
    placement: Placement,
    address: SocketAddr,
    /// The copy from which the target resumes.
    resume_from: Option<CopyName>,
    /// The time after which the send is given up without an answer.
    give_up_at: Option<Time>,
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

/// A response whose body has not been read.
struct ResponseStart {
    head: BufferedResponse,
    body: Incoming,
    reuse: Reuse,
    active: ActiveSend,
}

impl ExchangeDriver {
    /// Sends the request once.
    pub(super) async fn send(&mut self, resume: &Resume) -> SendOutcome {
        let now = self.context.now();
        let deadline = self.exchange.plan().deadline;
        if now >= deadline {
            return SendOutcome::Event(ExchangeEvent::Expired);
        }
        if self.crashes_targets(now).await {
            return SendOutcome::Event(ExchangeEvent::CrashesTargets);
        }
        let now = self.context.now();
        let (placement, resumed) = match self.place(now, resume) {
            PlacementChoice::Send(placement, resumed) => (placement, resumed),
            PlacementChoice::NoTarget => return SendOutcome::Event(ExchangeEvent::NoTarget),
            PlacementChoice::Crowded(after) => {
                self.retry_after = Some(after);
                return SendOutcome::Event(ExchangeEvent::Crowded);
            }
        };
        let Some(address) = self.address(&placement.target) else {
            return SendOutcome::Event(ExchangeEvent::NoTarget);
        };
        self.record_send(now, &placement, resumed);
        if let Some(prompt) = self.prompt_hash {
            let mut state = self.context.state();
            if let Some(target) = state.fleet.hash(&placement.target) {
                let read = CachedPrompt { prompt, target };
                state.own_prompts.record(now, read);
            }
        }
        self.exchange.record_send(now, placement.clone());
        self.sent_at = now;
        let prompt_time = {
            let state = self.context.state();
            let prompt = self.request.head.demand.prompt;
            state
                .run_times
                .max_prompt_time(&self.request.service, prompt)
        };
        let resume_from = self.copy_name(resume, address).filter(|_| resumed);
        let destination = Destination {
            give_up_at: self.exchange.start_deadline(now, resumed, prompt_time),
            placement,
            address,
            resume_from,
        };
        match self.transmit(now, &destination).await {
            Ok((active, response)) => self.receive(&destination, active, response).await,
            Err(event) => SendOutcome::Event(event),
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
        &self,
        now: Time,
        destination: &Destination,
    ) -> Result<(ActiveSend, Response<Incoming>), ExchangeEvent> {
        let id = &destination.placement.target;
        let demand = self.request.head.demand;
        // The guard is acquired before the first await, so that the next selection counts this
        // request.
        let mut guard = RequestGuard::acquire(&self.context, id, demand);
        let keeper = destination.placement.keeper.as_ref();
        let copy_guard = keeper.map(|keeper| CopyGuard::acquire(&self.context, keeper, demand));
        let pooled = self.context.pool.take(now, id, destination.address).await;
        let PooledConnection {
            mut connection,
            mut reused,
        } = pooled.map_err(|error| self.on_unreachable(id, &error))?;
        let mut may_have_run = false;
        loop {
            guard.mark_sent(destination.placement.incarnation, self.fingerprint);
            let request = self.build_request(now, destination);
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
                AfterBreak::Repeat if self.spend_repeat(now) => may_have_run = true,
                AfterBreak::Repeat => return Err(ExchangeEvent::Lost(Fault::Broken)),
                AfterBreak::End(event) => {
                    if matches!(event, ExchangeEvent::NotRun(_)) {
                        guard.mark_not_sent();
                    }
                    return Err(event);
                }
            }
            self.context.pool.close(id);
            let reconnected = TargetConnection::connect(destination.address).await;
            connection = reconnected.map_err(|error| {
                let event = self.on_unreachable(id, &error);
                after_earlier_run(event, may_have_run)
            })?;
            reused = false;
        }
    }

    /// Charges the budget for a repeat at the same target. Returns whether it allows one.
    fn spend_repeat(&self, now: Time) -> bool {
        let mut state = self.context.state();
        state.budgets.try_spend(now, &self.request.service)
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
        ExchangeEvent::NotRun(Fault::Unreachable)
    }

    /// Logs why the connection to the current target broke.
    pub(super) fn log_break(&self, error: &hyper::Error) {
        let target = self.exchange.placed().map(|placed| placed.target.as_str());
        info!(
            request = self.request.head.id.as_str(),
            target_id = target.unwrap_or("none");
            "the connection to a target failed: {error:?}"
        );
    }

    /// Returns the action after a connection breaks before the head of the response. `reused` says
    /// whether it had carried a request before.
    fn after_break(&self, error: &hyper::Error, reused: bool) -> AfterBreak {
        let may_repeat = self.exchange.plan().repeat != Repeat::Never;
        match (error.is_canceled(), reused) {
            // Nothing was sent, because the connection had been closed in the meantime.
            (true, true) => AfterBreak::Reconnect,
            (true, false) => AfterBreak::End(ExchangeEvent::NotRun(Fault::Broken)),
            // Targets drop idle connections without notice, so the target may well be alive.
            (false, true) if may_repeat => AfterBreak::Repeat,
            (false, _) => AfterBreak::End(ExchangeEvent::Lost(Fault::Broken)),
        }
    }

    /// Reads a response: all of it, or the first events of a stream.
    async fn receive(
        &mut self,
        destination: &Destination,
        mut active: ActiveSend,
        response: Response<Incoming>,
    ) -> SendOutcome {
        let resumed = destination.resume_from.is_some();
        let (parts, body) = response.into_parts();
        let answer = self.context.dialect.parse_response(&parts);
        if let Some(event) = self.mismatch_event(&answer, resumed) {
            if !matches!(event, ExchangeEvent::Lost(_)) {
                active.guard.mark_answered();
            }
            return SendOutcome::Event(after_earlier_run(event, active.may_have_run));
        }
        if let Some(load) = answer.load {
            let now = self.context.now();
            let mut state = self.context.state();
            state
                .fleet
                .record_load(now, &destination.placement.target, load);
        }
        let head = BufferedResponse {
            status: parts.status,
            headers: self.context.dialect.caller_headers(&parts.headers),
            body: Bytes::new(),
        };
        let reuse = match answer.close {
            true => Reuse::No,
            false => Reuse::Idle(answer.idle_timeout),
        };
        let start = ResponseStart {
            head,
            body,
            reuse,
            active,
        };
        if parts.status.is_success() && self.exchange.plan().streaming {
            if self.weights.is_none() {
                self.weights = answer.weight_version;
            }
            return self
                .read_first_events(start, destination.give_up_at, resumed)
                .await;
        }
        self.read_whole(start, destination.give_up_at).await
    }

    fn build_request(&self, now: Time, destination: &Destination) -> Request<Full<Bytes>> {
        let accepted = &self.request;
        let copy = destination
            .placement
            .keeper
            .as_ref()
            .and_then(|id| self.address(id));
        let send = TargetRequestHead {
            id: &accepted.head.id,
            target: &destination.placement.target,
            workspace: accepted.admitted.workspace.as_ref(),
            remaining: now.until(self.exchange.plan().deadline),
            priority: accepted.memory.map(|_| accepted.admitted.priority),
            last_event: accepted.events.last(),
            weight_version: self.weights,
            copy_address: copy,
            resume_from: destination.resume_from.as_ref(),
        };
        let mut request = Request::new(Full::new(accepted.body.clone()));
        *request.method_mut() = accepted.parts.method.clone();
        *request.uri_mut() = accepted.parts.uri.clone();
        *request.headers_mut() = self
            .context
            .dialect
            .target_headers(&accepted.parts.headers, &send);
        request
    }

    /// Returns the event for a response that does not answer this request, `None` for one that
    /// does.
    fn mismatch_event(&self, answer: &TargetResponseHead, resumed: bool) -> Option<ExchangeEvent> {
        if answer.wrong_target {
            return Some(ExchangeEvent::NotRun(Fault::Replaced));
        }
        if answer.not_executed && resumed {
            return Some(ExchangeEvent::NoCopy);
        }
        if answer.not_executed {
            return Some(ExchangeEvent::NotRun(Fault::Full));
        }
        let is_same_id = answer.id.as_deref() == Some(self.request.head.id.as_str());
        let is_own = is_same_id && answer.from_target;
        (!is_own).then_some(ExchangeEvent::Lost(Fault::Broken))
    }

    async fn read_whole(&self, start: ResponseStart, give_up_at: Option<Time>) -> SendOutcome {
        let ResponseStart {
            head,
            body,
            reuse,
            mut active,
        } = start;
        let body = match self.in_time(give_up_at, body.collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => {
                self.log_break(&error);
                return SendOutcome::Event(ExchangeEvent::Lost(Fault::Broken));
            }
            Err(event) => return SendOutcome::Event(event),
        };
        active.guard.mark_begun();
        self.record_completion(&mut active);
        self.release_connection(active, reuse);
        let answer = BufferedResponse { body, ..head };
        match answer.status.is_server_error() {
            true => SendOutcome::ErrorResponse(answer),
            false => SendOutcome::Response(answer),
        }
    }

    /// Records that a target has run the request to its end.
    pub(super) fn record_completion(&self, active: &mut ActiveSend) {
        active.guard.mark_answered();
        let now = self.context.now();
        let mut state = self.context.state();
        state.crashes.record_completion(now, self.fingerprint);
    }

    /// Returns the connection of a completed request to the pool, if the target keeps it open.
    pub(super) fn release_connection(&self, active: ActiveSend, reuse: Reuse) {
        let Reuse::Idle(idle) = reuse else {
            return;
        };
        if let Some(placed) = self.exchange.placed() {
            let now = self.context.now();
            self.context
                .pool
                .put(now, &placed.target, active.connection, idle);
        }
    }

    async fn read_first_events(
        &mut self,
        start: ResponseStart,
        give_up_at: Option<Time>,
        resumed: bool,
    ) -> SendOutcome {
        let ResponseStart {
            head,
            mut body,
            reuse,
            mut active,
        } = start;
        self.request.events.restart();
        loop {
            let frame = match self.in_time(give_up_at, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                // The caller already has the last event, and nothing follows it.
                Ok(None) if self.request.events.may_end() => {
                    active.guard.mark_begun();
                    self.record_completion(&mut active);
                    self.release_connection(active, reuse);
                    return SendOutcome::StreamEnd(head);
                }
                Ok(Some(Err(error))) => {
                    self.log_break(&error);
                    return SendOutcome::Event(ExchangeEvent::Lost(Fault::Broken));
                }
                Ok(None) => {
                    info!(
                        request = self.request.head.id.as_str();
                        "the response ended before its first event"
                    );
                    return SendOutcome::Event(ExchangeEvent::Lost(Fault::Broken));
                }
                Err(event) => return SendOutcome::Event(event),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            match self.request.events.push(&data) {
                Ok(first) if first.is_empty() => {}
                Ok(first) => {
                    self.exchange.record_start();
                    active.guard.mark_begun();
                    self.record_prompt_time(resumed);
                    return SendOutcome::Stream(Box::new(TargetStream {
                        head,
                        first,
                        body,
                        reuse,
                        active,
                    }));
                }
                Err(error) => {
                    info!(
                        request = self.request.head.id.as_str();
                        "the stream contains an invalid event: {error}"
                    );
                    return SendOutcome::Event(ExchangeEvent::Lost(Fault::Broken));
                }
            }
        }
    }

    /// Records how long the target took to read the whole prompt.
    fn record_prompt_time(&self, resumed: bool) {
        let prompt = self.request.head.demand.prompt;
        if !resumed {
            let time = self.context.now().since(self.sent_at);
            let mut state = self.context.state();
            let ahead = (self.backlog.excess == 0).then_some(self.backlog.unread);
            let service = &self.request.service;
            state.run_times.record_prompt(service, prompt, ahead, time);
        }
    }

    /// Awaits `work` until the send is given up or the deadline has passed.
    async fn in_time<T>(
        &self,
        give_up_at: Option<Time>,
        work: impl Future<Output = T>,
    ) -> Result<T, ExchangeEvent> {
        let deadline = self.exchange.plan().deadline;
        let until = give_up_at.map_or(deadline, |give_up_at| give_up_at.min(deadline));
        let instant = self.context.clock.instant(until);
        tokio::select! {
            biased;
            done = work => Ok(done),
            () = tokio::time::sleep_until(instant) => {
                Err(match self.context.now() >= deadline {
                    true => ExchangeEvent::Expired,
                    false => ExchangeEvent::Lost(Fault::Silent),
                })
            }
            () = self.confirmed_down() => Err(ExchangeEvent::Lost(Fault::Silent)),
        }
    }

    /// Completes when the target is suspected and cannot be reached.
    ///
    /// Reading a prompt can take long, so silence alone does not show that the target has failed.
    async fn confirmed_down(&self) {
        let Some(placed) = self.exchange.placed() else {
            return std::future::pending().await;
        };
        if self.exchange.plan().repeat != Repeat::Resume {
            return std::future::pending().await;
        }
        let id = &placed.target;
        loop {
            tokio::time::sleep(SUSPICION_CHECK_PERIOD).await;
            let now = self.context.now();
            if !self.context.state().fleet.is_suspect(now, id) {
                continue;
            }
            let Some(address) = self.address(id) else {
                continue;
            };
            match TargetConnection::connect(address).await {
                Ok(connection) => {
                    let now = self.context.now();
                    self.context.state().fleet.record_response(now, id);
                    self.context.pool.put(now, id, connection, None);
                    tokio::time::sleep(PROBE_PERIOD).await;
                }
                Err(error) => {
                    info!(
                        request = self.request.head.id.as_str(),
                        target_id = id.as_str();
                        "failed to connect to a suspected target: {error}"
                    );
                    return;
                }
            }
        }
    }
}

/// Returns the event that ends a send, given its last event. What shows that the last transmission
/// did not run says nothing about an earlier one to the same target.
fn after_earlier_run(event: ExchangeEvent, may_have_run: bool) -> ExchangeEvent {
    match event {
        ExchangeEvent::NotRun(fault) if may_have_run => ExchangeEvent::Lost(fault),
        ExchangeEvent::NoCopy if may_have_run => ExchangeEvent::Lost(Fault::Broken),
        event => event,
    }
}
