//! Reads the response to one send of a request: all of it, or the first events of a stream.

use std::time::Duration;

use bytes::Bytes;
use cw_policy::forward::AnswerKind;
use cw_policy::forward::EventBatch;
use cw_policy::forward::ExchangeEvent;
use cw_policy::forward::Fault;
use cw_policy::forward::Placement;
use cw_policy::forward::StreamError;
use cw_policy::rollout::RunEnd;
use cw_store::BodyBuffer;
use cw_store::BodyMemory;
use cw_store::TargetResponseHead;
use cw_types::Rate;
use cw_types::Time;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use log::info;

use super::exchange_driver::ExchangeDriver;
use super::exchange_driver::millis;
use super::response::BufferedResponse;
use super::send_outcome::ActiveSend;
use super::send_outcome::BodyEnd;
use super::send_outcome::EventMemory;
use super::send_outcome::Reuse;
use super::send_outcome::SendOutcome;
use super::send_outcome::TargetStream;
use super::sending::Destination;
use super::target_connection::SendError;

/// The maximum size of the body of an answer that is not a stream. The smallest entries have 88 MB for all
/// requests, and a target in trouble may send bytes without end.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// A response whose body has not been read.
struct ResponseStart {
    head: BufferedResponse,
    body: Incoming,
    end: BodyEnd,
    reuse: Reuse,
    active: ActiveSend,
    memory: BodyMemory,
}

impl ExchangeDriver {
    /// Reads a response: all of it, or the first events of a stream.
    pub(super) async fn receive(
        &mut self,
        destination: &Destination,
        mut active: ActiveSend,
        response: Response<Incoming>,
    ) -> SendOutcome {
        let resumed = destination.resume_from.is_some();
        let (parts, body) = response.into_parts();
        let answer = self.context.dialect.parse_response(&parts);
        self.record_target_state(&destination.placement, &answer);
        if let Some(event) = self.mismatch_event(&answer, resumed) {
            if matches!(event, ExchangeEvent::Lost(_)) {
                self.record_rollout_end(RunEnd::Failed);
            }
            if !matches!(event, ExchangeEvent::Lost(_)) {
                active.guard.mark_answered(AnswerKind::Refusal);
            }
            return SendOutcome::Event(event.after_earlier_run(active.may_have_run));
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
            end: BodyEnd::of(&parts.headers, &body),
            body,
            reuse,
            active,
            memory: self.context.pool.memory(&destination.placement.target),
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

    /// Returns the event for a response that does not answer this request, `None` for one that
    /// does.
    fn mismatch_event(&self, answer: &TargetResponseHead, resumed: bool) -> Option<ExchangeEvent> {
        // A late answer to an earlier request on the connection says nothing of this one, which may run.
        if self.is_foreign(answer) {
            return Some(ExchangeEvent::Lost(Fault::Broken));
        }
        if answer.wrong_target {
            return Some(ExchangeEvent::NotRun(Fault::Replaced));
        }
        if answer.not_executed && resumed {
            return Some(ExchangeEvent::NoCopy);
        }
        if answer.not_executed {
            return Some(ExchangeEvent::NotRun(Fault::Full));
        }
        (!self.is_own(answer)).then_some(ExchangeEvent::Lost(Fault::Broken))
    }

    /// Records what a target says of itself in the head of a response.
    fn record_target_state(&self, placement: &Placement, answer: &TargetResponseHead) {
        if answer.wrong_target {
            return;
        }
        self.record_limit(placement, answer.rate_limit);
        self.record_rest(placement, answer.rest);
        if answer.leaving {
            self.record_leaving(placement);
        }
        // A late response to another request tells an old load, and a refusal has effects of its own.
        let is_run = self.is_own(answer) && !answer.not_executed;
        if is_run {
            let (target, incarnation) = (&placement.target, placement.incarnation);
            let mut state = self.context.state();
            state.fleet.record_run(target, incarnation, self.sent_at);
        }
        if let Some(load) = answer.load.filter(|_| is_run) {
            let now = self.context.now();
            let mut state = self.context.state();
            state.fleet.record_load(now, &placement.target, load);
        }
    }

    /// Returns whether the response names another request. Refusals may name none.
    fn is_foreign(&self, answer: &TargetResponseHead) -> bool {
        let id = answer.id.as_deref();
        id.is_some_and(|id| id != self.request.head.id.as_str())
    }

    /// Returns whether the target has responded to this request by running it.
    fn is_own(&self, answer: &TargetResponseHead) -> bool {
        let is_same_id = answer.id.as_deref() == Some(self.request.head.id.as_str());
        is_same_id && answer.from_target
    }

    /// Records the limit that a target names in the head of a response.
    fn record_limit(&self, placement: &Placement, limit: Option<Rate>) {
        let now = self.context.now();
        let (target, incarnation) = (&placement.target, placement.incarnation);
        let mut state = self.context.state();
        let fleet = &mut state.fleet;
        if !fleet.record_limit(now, target, incarnation, self.sent_at, limit) {
            return;
        }
        self.context.peer_update.notify_one();
        info!(
            request = self.request.head.id.as_str(),
            target_id = target.as_str(),
            limit = limit.map_or("none".to_owned(), |limit| limit.to_string());
            "a target has changed the limit that it names"
        );
    }

    /// Records that a target says that it is leaving.
    fn record_leaving(&self, placement: &Placement) {
        let (target, incarnation) = (&placement.target, placement.incarnation);
        let now = self.context.now();
        let mut state = self.context.state();
        if state.fleet.record_leaving(now, target, incarnation) {
            info!(
                request = self.request.head.id.as_str(),
                target_id = target.as_str();
                "a target says that it is leaving"
            );
        }
    }

    /// Records that a target which has turned the request away wants none for a while.
    fn record_rest(&self, placement: &Placement, rest: Option<Duration>) {
        let Some(rest) = rest else {
            return;
        };
        let now = self.context.now();
        let (target, incarnation) = (&placement.target, placement.incarnation);
        let mut state = self.context.state();
        state.fleet.record_rest(now, target, incarnation, rest);
        info!(
            request = self.request.head.id.as_str(),
            target_id = target.as_str(),
            rest_ms = millis(rest);
            "a target wants no requests for a while"
        );
    }

    async fn read_whole(&mut self, start: ResponseStart, give_up_at: Option<Time>) -> SendOutcome {
        let ResponseStart {
            head,
            body,
            end,
            reuse,
            mut active,
            memory,
        } = start;
        let body = BodyBuffer::new(MAX_ANSWER_BYTES, &memory).read(body);
        let body = match self.in_time(give_up_at, body).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => {
                self.log_incomplete(&error);
                return SendOutcome::Event(ExchangeEvent::Lost(Fault::Broken));
            }
            Err(event) => return SendOutcome::Event(event),
        };
        if !end.is_whole(&active.connection) {
            return SendOutcome::Event(self.record_early_end());
        }
        active.guard.mark_begun();
        match head.status.is_success() {
            true => self.record_completion(&mut active, "a complete answer"),
            // A target may answer with an error long before the moment at which the request would crash it.
            false => active.guard.mark_answered(AnswerKind::Failure),
        }
        self.release_connection(active, reuse);
        let answer = BufferedResponse { body, ..head };
        self.record_rollout_part();
        self.record_rollout_end(match answer.status.is_server_error() {
            true => RunEnd::Failed,
            false => RunEnd::Answered,
        });
        match answer.status.is_server_error() {
            true => SendOutcome::ErrorResponse(answer),
            false => SendOutcome::Response(answer),
        }
    }

    /// Records that a target has run the request to its end. `evidence` says in the log how that was seen.
    pub(super) fn record_completion(&self, active: &mut ActiveSend, evidence: &str) {
        active.guard.mark_answered(AnswerKind::Complete);
        active.guard.mark_run_on(&self.keys, evidence);
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
            end,
            reuse,
            mut active,
            memory,
        } = start;
        self.request.events.restart();
        let mut memory = EventMemory::new(memory);
        loop {
            let data = match self.next_data(&mut body, give_up_at).await {
                Ok(Some(data)) => data,
                Ok(None) if !end.is_whole(&active.connection) => {
                    return SendOutcome::Event(self.record_early_end());
                }
                // The caller already has the last event, and nothing follows it.
                Ok(None) if self.request.events.may_end() => {
                    active.guard.mark_begun();
                    self.record_completion(&mut active, "the end of its stream");
                    self.release_connection(active, reuse);
                    self.record_rollout_end(RunEnd::Answered);
                    return SendOutcome::StreamEnd(head);
                }
                Ok(None) => {
                    info!(
                        request = self.request.head.id.as_str();
                        "the response ended before its first event"
                    );
                    self.record_rollout_end(RunEnd::Failed);
                    return SendOutcome::Event(ExchangeEvent::Lost(Fault::Broken));
                }
                Err(event) => return SendOutcome::Event(event),
            };
            let first = match self.read_events(&data, &mut memory) {
                Ok(first) => first,
                Err(event) => return SendOutcome::Event(event),
            };
            if first.has_events() {
                self.exchange.record_start();
                self.record_rollout_part();
                self.record_origin();
                active.guard.mark_begun();
                self.record_prompt_time(resumed);
                return SendOutcome::Stream(Box::new(TargetStream {
                    head,
                    first,
                    body,
                    memory,
                    end,
                    reuse,
                    active,
                }));
            }
            if let Some(error) = first.fault() {
                return SendOutcome::Event(self.record_invalid_event(error));
            }
        }
    }

    /// Adds data of a stream, and returns the events that are new to the caller. The memory that they take counts
    /// towards `memory`.
    pub(super) fn read_events(
        &mut self,
        data: &Bytes,
        memory: &mut EventMemory,
    ) -> Result<EventBatch, ExchangeEvent> {
        let events = &mut self.request.events;
        let batch = events.push(data);
        memory.keep(batch, events.partial_len()).map_err(|error| {
            info!(
                request = self.request.head.id.as_str(),
                last_event = self.request.events.last().unwrap_or_default();
                "there is no memory for the events of the stream: {error}"
            );
            self.record_rollout_end(RunEnd::Failed);
            ExchangeEvent::Lost(Fault::Broken)
        })
    }

    /// Records that an event behind those that were passed on is invalid, and returns the event for its stream.
    pub(super) fn record_invalid_event(&mut self, error: StreamError) -> ExchangeEvent {
        let target = self.exchange.placed().map(|placed| placed.target.as_str());
        info!(
            request = self.request.head.id.as_str(),
            target_id = target.unwrap_or("none"),
            last_event = self.request.events.last().unwrap_or_default();
            "the stream contains an invalid event: {error}"
        );
        self.record_rollout_end(RunEnd::Failed);
        ExchangeEvent::Lost(Fault::Broken)
    }

    /// Records that an answer has ended with its connection before the request was written, and returns the event
    /// for it.
    pub(super) fn record_early_end(&mut self) -> ExchangeEvent {
        let target = self.exchange.placed().map(|placed| placed.target.as_str());
        info!(
            request = self.request.head.id.as_str(),
            target_id = target.unwrap_or("none");
            "the connection to a target ended before the request was written"
        );
        self.record_rollout_end(RunEnd::Failed);
        ExchangeEvent::Lost(Fault::Broken)
    }

    /// Returns the next data of a response, which is empty for trailers, or `None` at its end.
    async fn next_data(
        &self,
        body: &mut Incoming,
        give_up_at: Option<Time>,
    ) -> Result<Option<Bytes>, ExchangeEvent> {
        match self.in_time(give_up_at, body.frame()).await? {
            Some(Ok(frame)) => Ok(Some(frame.into_data().unwrap_or_default())),
            Some(Err(source)) => {
                self.log_break(&SendError::Connection { source });
                Err(ExchangeEvent::Lost(Fault::Broken))
            }
            None => Ok(None),
        }
    }

    /// Records how long the target took to read the whole prompt.
    fn record_prompt_time(&self, resumed: bool) {
        let prompt = self.request.head.demand.prompt;
        if !resumed {
            let now = self.context.now();
            let time = now.since(self.sent_at);
            let mut state = self.context.state();
            let ahead = (self.backlog.excess == 0).then_some(self.backlog.unread);
            let service = &self.request.service;
            let usual = ahead.and_then(|ahead| state.run_times.prompt_time(service, ahead));
            if let (Some(usual), Some(placed)) = (usual, self.exchange.placed()) {
                let (target, incarnation) = (&placed.target, placed.incarnation);
                (state.fleet).record_read_time(now, target, incarnation, time, usual);
            }
            state.run_times.record_prompt(service, prompt, ahead, time);
        }
    }
}
