//! Passes the events of a stream on to the caller, from one target after another.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use cw_policy::forward::CrashTracker;
use cw_policy::forward::EventBatch;
use cw_policy::forward::ExchangeEvent;
use cw_policy::forward::ExchangeStep;
use cw_policy::forward::Fault;
use cw_policy::forward::Resume;
use cw_policy::rollout::RunEnd;
use cw_types::ErrorKind;
use cw_types::Time;
use dropshot::Body;
use http::Response;
use http::header::CONTENT_LENGTH;
use http_body_util::BodyExt;
use hyper::body::Frame;
use log::info;
use tokio::sync::mpsc;

use super::copy_renewal::CopyRenewal;
use super::exchange_driver::ExchangeDriver;
use super::response::BufferedResponse;
use super::response::EventBody;
use super::send_outcome::SendOutcome;
use super::send_outcome::TargetStream;
use super::target_connection::SendError;

/// The maximum number of writes that are pending for a slow caller, some kilobytes in total for usual events. When
/// it is reached, reading from the target pauses. Long events count towards the memory of the target's answers.
const MAX_PENDING_WRITES: usize = 16;

/// The time after its first event from which a run is certain to have a copy. Engines send memory
/// to the keeper several times a second, and a target that is leaving continues its runs for longer
/// than this.
const COPY_READY_DELAY: Duration = Duration::from_millis(1000);

type EventSender = mpsc::Sender<Result<Bytes, io::Error>>;

/// How the stream from one target ends.
enum TargetStreamEnd {
    /// The stream is complete.
    Complete,
    /// The caller has disconnected.
    CallerGone,
    /// The exchange decides how to continue after this event.
    Event(ExchangeEvent),
    /// The stream has left its target and continues with this step.
    Left(ExchangeStep),
}

impl ExchangeDriver {
    /// Responds with a stream, whose body is sent by a task of its own.
    pub(super) fn start_stream(mut self, stream: TargetStream) -> Response<Body> {
        let (events, body) = mpsc::channel(MAX_PENDING_WRITES);
        let BufferedResponse {
            status, headers, ..
        } = stream.head.clone();
        let mut response = Response::new(Body::wrap(EventBody::new(body)));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        // The length that the target states does not apply to a stream that continues at another
        // target.
        response.headers_mut().remove(CONTENT_LENGTH);
        let age = self.context.now().since(self.exchange.plan().arrived);
        self.first_event_age = Some(age);
        self.context
            .metrics
            .record_answer_time(&self.request.service, age);
        tokio::spawn(self.run_stream(stream, events));
        response
    }

    async fn run_stream(mut self, stream: TargetStream, events: EventSender) {
        self.context.metrics.streams.inc();
        let outcome = self.forward_stream(stream, &events).await;
        self.context.metrics.streams.dec();
        match outcome {
            Ok(outcome) => self.record_end(outcome),
            Err(kind) => {
                self.record_end(kind.code());
                // The error closes the connection without the regular end of the body.
                let broken = io::Error::other("the stream was aborted");
                let _ = events.send(Err(broken)).await;
            }
        }
    }

    async fn forward_stream(
        &mut self,
        mut stream: TargetStream,
        events: &EventSender,
    ) -> Result<&'static str, ErrorKind> {
        loop {
            let end = self.forward_events(&mut stream, events).await;
            let left = match end {
                TargetStreamEnd::Complete => {
                    self.record_run();
                    self.record_rollout_end(RunEnd::Answered);
                    self.record_completion(&mut stream.active, "the end of its stream");
                    self.drop_copy();
                    self.release_connection(stream.active, stream.reuse);
                    return Ok("answered");
                }
                TargetStreamEnd::CallerGone => {
                    self.drop_copy();
                    return Ok("caller_gone");
                }
                TargetStreamEnd::Event(event) => Err(event),
                TargetStreamEnd::Left(step) => Ok(step),
            };
            // The previous target must stop before another one resumes the run.
            drop(stream);
            let lost_at = self.context.now();
            let step = left.unwrap_or_else(|event| self.next_step(event));
            let resumed = tokio::select! {
                resumed = self.resume(step) => resumed?,
                () = events.closed() => return Ok("caller_gone"),
            };
            stream = match resumed {
                Some(resumed) => resumed,
                None => return Ok("answered"),
            };
            let now = self.context.now();
            self.context.metrics.record_resumption(now.since(lost_at));
        }
    }

    /// Sends the request again until its stream resumes. Returns `None` if the stream has ended.
    async fn resume(&mut self, mut step: ExchangeStep) -> Result<Option<TargetStream>, ErrorKind> {
        loop {
            step = match step {
                ExchangeStep::Send(resume) => match self.send(&resume).await {
                    SendOutcome::Stream(stream) => return Ok(Some(*stream)),
                    SendOutcome::StreamEnd(_) => return Ok(None),
                    SendOutcome::Event(event) => self.next_step(event),
                    SendOutcome::Response(_) | SendOutcome::ErrorResponse(_) => {
                        self.next_step(ExchangeEvent::Failed)
                    }
                },
                ExchangeStep::Wait(pause) => {
                    tokio::time::sleep(pause).await;
                    ExchangeStep::Send(Resume::default())
                }
                ExchangeStep::AskBudget(pause) => self.ask_budget(pause).await,
                ExchangeStep::PassOn => ExchangeStep::Break(ErrorKind::TargetFailed),
                ExchangeStep::Refuse(kind) | ExchangeStep::Break(kind) => return Err(kind),
            };
        }
    }

    /// Passes the events from one target on to the caller until its stream ends.
    async fn forward_events(
        &mut self,
        stream: &mut TargetStream,
        events: &EventSender,
    ) -> TargetStreamEnd {
        let deadline = self.exchange.plan().deadline;
        let mut last_received = self.context.now();
        self.target_started_at = Some(last_received);
        let first = std::mem::take(&mut stream.first);
        if let Err(end) = self.pass_on(first, events).await {
            return end;
        }
        let timer = tokio::time::sleep(Duration::ZERO);
        tokio::pin!(timer);
        let mut renewal = CopyRenewal::default();
        let mut has_run_on = false;
        loop {
            if self.should_move(last_received)
                && let Some(step) = self.leave_target()
            {
                return TargetStreamEnd::Left(step);
            }
            if !has_run_on && self.has_run_on(last_received) {
                has_run_on = true;
                let guard = &mut stream.active.guard;
                guard.mark_run_on(&self.keys, "its events");
            }
            if self.has_run_long_enough(last_received) {
                self.maintain_copy(last_received, &mut renewal);
            }
            let until = self.exchange.event_deadline(last_received);
            let until = until.map_or(deadline, |until| until.min(deadline));
            timer.as_mut().reset(self.context.clock.instant(until));
            let frame = tokio::select! {
                biased;
                frame = stream.body.frame() => frame,
                () = events.closed() => return TargetStreamEnd::CallerGone,
                () = timer.as_mut() => return self.timeout_end(deadline),
            };
            let batch = match self.events_of(frame, stream) {
                Ok(batch) => batch,
                Err(end) => return end,
            };
            if let Err(end) = self.pass_on(batch, events).await {
                return end;
            }
            last_received = self.context.now();
        }
    }

    /// Returns the new events in a frame, or how the stream from the target ends.
    fn events_of(
        &mut self,
        frame: Option<Result<Frame<Bytes>, hyper::Error>>,
        stream: &mut TargetStream,
    ) -> Result<EventBatch, TargetStreamEnd> {
        let broken = || TargetStreamEnd::Event(ExchangeEvent::Lost(Fault::Broken));
        let frame = match frame {
            Some(Ok(frame)) => frame,
            Some(Err(source)) => {
                self.log_break(&SendError::Connection { source });
                return Err(broken());
            }
            None if self.request.events.ends_mid_event() => {
                info!(request = self.request.head.id.as_str(); "the stream ended within an event");
                self.record_rollout_end(RunEnd::Failed);
                return Err(broken());
            }
            None if !stream.end.is_whole(&stream.active.connection) => {
                return Err(TargetStreamEnd::Event(self.record_early_end()));
            }
            None => return Err(TargetStreamEnd::Complete),
        };
        // Trailers contain no events.
        let data = frame.into_data().unwrap_or_default();
        self.read_events(&data, &mut stream.memory)
            .map_err(TargetStreamEnd::Event)
    }

    /// Returns whether the run has been long enough at its target for a copy to exist.
    fn has_run_long_enough(&self, now: Time) -> bool {
        self.target_started_at
            .is_some_and(|since| now.since(since) >= COPY_READY_DELAY)
    }

    /// Returns whether the request has run past the moment at which one that crashes its target ends it.
    fn has_run_on(&self, last_received: Time) -> bool {
        self.target_started_at
            .is_some_and(|first| CrashTracker::has_run_on(first, last_received))
    }

    /// Records the duration of a run, from its first event to its last, if a single target ran all of it.
    fn record_run(&self) {
        let is_whole = self.request.head.last_event.unwrap_or_default() == 0;
        if let (1, true, Some(first)) = (self.exchange.sends(), is_whole, self.target_started_at) {
            let time = self.context.now().since(first);
            let events = self.request.events.last().unwrap_or_default();
            let mut state = self.context.state();
            (state.run_times).record_run(&self.request.service, time, events);
        }
    }

    /// Records the pause before the events that have just arrived.
    fn record_pause(&mut self, now: Time) {
        if let Some(last) = self.last_event_at.replace(now) {
            let pause = now.since(last);
            self.longest_pause = self.longest_pause.max(pause);
            self.context.metrics.record_pause(pause);
        }
    }

    /// Passes a batch of events on to the caller, and returns how the stream from the target ends if it cannot go on
    /// behind them.
    async fn pass_on(
        &mut self,
        batch: EventBatch,
        events: &EventSender,
    ) -> Result<(), TargetStreamEnd> {
        let fault = batch.fault();
        if batch.has_events() {
            self.record_pause(self.context.now());
            self.record_rollout_part();
            self.context.metrics.events.inc();
        }
        if !batch.is_empty() {
            // The position of the stream changes once nothing can fail any more on the way to the caller's connection.
            let Ok(slot) = events.reserve().await else {
                return Err(TargetStreamEnd::CallerGone);
            };
            slot.send(Ok(self.request.events.pass_on(batch)));
        }
        match fault {
            Some(error) => Err(TargetStreamEnd::Event(self.record_invalid_event(error))),
            None => Ok(()),
        }
    }

    fn timeout_end(&self, deadline: Time) -> TargetStreamEnd {
        TargetStreamEnd::Event(match self.context.now() >= deadline {
            true => ExchangeEvent::Expired,
            false => ExchangeEvent::Lost(Fault::Silent),
        })
    }

    /// Leaves the target that is leaving. Returns the next step, `None` if the budget allows no move.
    fn leave_target(&mut self) -> Option<ExchangeStep> {
        let now = self.context.now();
        let target = self.exchange.placed()?.target.clone();
        let service = &self.request.service;
        let precedence = self.exchange.plan().precedence;
        let mut state = self.context.state();
        if self.is_version_closed(now, &state) {
            return None;
        }
        let step = self.exchange.leave_target(|| {
            (state.budgets).try_spend_beside(now, service, |room| precedence.kept(room))
        })?;
        info!(
            request = self.request.head.id.as_str(),
            fingerprint = self.fingerprint.to_string(),
            target_id = target.as_str(),
            step:? = step;
            "a stream moves away from a target that is leaving"
        );
        Some(step)
    }

    /// Returns whether the stream should move to the target that has a copy of the run.
    ///
    /// `last_received` is the time of the last data from the current target.
    fn should_move(&self, last_received: Time) -> bool {
        let Some(placed) = self.exchange.placed() else {
            return false;
        };
        let now = self.context.now();
        let mut state = self.context.state();
        state.fleet.record_response(last_received, &placed.target);
        let copy = self.exchange.copy();
        self.has_run_long_enough(now)
            && state.fleet.is_leaving(&placed.target)
            && copy.is_some_and(|copy| state.fleet.has_copy(now, copy))
    }
}
