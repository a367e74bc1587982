//! One send of a request: to which target, and what came back.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cw_policy::forward::CopyName;
use cw_policy::forward::ExchangeEvent;
use cw_policy::forward::Fault;
use cw_policy::forward::Placement;
use cw_policy::forward::Repeat;
use cw_policy::forward::Resume;
use cw_store::AnswerHead;
use cw_store::SendHead;
use cw_types::TargetId;
use cw_types::Time;
use cw_wire::CachedPrompt;
use cw_wire::TargetHash;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use log::info;

use super::answer::WholeAnswer;
use super::courier::Courier;
use super::guards::CopyPlace;
use super::guards::Place;
use super::link::Link;
use super::link::LinkError;
use super::outcome::Flow;
use super::outcome::Outcome;
use super::outcome::Reuse;
use super::outcome::Run;
use super::placing::Choice;
use super::target_pool::Taken;

/// How often a request that waits for its first event looks whether its target is doubted: a small
/// part of a pause that is on time.
const DOUBT_PERIOD: Duration = Duration::from_millis(100);

/// How long a target that could be reached is trusted before it is tried again: each trial makes a
/// connection, which is charged.
const DOUBT_REST: Duration = Duration::from_millis(1000);

/// Where a request goes, and from what it goes on.
struct Way {
    placement: Placement,
    address: SocketAddr,
    /// The copy that the target goes on from.
    from: Option<CopyName>,
    /// When the target is given up if it does not answer.
    until: Option<Time>,
}

/// What follows when a connection breaks before the answer.
enum AfterBreak {
    /// The request is sent again, to the same target on a new connection.
    Fresh,
    /// The send has come to this.
    End(ExchangeEvent),
}

/// An answer whose body is still to come.
struct Start {
    head: WholeAnswer,
    body: Incoming,
    reuse: Reuse,
    run: Run,
}

impl Courier {
    /// Sends the request once.
    pub(super) async fn send(&mut self, resume: &Resume) -> Outcome {
        let now = self.shared.now();
        let deadline = self.exchange.plan().deadline;
        if now >= deadline {
            return Outcome::Event(ExchangeEvent::Expired);
        }
        let (placement, resumed) = match self.place(now, resume) {
            Choice::Go(placement, resumed) => (placement, resumed),
            Choice::NoTarget => return Outcome::Event(ExchangeEvent::NoTarget),
            Choice::Crowded(after) => {
                self.again = Some(after);
                return Outcome::Event(ExchangeEvent::Crowded);
            }
        };
        let Some(address) = self.address(&placement.target) else {
            return Outcome::Event(ExchangeEvent::NoTarget);
        };
        self.note_send(now, &placement, resumed);
        if let Some(prompt) = self.prompt {
            let target = TargetHash::from(&placement.target);
            let mut beliefs = self.shared.beliefs();
            beliefs
                .own_prompts
                .note(now, CachedPrompt { prompt, target });
        }
        self.exchange.send(now, placement.clone());
        self.sent = now;
        let reading = {
            let beliefs = self.shared.beliefs();
            let prompt = self.parcel.head.demand.prompt;
            beliefs.pace.most(&self.parcel.service, prompt)
        };
        let from = self.copy_name(resume, address).filter(|_| resumed);
        let way = Way {
            until: self.exchange.start_patience(now, resumed, reading),
            placement,
            address,
            from,
        };
        match self.transmit(now, &way).await {
            Ok((run, response)) => self.receive(&way, run, response).await,
            Err(event) => Outcome::Event(event),
        }
    }

    /// Returns how engines call the copy that the request goes on from.
    fn copy_name(&self, resume: &Resume, address: SocketAddr) -> Option<CopyName> {
        let copy = resume.copy.as_ref()?;
        Some(copy.name.clone().unwrap_or_else(|| CopyName {
            address,
            name: self.parcel.head.id.clone(),
        }))
    }

    /// Sends the request, and returns the head of the answer.
    async fn transmit(
        &self,
        now: Time,
        way: &Way,
    ) -> Result<(Run, Response<Incoming>), ExchangeEvent> {
        let id = &way.placement.target;
        let demand = self.parcel.head.demand;
        // Taken before anything is waited for: the next choice must know of this one.
        let place = Place::take(&self.shared, id, demand);
        let keeper = way.placement.copy.as_ref();
        let copy = keeper.map(|keeper| CopyPlace::take(&self.shared, keeper, demand));
        let taken = self.shared.pool.take(now, id, way.address).await;
        let Taken { mut link, mut used } = taken.map_err(|error| self.unreachable(id, &error))?;
        loop {
            let request = self.request(now, way);
            let error = match self.in_time(way.until, link.send(request)).await? {
                Ok(response) => {
                    let run = Run {
                        link,
                        place,
                        _copy: copy,
                    };
                    return Ok((run, response));
                }
                Err(error) => error,
            };
            self.log_break(&error);
            match self.after_break(&error, used) {
                AfterBreak::Fresh => {
                    self.shared.pool.close(id);
                    let fresh = Link::connect(way.address).await;
                    link = fresh.map_err(|error| self.unreachable(id, &error))?;
                    used = false;
                }
                AfterBreak::End(event) => return Err(event),
            }
        }
    }

    fn unreachable(&self, id: &TargetId, error: &LinkError) -> ExchangeEvent {
        info!(
            request = self.parcel.head.id.as_str(),
            target_id = id.as_str();
            "a target cannot be reached: {error}"
        );
        ExchangeEvent::NotRun(Fault::Unreachable)
    }

    /// Writes down why the connection to the present target broke.
    pub(super) fn log_break(&self, error: &hyper::Error) {
        let target = self.exchange.placed().map(|placed| placed.target.as_str());
        info!(
            request = self.parcel.head.id.as_str(),
            target_id = target.unwrap_or("none");
            "a connection broke: {error:?}"
        );
    }

    /// Returns what follows when a connection breaks before the head of the answer; `used` says
    /// that it had carried a request before.
    fn after_break(&self, error: &hyper::Error, used: bool) -> AfterBreak {
        let may_repeat = self.exchange.plan().repeat != Repeat::Never;
        match (error.is_canceled(), used) {
            // Nothing was sent: the connection had been closed meanwhile.
            (true, true) => AfterBreak::Fresh,
            (true, false) => AfterBreak::End(ExchangeEvent::NotRun(Fault::Broken)),
            // Targets drop idle connections without a sign, so the target may well be alive.
            (false, true) if may_repeat => AfterBreak::Fresh,
            (false, _) => AfterBreak::End(ExchangeEvent::Lost(Fault::Broken)),
        }
    }

    /// Reads an answer: the whole of it, or the first events of a stream.
    async fn receive(&mut self, way: &Way, run: Run, response: Response<Incoming>) -> Outcome {
        let resumed = way.from.is_some();
        let (parts, body) = response.into_parts();
        let answer = self.shared.dialect.read_answer(&parts);
        if let Some(event) = self.misplaced(&answer, resumed) {
            return Outcome::Event(event);
        }
        if let Some(load) = answer.load {
            let now = self.shared.now();
            let mut beliefs = self.shared.beliefs();
            beliefs.fleet.reported(now, &way.placement.target, load);
        }
        let head = WholeAnswer {
            status: parts.status,
            headers: self.shared.dialect.to_caller(&parts.headers),
            body: Bytes::new(),
        };
        let reuse = match answer.close {
            true => Reuse::No,
            false => Reuse::Idle(answer.idle),
        };
        let start = Start {
            head,
            body,
            reuse,
            run,
        };
        if parts.status.is_success() && self.exchange.plan().streaming {
            if self.weights.is_none() {
                self.weights = answer.weights;
            }
            return self.first_events(start, way.until, resumed).await;
        }
        self.whole(start, way.until).await
    }

    fn request(&self, now: Time, way: &Way) -> Request<Full<Bytes>> {
        let parcel = &self.parcel;
        let copy = way.placement.copy.as_ref().and_then(|id| self.address(id));
        let send = SendHead {
            id: &parcel.head.id,
            target: &way.placement.target,
            workspace: parcel.admitted.workspace.as_ref(),
            left: now.until(self.exchange.plan().deadline),
            priority: parcel.memory.map(|_| parcel.admitted.priority),
            after: parcel.events.last(),
            weights: self.weights,
            copy,
            resume: way.from.as_ref(),
        };
        let mut request = Request::new(Full::new(parcel.body.clone()));
        *request.method_mut() = parcel.parts.method.clone();
        *request.uri_mut() = parcel.parts.uri.clone();
        *request.headers_mut() = self.shared.dialect.to_target(&parcel.parts.headers, &send);
        request
    }

    /// Returns what follows when an answer is not one to this request.
    fn misplaced(&self, answer: &AnswerHead, resumed: bool) -> Option<ExchangeEvent> {
        if answer.stranger {
            return Some(ExchangeEvent::NotRun(Fault::Replaced));
        }
        if answer.refused && resumed {
            return Some(ExchangeEvent::NoCopy);
        }
        if answer.refused {
            return Some(ExchangeEvent::NotRun(Fault::Full));
        }
        let matches = answer.id.as_deref() == Some(self.parcel.head.id.as_str());
        let own = matches && answer.own;
        (!own).then_some(ExchangeEvent::Lost(Fault::Broken))
    }

    async fn whole(&self, start: Start, until: Option<Time>) -> Outcome {
        let Start {
            head,
            body,
            reuse,
            mut run,
        } = start;
        let body = match self.in_time(until, body.collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => {
                self.log_break(&error);
                return Outcome::Event(ExchangeEvent::Lost(Fault::Broken));
            }
            Err(event) => return Outcome::Event(event),
        };
        run.place.begin();
        self.give_back(run, reuse);
        let answer = WholeAnswer { body, ..head };
        match answer.status.is_server_error() {
            true => Outcome::Failure(answer),
            false => Outcome::Answer(answer),
        }
    }

    /// Keeps the connection of a request that has ended.
    pub(super) fn give_back(&self, run: Run, reuse: Reuse) {
        let Reuse::Idle(idle) = reuse else {
            return;
        };
        if let Some(placed) = self.exchange.placed() {
            let now = self.shared.now();
            self.shared.pool.put(now, &placed.target, run.link, idle);
        }
    }

    async fn first_events(&mut self, start: Start, until: Option<Time>, resumed: bool) -> Outcome {
        let Start {
            head,
            mut body,
            reuse,
            mut run,
        } = start;
        self.parcel.events.restart();
        loop {
            let frame = match self.in_time(until, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                // There is nothing after the last event that the caller has.
                Ok(None) if self.parcel.events.is_at_end() => {
                    run.place.begin();
                    self.give_back(run, reuse);
                    return Outcome::Finished(head);
                }
                Ok(Some(Err(error))) => {
                    self.log_break(&error);
                    return Outcome::Event(ExchangeEvent::Lost(Fault::Broken));
                }
                Ok(None) => {
                    info!(request = self.parcel.head.id.as_str(); "an answer ended before an event");
                    return Outcome::Event(ExchangeEvent::Lost(Fault::Broken));
                }
                Err(event) => return Outcome::Event(event),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            match self.parcel.events.push(&data) {
                Ok(first) if first.is_empty() => {}
                Ok(first) => {
                    self.exchange.begin();
                    run.place.begin();
                    self.note_pace(resumed);
                    return Outcome::Stream(Box::new(Flow {
                        head,
                        first,
                        body,
                        reuse,
                        run,
                    }));
                }
                Err(fault) => {
                    info!(request = self.parcel.head.id.as_str(); "a stream is broken: {fault}");
                    return Outcome::Event(ExchangeEvent::Lost(Fault::Broken));
                }
            }
        }
    }

    /// Notes how long the target took to read the whole prompt.
    fn note_pace(&self, resumed: bool) {
        let prompt = self.parcel.head.demand.prompt;
        if !resumed {
            let time = self.shared.now().since(self.sent);
            let mut beliefs = self.shared.beliefs();
            let ahead = (self.found.excess == 0).then_some(self.found.unread);
            let service = &self.parcel.service;
            beliefs.pace.read(service, prompt, ahead, time);
        }
    }

    /// Waits for something, until the target is given up or the deadline has passed.
    async fn in_time<T>(
        &self,
        until: Option<Time>,
        work: impl Future<Output = T>,
    ) -> Result<T, ExchangeEvent> {
        let deadline = self.exchange.plan().deadline;
        let until = until.map_or(deadline, |until| until.min(deadline));
        let instant = self.shared.clock.instant(until);
        tokio::select! {
            biased;
            done = work => Ok(done),
            () = tokio::time::sleep_until(instant) => {
                Err(match self.shared.now() >= deadline {
                    true => ExchangeEvent::Expired,
                    false => ExchangeEvent::Lost(Fault::Silent),
                })
            }
            () = self.stopped() => Err(ExchangeEvent::Lost(Fault::Silent)),
        }
    }

    /// Returns when a target that was doubted cannot be reached any more.
    ///
    /// A target may be silent for long while it reads a prompt, so silence alone says nothing then.
    async fn stopped(&self) {
        let Some(placed) = self.exchange.placed() else {
            return std::future::pending().await;
        };
        if self.exchange.plan().repeat != Repeat::Resume {
            return std::future::pending().await;
        }
        let id = &placed.target;
        loop {
            tokio::time::sleep(DOUBT_PERIOD).await;
            let now = self.shared.now();
            if !self.shared.beliefs().fleet.is_doubted(now, id) {
                continue;
            }
            let Some(address) = self.address(id) else {
                continue;
            };
            match Link::connect(address).await {
                Ok(link) => {
                    let now = self.shared.now();
                    self.shared.beliefs().fleet.heard(now, id);
                    self.shared.pool.put(now, id, link, None);
                    tokio::time::sleep(DOUBT_REST).await;
                }
                Err(error) => {
                    info!(
                        request = self.parcel.head.id.as_str(),
                        target_id = id.as_str();
                        "a doubted target cannot be reached: {error}"
                    );
                    return;
                }
            }
        }
    }
}
