//! Carries one request to its end.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cw_policy::forward::Admitted;
use cw_policy::forward::Backlog;
use cw_policy::forward::EventStream;
use cw_policy::forward::Exchange;
use cw_policy::forward::ExchangeEvent;
use cw_policy::forward::ExchangeStep;
use cw_policy::forward::Fault;
use cw_policy::forward::Resume;
use cw_store::RequestHead;
use cw_types::ErrorKind;
use cw_types::ServiceName;
use cw_types::Time;
use cw_wire::PromptHash;
use dropshot::Body;
use http::Response;
use http::request;
use log::info;

use super::answer::WholeAnswer;
use super::front::refusal_response;
use super::outcome::Outcome;
use super::shared::Shared;

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

/// Carries one request to its end.
pub(super) struct Courier {
    pub(super) shared: Arc<Shared>,
    pub(super) parcel: Parcel,
    pub(super) exchange: Exchange,
    /// The version of the weights that began the answer.
    pub(super) weights: Option<u64>,
    failure: Option<WholeAnswer>,
    /// What tells its prompt from others.
    pub(super) prompt: Option<PromptHash>,
    /// When it was last sent.
    pub(super) sent: Time,
    /// What it found at its target then.
    pub(super) found: Backlog,
    /// When a caller that is refused does well to come again, if that is known.
    pub(super) again: Option<Duration>,
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
        shared.beliefs().budgets.record_first(now, &parcel.service);
        let prompt = parcel.head.prompt.as_deref().map(PromptHash::of);
        Self {
            shared,
            parcel,
            exchange,
            weights: None,
            failure: None,
            prompt,
            sent: now,
            found: Backlog::default(),
            again: None,
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
            .on_event(now, event, || beliefs.budgets.try_spend(now, service));
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
        refusal_response(&self.shared, kind, Some(left), self.again, id)
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
