//! Passes the events of a stream on, from one target after the other.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use cw_policy::forward::ExchangeEvent;
use cw_policy::forward::ExchangeStep;
use cw_policy::forward::Fault;
use cw_policy::forward::Resume;
use cw_types::ErrorKind;
use cw_types::Time;
use dropshot::Body;
use http::Response;
use http::header::CONTENT_LENGTH;
use http_body_util::BodyExt;
use hyper::body::Frame;
use log::info;
use tokio::sync::mpsc;

use super::answer::EventBody;
use super::answer::WholeAnswer;
use super::copying::Copying;
use super::courier::Courier;
use super::outcome::Flow;
use super::outcome::Outcome;

/// How many writes may wait for a caller that reads slowly: some kilobytes; then its target waits.
const EVENTS_WAITING: usize = 16;

/// How long after its first event a run surely has a copy: engines send memory on several times a
/// second, and a target that is leaving runs on for longer than this.
const COPY_TIME: Duration = Duration::from_millis(1000);

type Events = mpsc::Sender<Result<Bytes, io::Error>>;

/// How the part of a stream that one target sends ends.
enum End {
    /// It is whole.
    Whole,
    /// The caller has gone away.
    Gone,
    /// Something else happened.
    Event(ExchangeEvent),
}

impl Courier {
    /// Answers with a stream, which then goes on by itself.
    pub(super) fn open(mut self, flow: Flow) -> Response<Body> {
        let (events, body) = mpsc::channel(EVENTS_WAITING);
        let WholeAnswer {
            status, headers, ..
        } = flow.head.clone();
        let mut response = Response::new(Body::wrap(EventBody::new(body)));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        // The target's length says nothing about a stream that goes on elsewhere.
        response.headers_mut().remove(CONTENT_LENGTH);
        let age = self.shared.now().since(self.exchange.plan().arrived);
        self.begun = Some(age);
        self.shared.metrics.answered(&self.parcel.service, age);
        tokio::spawn(self.stream(flow, events));
        response
    }

    async fn stream(mut self, flow: Flow, events: Events) {
        self.shared.metrics.streams.inc();
        let outcome = self.pass_on(flow, &events).await;
        self.shared.metrics.streams.dec();
        match outcome {
            Ok(outcome) => self.ended(outcome),
            Err(kind) => {
                self.ended(kind.code());
                // The error makes the connection end without the end of the body.
                let broken = io::Error::other("the stream broke off");
                let _ = events.send(Err(broken)).await;
            }
        }
    }

    async fn pass_on(
        &mut self,
        mut flow: Flow,
        events: &Events,
    ) -> Result<&'static str, ErrorKind> {
        loop {
            let end = self.relay(&mut flow, events).await;
            let event = match end {
                End::Whole => {
                    self.note_run();
                    self.drop_copy();
                    self.give_back(flow.run, flow.reuse);
                    return Ok("answered");
                }
                End::Gone => {
                    self.drop_copy();
                    return Ok("caller_gone");
                }
                End::Event(event) => event,
            };
            // The old target must not work on it while another one does.
            drop(flow);
            let lost = self.shared.now();
            let step = self.next(event);
            let found = tokio::select! {
                found = self.resume(step) => found?,
                () = events.closed() => return Ok("caller_gone"),
            };
            flow = match found {
                Some(found) => found,
                None => return Ok("answered"),
            };
            let now = self.shared.now();
            self.shared.metrics.resumed(now.since(lost));
        }
    }

    /// Sends the request again until its stream goes on; `None` when it has ended.
    async fn resume(&mut self, mut step: ExchangeStep) -> Result<Option<Flow>, ErrorKind> {
        loop {
            step = match step {
                ExchangeStep::Send(resume) => match self.send(&resume).await {
                    Outcome::Stream(flow) => return Ok(Some(*flow)),
                    Outcome::Finished(_) => return Ok(None),
                    Outcome::Event(event) => self.next(event),
                    Outcome::Answer(_) | Outcome::Failure(_) => self.next(ExchangeEvent::Failed),
                },
                ExchangeStep::Wait(pause) => {
                    tokio::time::sleep(pause).await;
                    ExchangeStep::Send(Resume::default())
                }
                ExchangeStep::PassOn => ExchangeStep::Break(ErrorKind::TargetFailed),
                ExchangeStep::Refuse(kind) | ExchangeStep::Break(kind) => return Err(kind),
            };
        }
    }

    /// Passes on what one target sends.
    async fn relay(&mut self, flow: &mut Flow, events: &Events) -> End {
        let deadline = self.exchange.plan().deadline;
        let mut heard = self.shared.now();
        self.note_pause(heard);
        self.here = Some(heard);
        let first = std::mem::take(&mut flow.first);
        if !self.give(first, events).await {
            return End::Gone;
        }
        let timer = tokio::time::sleep(Duration::ZERO);
        tokio::pin!(timer);
        let mut copying = Copying::default();
        loop {
            if self.should_move(heard) {
                return End::Event(ExchangeEvent::Leaving);
            }
            if self.is_settled(heard) {
                self.tend_copy(heard, &mut copying);
            }
            let until = self.exchange.event_deadline(heard).unwrap_or(deadline);
            timer
                .as_mut()
                .reset(self.shared.clock.instant(until.min(deadline)));
            let frame = tokio::select! {
                biased;
                frame = flow.body.frame() => frame,
                () = events.closed() => return End::Gone,
                () = timer.as_mut() => return self.overdue(deadline),
            };
            let whole = match self.events_of(frame) {
                Ok(whole) => whole,
                Err(end) => return end,
            };
            if !whole.is_empty() {
                self.note_pause(self.shared.now());
                if !self.give(whole, events).await {
                    return End::Gone;
                }
            }
            heard = self.shared.now();
        }
    }

    /// Returns the whole events that come with a frame, or how the target's part ends.
    fn events_of(
        &mut self,
        frame: Option<Result<Frame<Bytes>, hyper::Error>>,
    ) -> Result<Bytes, End> {
        let broken = || End::Event(ExchangeEvent::Lost(Fault::Broken));
        let frame = match frame {
            Some(Ok(frame)) => frame,
            Some(Err(error)) => {
                self.log_break(&error);
                return Err(broken());
            }
            None if self.parcel.events.ends_mid_event() => {
                info!(request = self.parcel.head.id.as_str(); "a stream ended within an event");
                return Err(broken());
            }
            None => return Err(End::Whole),
        };
        // Trailers are no events.
        let data = frame.into_data().unwrap_or_default();
        self.parcel.events.push(&data).map_err(|fault| {
            info!(request = self.parcel.head.id.as_str(); "a stream is broken: {fault}");
            broken()
        })
    }

    /// Returns whether a copy of the run is surely where it should be by now.
    fn is_settled(&self, now: Time) -> bool {
        self.here.is_some_and(|since| now.since(since) >= COPY_TIME)
    }

    /// Notes how long a run took that one target ran from its first event to its last.
    fn note_run(&self) {
        if let (1, Some(first)) = (self.exchange.sends(), self.here) {
            let time = self.shared.now().since(first);
            let mut beliefs = self.shared.beliefs();
            beliefs.pace.record_run(&self.parcel.service, time);
        }
    }

    /// Notes that events come at this moment.
    fn note_pause(&mut self, now: Time) {
        if let Some(last) = self.last_event.replace(now) {
            let pause = now.since(last);
            self.pause = self.pause.max(pause);
            self.shared.metrics.paused(pause);
        }
    }

    /// Passes events on to the caller. Returns whether it is still there.
    async fn give(&self, whole: Bytes, events: &Events) -> bool {
        self.shared.metrics.events.inc();
        events.send(Ok(whole)).await.is_ok()
    }

    fn overdue(&self, deadline: Time) -> End {
        End::Event(match self.shared.now() >= deadline {
            true => ExchangeEvent::Expired,
            false => ExchangeEvent::Lost(Fault::Silent),
        })
    }

    /// Returns whether the stream should go on at the target that has a copy of the run.
    ///
    /// `heard` is when something last came from its target.
    fn should_move(&self, heard: Time) -> bool {
        let Some(placed) = self.exchange.placed() else {
            return false;
        };
        let now = self.shared.now();
        let mut beliefs = self.shared.beliefs();
        beliefs.fleet.responded(heard, &placed.target);
        let copy = self.exchange.copy();
        self.is_settled(now)
            && beliefs.fleet.is_leaving(&placed.target)
            && copy.is_some_and(|copy| beliefs.fleet.has_copy(now, copy))
    }
}
