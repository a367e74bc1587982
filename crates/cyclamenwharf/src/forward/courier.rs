//! Carries one request to its end.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cw_policy::forward::Admitted;
use cw_policy::forward::CopyName;
use cw_policy::forward::EventStream;
use cw_policy::forward::Exchange;
use cw_policy::forward::ExchangeEvent;
use cw_policy::forward::ExchangeStep;
use cw_policy::forward::Fault;
use cw_policy::forward::Need;
use cw_policy::forward::Placement;
use cw_policy::forward::Repeat;
use cw_policy::forward::Resume;
use cw_policy::forward::RunCopy;
use cw_store::AnswerHead;
use cw_store::RequestHead;
use cw_store::SendHead;
use cw_types::ErrorKind;
use cw_types::ServiceName;
use cw_types::TargetId;
use cw_types::Time;
use cw_wire::PromptHash;
use cw_wire::ReadPrompt;
use cw_wire::TargetHash;
use dropshot::Body;
use http::Request;
use http::Response;
use http::request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use log::info;

use super::answer::WholeAnswer;
use super::front::refusal_response;
use super::guards::CopyPlace;
use super::guards::Place;
use super::link::Link;
use super::outcome::Flow;
use super::outcome::Outcome;
use super::outcome::Reuse;
use super::outcome::Run;
use super::shared::Beliefs;
use super::shared::Shared;
use super::target_pool::Taken;

/// How often a request that waits for its first event looks whether its target is doubted.
const DOUBT_PERIOD: Duration = Duration::from_millis(100);

/// How long a target that could be reached is trusted before it is tried again.
const DOUBT_REST: Duration = Duration::from_millis(1000);

/// A request, and what the configuration says of it.
pub(super) struct Parcel {
    /// The caller's request, without its body.
    pub(super) parts: request::Parts,
    pub(super) body: Bytes,
    pub(super) head: RequestHead,
    pub(super) admitted: Admitted,
    pub(super) service: ServiceName,
    /// The cache memory of one engine, in tokens.
    pub(super) memory: Option<u64>,
    /// Whether engines keep copies of each other's runs.
    pub(super) copies: bool,
    /// How long an engine keeps a copy that was made on request.
    pub(super) copy_life: Duration,
    /// The events that have been passed on.
    pub(super) events: EventStream,
}

/// A stream whose events are still to come.
struct Start {
    head: WholeAnswer,
    body: Incoming,
    reuse: Reuse,
    run: Run,
}

/// Carries one request to its end.
pub(super) struct Courier {
    pub(super) shared: Arc<Shared>,
    pub(super) parcel: Parcel,
    pub(super) exchange: Exchange,
    /// The version of the weights that began the answer.
    weights: Option<u64>,
    failure: Option<WholeAnswer>,
    /// What tells its prompt from others.
    prompt: Option<PromptHash>,
    /// When it was last sent.
    sent: Time,
    /// How old it was when its first event was passed on.
    pub(super) begun: Option<Duration>,
    /// When the target where it is now sent its first events.
    pub(super) here: Option<Time>,
    /// When its last events came.
    pub(super) last_event: Option<Time>,
    /// The longest pause between its events.
    pub(super) pause: Duration,
}

impl Courier {
    pub(super) fn new(shared: Arc<Shared>, parcel: Parcel, exchange: Exchange) -> Self {
        let now = exchange.plan().arrived;
        shared.beliefs().budgets.first(now, &parcel.service);
        let prompt = parcel.head.prompt.as_deref().map(PromptHash::of);
        Self {
            shared,
            parcel,
            exchange,
            weights: None,
            failure: None,
            prompt,
            sent: now,
            begun: None,
            here: None,
            last_event: None,
            pause: Duration::ZERO,
        }
    }

    /// Returns the answer; a stream goes on by itself afterwards.
    pub(super) async fn carry(mut self) -> Response<Body> {
        let mut step = ExchangeStep::Send(Resume::default());
        loop {
            step = match step {
                ExchangeStep::Send(resume) => match self.send(&resume).await {
                    Outcome::Answer(answer) | Outcome::Finished(answer) => {
                        return self.answered(answer);
                    }
                    Outcome::Stream(flow) => return self.open(*flow),
                    Outcome::Failure(answer) => {
                        self.failure = Some(answer);
                        self.next(ExchangeEvent::Failed)
                    }
                    Outcome::Event(event) => self.next(event),
                },
                ExchangeStep::Wait(pause) => {
                    tokio::time::sleep(pause).await;
                    ExchangeStep::Send(Resume::default())
                }
                ExchangeStep::PassOn => match self.failure.take() {
                    Some(answer) => return self.answered(answer),
                    None => ExchangeStep::Refuse(ErrorKind::TargetFailed),
                },
                ExchangeStep::Refuse(kind) | ExchangeStep::Break(kind) => {
                    return self.refused(kind);
                }
            };
        }
    }

    /// Returns what to do after an event.
    pub(super) fn next(&mut self, event: ExchangeEvent) -> ExchangeStep {
        let now = self.shared.now();
        let placed = self.exchange.placed().cloned();
        let mut beliefs = self.shared.beliefs();
        let beliefs = &mut *beliefs;
        let fault = match event {
            ExchangeEvent::NotRun(fault) | ExchangeEvent::Lost(fault) => Some(fault),
            ExchangeEvent::Failed => Some(Fault::Failed),
            _ => None,
        };
        if let (Some(placed), Some(fault)) = (&placed, fault) {
            beliefs.fleet.failed(now, &placed.target, fault);
            self.shared
                .metrics
                .sent(&self.parcel.service, fault_name(fault));
            if fault == Fault::Unreachable || fault == Fault::Silent {
                self.shared.pool.close(&placed.target);
            }
        }
        let service = &self.parcel.service;
        let step = self
            .exchange
            .on_event(now, event, || beliefs.budgets.spend(now, service));
        info!(
            request = self.parcel.head.id.as_str(),
            target_id = placed.as_ref().map_or("none", |at| at.target.as_str()),
            sends = self.exchange.sends(),
            age_ms = millis(now.since(self.exchange.plan().arrived)),
            event:? = event,
            step:? = step;
            "a send came to nothing"
        );
        step
    }

    // ---- One send ----

    /// Sends the request once.
    pub(super) async fn send(&mut self, resume: &Resume) -> Outcome {
        let now = self.shared.now();
        let deadline = self.exchange.plan().deadline;
        if now >= deadline {
            return Outcome::Event(ExchangeEvent::Expired);
        }
        let Some((placement, resumed)) = self.place(now, resume) else {
            return Outcome::Event(ExchangeEvent::NoTarget);
        };
        let Some(address) = self.address(&placement.target) else {
            return Outcome::Event(ExchangeEvent::NoTarget);
        };
        self.log_send(now, &placement, resumed);
        if let Some(prompt) = self.prompt {
            let target = TargetHash::from(&placement.target);
            let mut beliefs = self.shared.beliefs();
            beliefs.own_prompts.note(now, ReadPrompt { prompt, target });
        }
        self.exchange.send(now, placement.clone());
        self.sent = now;
        let id = &placement.target;
        let Taken { mut link, mut used } = match self.shared.pool.take(now, id, address).await {
            Ok(taken) => taken,
            Err(error) => {
                info!(target_id = id.as_str(); "a target cannot be reached: {error}");
                return Outcome::Event(ExchangeEvent::NotRun(Fault::Unreachable));
            }
        };
        let demand = self.parcel.head.demand;
        let reading = {
            let beliefs = self.shared.beliefs();
            beliefs.pace.most(&self.parcel.service, demand.prompt)
        };
        let from = resume.copy.as_ref().filter(|_| resumed);
        let from = from.map(|copy| {
            copy.name.clone().unwrap_or_else(|| CopyName {
                address,
                name: self.parcel.head.id.clone(),
            })
        });
        let until = self.exchange.start_patience(now, resumed, reading);
        let place = Place::take(&self.shared, id, demand);
        let copy = placement
            .copy
            .as_ref()
            .map(|keeper| CopyPlace::take(&self.shared, keeper, demand));
        let response = loop {
            let request = self.request(now, &placement, from.as_ref());
            let sending = link.send(request);
            let response = match self.in_time(until, sending).await {
                Ok(response) => response,
                Err(event) => return Outcome::Event(event),
            };
            match response {
                Ok(response) => break response,
                // A kept connection that was closed meanwhile says nothing about its target.
                Err(error) if error.is_canceled() && used => {
                    let Ok(fresh) = Link::connect(address).await else {
                        return Outcome::Event(ExchangeEvent::NotRun(Fault::Unreachable));
                    };
                    (link, used) = (fresh, false);
                }
                Err(error) if error.is_canceled() => {
                    return Outcome::Event(ExchangeEvent::NotRun(Fault::Broken));
                }
                // Targets drop idle connections without a sign, so the target may well be alive.
                Err(_) if used && self.exchange.plan().repeat != Repeat::Never => {
                    self.shared.pool.close(id);
                    let Ok(fresh) = Link::connect(address).await else {
                        return Outcome::Event(ExchangeEvent::NotRun(Fault::Unreachable));
                    };
                    (link, used) = (fresh, false);
                }
                Err(_) => return Outcome::Event(ExchangeEvent::Lost(Fault::Broken)),
            }
        };
        let (parts, body) = response.into_parts();
        let answer = self.shared.dialect.read_answer(&parts);
        if let Some(event) = self.misplaced(&answer, resumed) {
            return Outcome::Event(event);
        }
        if let Some(load) = answer.load {
            let now = self.shared.now();
            self.shared.beliefs().fleet.reported(now, id, load);
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
        let run = Run {
            link,
            place,
            _copy: copy,
        };
        if parts.status.is_success() && self.exchange.plan().streaming {
            if self.weights.is_none() {
                self.weights = answer.weights;
            }
            let start = Start {
                head,
                body,
                reuse,
                run,
            };
            return self.first_events(start, until, resumed).await;
        }
        self.whole(head, body, reuse, run, until).await
    }

    fn place(&mut self, now: Time, resume: &Resume) -> Option<(Placement, bool)> {
        let shared = Arc::clone(&self.shared);
        let mut beliefs = shared.beliefs();
        let beliefs = &mut *beliefs;
        let need = self.need(beliefs.fleet.peers() > 0);
        let need = Need {
            read_at: self.read_at(now, beliefs),
            ..need
        };
        if let Some(copy) = &resume.copy
            && !beliefs.fleet.may_keep(now, copy)
        {
            info!(
                request = self.parcel.head.id.as_str(),
                target_id = copy.keeper.as_str(),
                usability:? = beliefs.fleet.usability(now, &copy.keeper);
                "the copy of a run is out of reach"
            );
        }
        let kept = resume
            .copy
            .as_ref()
            .filter(|copy| beliefs.fleet.may_keep(now, copy));
        if let Some(RunCopy { keeper: target, .. }) = kept {
            let copy = beliefs.fleet.keeper(now, &need, target, &mut beliefs.rng);
            let target = target.clone();
            return Some((Placement { target, copy }, true));
        }
        let placement = beliefs.fleet.place(now, &need, &mut beliefs.rng)?;
        Some((placement, false))
    }

    /// Returns what the request needs of a target.
    pub(super) fn need(&self, peers: bool) -> Need<'_> {
        Need {
            service: &self.parcel.service,
            memory: self.parcel.memory,
            demand: self.parcel.head.demand,
            zone: &self.shared.settings.zone,
            excluded: self.exchange.excluded(),
            copy: self.parcel.copies && self.exchange.wants_copy(),
            read_at: None,
            peers,
        }
    }

    /// Returns the target that has read the prompt before.
    fn read_at(&self, now: Time, beliefs: &Beliefs) -> Option<TargetHash> {
        let prompt = self.prompt?;
        let own = beliefs.own_prompts.find(now, prompt);
        own.or_else(|| beliefs.heard_prompts.find(now, prompt))
    }

    fn log_send(&self, now: Time, placement: &Placement, resumed: bool) {
        let beliefs = self.shared.beliefs();
        let load = beliefs.fleet.load(now, &placement.target);
        let reader = self.read_at(now, &beliefs);
        let is_reader = reader == Some(TargetHash::from(&placement.target));
        info!(
            request = self.parcel.head.id.as_str(),
            route = self.parcel.admitted.route.name.as_str(),
            version = self.shared.metrics.version.get(),
            target_id = placement.target.as_str(),
            copy_at = placement.copy.as_ref().map_or("none", TargetId::as_str),
            resumed = u64::from(resumed),
            read_before = u64::from(reader.is_some()),
            read_there = u64::from(is_reader),
            after = self.parcel.events.last().unwrap_or_default(),
            load:? = load,
            peers = beliefs.fleet.peers();
            "a request is sent"
        );
    }

    pub(super) fn address(&self, id: &TargetId) -> Option<std::net::SocketAddr> {
        let beliefs = self.shared.beliefs();
        beliefs.fleet.listing(id).map(|listing| listing.address)
    }

    fn request(
        &self,
        now: Time,
        placement: &Placement,
        from: Option<&CopyName>,
    ) -> Request<Full<Bytes>> {
        let parcel = &self.parcel;
        let copy = placement.copy.as_ref().and_then(|id| self.address(id));
        let send = SendHead {
            id: &parcel.head.id,
            target: &placement.target,
            workspace: parcel.admitted.workspace.as_ref(),
            left: now.until(self.exchange.plan().deadline),
            priority: parcel.memory.map(|_| parcel.admitted.priority),
            after: parcel.events.last(),
            weights: self.weights,
            copy,
            resume: from,
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

    async fn whole(
        &self,
        head: WholeAnswer,
        body: Incoming,
        reuse: Reuse,
        mut run: Run,
        until: Option<Time>,
    ) -> Outcome {
        let body = match self.in_time(until, body.collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) => return Outcome::Event(ExchangeEvent::Lost(Fault::Broken)),
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
                Ok(Some(Err(_)) | None) => {
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
            beliefs.pace.read(&self.parcel.service, prompt, time);
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
                    self.shared.pool.put(self.shared.now(), id, link, None);
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

    // ---- The end ----

    fn answered(self, answer: WholeAnswer) -> Response<Body> {
        let outcome = match answer.status.is_success() {
            true => "answered",
            false => "failed",
        };
        self.ended(outcome);
        answer.into_response()
    }

    fn refused(self, kind: ErrorKind) -> Response<Body> {
        self.ended(kind.code());
        let left = self.shared.now().until(self.exchange.plan().deadline);
        let id = Some(self.parcel.head.id.as_str());
        refusal_response(&self.shared, kind, Some(left), id)
    }

    /// Writes down how the request ended.
    pub(super) fn ended(&self, outcome: &str) {
        let age = self.shared.now().since(self.exchange.plan().arrived);
        let metrics = &self.shared.metrics;
        metrics.ended(Some(&self.parcel.service), outcome);
        if !self.exchange.plan().streaming {
            metrics.answered(&self.parcel.service, age);
        }
        let target = self.exchange.placed().map(|placed| placed.target.as_str());
        info!(
            request = self.parcel.head.id.as_str(),
            route = self.parcel.admitted.route.name.as_str(),
            target_id = target.unwrap_or("none"),
            sends = self.exchange.sends(),
            last_event = self.parcel.events.last().unwrap_or_default(),
            begun_ms = millis(self.begun.unwrap_or(age)),
            pause_ms = millis(self.pause),
            age_ms = millis(age),
            outcome = outcome;
            "a request ended"
        );
    }
}

/// Returns a duration in whole milliseconds.
pub(super) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn fault_name(fault: Fault) -> &'static str {
    match fault {
        Fault::Unreachable => "unreachable",
        Fault::Broken => "broken",
        Fault::Silent => "silent",
        Fault::Failed => "failed",
        Fault::Full => "full",
        Fault::Replaced => "replaced",
    }
}
