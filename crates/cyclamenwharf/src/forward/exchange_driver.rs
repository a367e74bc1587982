//! Drives one request from its acceptance to its end.

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
use cw_policy::forward::ForwardConfig;
use cw_policy::forward::Resume;
use cw_policy::forward::Standing;
use cw_policy::forward::SuspectKeys;
use cw_store::RequestHead;
use cw_types::ErrorKind;
use cw_types::ServiceName;
use cw_types::Time;
use cw_wire::Fingerprint;
use cw_wire::PartHash;
use cw_wire::PromptHash;
use cw_wire::StreamHash;
use dropshot::Body;
use http::Response;
use http::request;
use log::info;
use rand::RngExt;
use tokio::task::JoinHandle;
use xxhash_rust::xxh3::Xxh3Default;

use super::forward_context::ForwardContext;
use super::loss_check::LossCheck;
use super::refusal_response::refusal_response;
use super::response::BufferedResponse;
use super::rollout_record::RolloutRun;
use super::send_outcome::SendOutcome;
use super::send_outcome::TargetStream;
use super::stream_take_up::TakeUp;
use super::trial_guard::SuspectAdmission;
use super::trial_guard::begin_trial;

/// The maximum time that a request waits for the causes of its losses. The host of a target that
/// crashed refuses a connection within milliseconds, and a stream must not pause for longer.
const LOSS_CHECK_TIMEOUT: Duration = Duration::from_millis(50);

/// The time that a trial usually takes: until a prompt has been read and the first events have come.
const TRIAL_TIME: Duration = Duration::from_secs(1);

/// The range of the delay after which callers are told to come back while a trial is in progress, as a
/// multiple of [`TRIAL_TIME`], so that they do not come back at the same moment.
const TRIAL_RETURN_SPREAD: std::ops::Range<f64> = 1.0..1.5;

/// An accepted request, with the settings that apply to it.
pub(super) struct AcceptedRequest {
    /// The caller's request without its body.
    pub(super) parts: request::Parts,
    pub(super) body: Bytes,
    pub(super) head: RequestHead,
    pub(super) admitted: Admitted,
    pub(super) service: ServiceName,
    /// The configuration that admitted the request.
    pub(super) config: Arc<ForwardConfig>,
    /// The cache memory of one engine in tokens, `None` for a service without engines.
    pub(super) memory: Option<u64>,
    /// Whether engines keep copies of each other's runs.
    pub(super) copies: bool,
    /// How long an engine keeps a copy that was made on request.
    pub(super) copy_lifetime: Duration,
    /// The events that have been passed on to the caller.
    pub(super) events: EventStream,
}

impl AcceptedRequest {
    /// Sets the service that answers the request, and the settings that follow from it.
    pub(super) fn set_service(&mut self, service: ServiceName) {
        let settings = self.config.service(&service);
        self.memory = settings.and_then(|settings| settings.memory);
        self.copies = settings.is_some_and(|settings| settings.copies);
        self.copy_lifetime = settings.map_or(Duration::ZERO, |settings| settings.copy_lifetime);
        self.service = service;
    }

    /// Returns what the request has in common with other attempts and other requests.
    fn suspect_keys(&self) -> SuspectKeys {
        let parts = self.head.shared_parts.iter();
        SuspectKeys::new(self.fingerprint(), parts.map(|part| PartHash::of(part)))
    }

    /// Returns the identity of the request, which all attempts of its caller have in common.
    fn fingerprint(&self) -> Fingerprint {
        let workspace = self.admitted.workspace.as_ref();
        let path = self.parts.uri.path_and_query();
        let mut hash = Xxh3Default::new();
        let texts = [
            workspace.map_or("", |workspace| workspace.as_str()),
            path.map_or("", |path| path.as_str()),
        ];
        for text in texts {
            hash.update(text.as_bytes());
            // A separator, so that no two pairs of texts are hashed as the same bytes.
            hash.update(&[0]);
        }
        hash.update(&self.body);
        Fingerprint(hash.digest())
    }
}

/// How the search for an answer to a request ends.
enum ExchangeEnd {
    /// The whole answer of a target is there.
    Answered(BufferedResponse),
    /// A stream has begun.
    Begun(Box<TargetStream>),
    /// The request is refused.
    Refused(ErrorKind),
}

/// Drives one request by the decisions of its [`Exchange`].
pub(super) struct ExchangeDriver {
    pub(super) context: Arc<ForwardContext>,
    pub(super) request: AcceptedRequest,
    pub(super) exchange: Exchange,
    /// The version of the weights that the answer began with.
    pub(super) weights: Option<u64>,
    error_response: Option<BufferedResponse>,
    /// The identity of the request.
    pub(super) fingerprint: Fingerprint,
    /// What the request has in common with other attempts and other requests that may crash targets.
    pub(super) keys: SuspectKeys,
    /// The hash that identifies the prompt.
    pub(super) prompt_hash: Option<PromptHash>,
    /// The stream of the request over all tries of its caller.
    pub(super) stream: StreamHash,
    /// The time of the last send.
    pub(super) sent_at: Time,
    /// The backlog of the target at the last send.
    pub(super) backlog: Backlog,
    /// The checks of the targets that did not answer a send.
    pub(super) loss_checks: Vec<JoinHandle<()>>,
    /// The delay after which a refused caller should retry, if known.
    pub(super) retry_after: Option<Duration>,
    /// The age of the request when its first event was passed on.
    pub(super) first_event_age: Option<Duration>,
    /// When the current target sent its first events.
    pub(super) target_started_at: Option<Time>,
    /// When the last events arrived.
    pub(super) last_event_at: Option<Time>,
    /// The longest pause between events.
    pub(super) longest_pause: Duration,
    /// The run in progress, if the service has a roll-out.
    pub(super) rollout_run: Option<RolloutRun>,
}

impl ExchangeDriver {
    pub(super) fn new(
        context: Arc<ForwardContext>,
        request: AcceptedRequest,
        exchange: Exchange,
    ) -> Self {
        let now = exchange.plan().arrived;
        {
            let mut state = context.state();
            state.budgets.record_first(now, &request.service);
            state.fleet.record_demand(now, &request.service);
        }
        let prompt_hash = request.head.prompt_key.as_deref().map(PromptHash::of);
        let first_attempt = request.head.first_attempt.as_ref();
        let stream = StreamHash::of_attempt(first_attempt.unwrap_or(&request.head.id));
        Self {
            fingerprint: request.fingerprint(),
            keys: request.suspect_keys(),
            context,
            request,
            exchange,
            weights: None,
            error_response: None,
            prompt_hash,
            stream,
            sent_at: now,
            backlog: Backlog::default(),
            loss_checks: Vec::new(),
            retry_after: None,
            first_event_age: None,
            target_started_at: None,
            last_event_at: None,
            longest_pause: Duration::ZERO,
            rollout_run: None,
        }
    }

    /// Returns the response. The body of a stream is sent by a task of its own.
    pub(super) async fn run(mut self) -> Response<Body> {
        let stopping = self.context.stopping.clone();
        let end = tokio::select! {
            biased;
            end = self.find_answer() => end,
            () = stopping.cancelled() => match self.next_step(ExchangeEvent::Stopping) {
                ExchangeStep::Refuse(kind) => ExchangeEnd::Refused(kind),
                // There is no time for any other step.
                _ => ExchangeEnd::Refused(ErrorKind::OutcomeUnknown),
            },
        };
        match end {
            ExchangeEnd::Answered(response) => self.respond(response),
            ExchangeEnd::Begun(stream) => self.start_stream(*stream),
            ExchangeEnd::Refused(kind) => self.refuse(kind),
        }
    }

    /// Sends the request until its answer has come or begun, or it is refused.
    async fn find_answer(&mut self) -> ExchangeEnd {
        let mut step = match self.take_up_stream().await {
            TakeUp::Ready => ExchangeStep::Send(Resume::default()),
            TakeUp::Refused(event) => self.next_step(event),
        };
        loop {
            step = match step {
                ExchangeStep::Send(resume) => match self.send(&resume).await {
                    SendOutcome::Response(response) | SendOutcome::StreamEnd(response) => {
                        return ExchangeEnd::Answered(response);
                    }
                    SendOutcome::Stream(stream) => return ExchangeEnd::Begun(stream),
                    SendOutcome::ErrorResponse(response) => {
                        self.error_response = Some(response);
                        self.next_step(ExchangeEvent::Failed)
                    }
                    SendOutcome::Event(event) => self.next_step(event),
                },
                ExchangeStep::Wait(pause) => {
                    tokio::time::sleep(pause).await;
                    ExchangeStep::Send(Resume::default())
                }
                ExchangeStep::AskBudget(pause) => self.ask_budget(pause).await,
                ExchangeStep::PassOn => match self.error_response.take() {
                    Some(response) => return ExchangeEnd::Answered(response),
                    None => ExchangeStep::Refuse(ErrorKind::TargetFailed),
                },
                ExchangeStep::Refuse(kind) | ExchangeStep::Break(kind) => {
                    return ExchangeEnd::Refused(kind);
                }
            };
        }
    }

    /// Records an event, and returns the next step.
    pub(super) fn next_step(&mut self, event: ExchangeEvent) -> ExchangeStep {
        let now = self.context.now();
        let placed = self.exchange.placed().cloned();
        self.record_rollout_event(event);
        let loss_check = self.start_loss_check(event);
        self.loss_checks.extend(loss_check);
        let mut state = self.context.state();
        let state = &mut *state;
        let fault = match event {
            ExchangeEvent::NotSent(fault)
            | ExchangeEvent::NotRun(fault)
            | ExchangeEvent::Lost(fault) => Some(fault),
            ExchangeEvent::Failed => Some(Fault::Failed),
            _ => None,
        };
        if let (Some(placed), Some(fault)) = (&placed, fault) {
            let (target, incarnation) = (&placed.target, placed.incarnation);
            let fleet = &mut state.fleet;
            fleet.record_failure(now, target, incarnation, fault);
            self.context
                .metrics
                .record_send(&self.request.service, fault_name(fault));
            if fault == Fault::Unreachable || fault == Fault::Silent {
                self.context.pool.close(&placed.target);
            }
        }
        let service = &self.request.service;
        let precedence = self.exchange.plan().precedence;
        let step = self.exchange.on_event(now, event, || {
            (state.budgets).try_spend_beside(now, service, |room| precedence.kept(room))
        });
        info!(
            request = self.request.head.id.as_str(),
            fingerprint = self.fingerprint.to_string(),
            target_id = placed.as_ref().map_or("none", |at| at.target.as_str()),
            sends = self.exchange.sends(),
            age_ms = millis(now.since(self.exchange.plan().arrived)),
            event:? = event,
            rank = precedence.rank.to_string(),
            reserve = precedence.reserve(),
            step:? = step;
            "a send or placement ended without an answer"
        );
        step
    }

    /// Starts to check whether the target of the last send has crashed, if its answer was lost.
    fn start_loss_check(&self, event: ExchangeEvent) -> Option<JoinHandle<()>> {
        let fault = match event {
            ExchangeEvent::Lost(fault) => fault,
            ExchangeEvent::Expired => Fault::Silent,
            _ => return None,
        };
        let target = self.exchange.placed()?.target.clone();
        let check = LossCheck {
            context: Arc::clone(&self.context),
            address: self.address(&target)?,
            target,
            fault,
            sent_at: self.sent_at,
        };
        Some(tokio::spawn(check.run()))
    }

    /// Returns whether and how the request may be sent, by the crashes at which it was in flight. If its last
    /// losses may decide that, their causes are awaited first.
    pub(super) async fn admit_suspect(&mut self) -> SuspectAdmission {
        self.loss_checks.retain(|check| !check.is_finished());
        let undecided = self.loss_checks.len();
        let may_be_suspect = || {
            let state = self.context.state();
            state.crashes.may_be_suspect(&self.keys, undecided)
        };
        if undecided > 0 && may_be_suspect() {
            let checks = futures::future::join_all(self.loss_checks.drain(..));
            if tokio::time::timeout(LOSS_CHECK_TIMEOUT, checks)
                .await
                .is_err()
            {
                info!(
                    request = self.request.head.id.as_str(), undecided = undecided;
                    "sending a request before it is known whether its targets crashed"
                );
            }
        }
        let (standing, suspect) = {
            let state = self.context.state();
            let crashes = &state.crashes;
            let standing = crashes.standing(self.keys.clone());
            (standing, crashes.probation_suspect(&self.keys))
        };
        let admission = match (standing, suspect) {
            (Standing::Clear, _) | (Standing::Probation, None) => return SuspectAdmission::Free,
            (Standing::Refused, _) => SuspectAdmission::Refused,
            (Standing::Probation, Some(suspect)) => {
                let longest = self.context.now().until(self.exchange.plan().deadline);
                begin_trial(&self.context, suspect, longest).await
            }
        };
        self.record_admission(&admission);
        admission
    }

    /// Logs how a request that was in flight at crashes may be sent, and when its caller should come back.
    fn record_admission(&mut self, admission: &SuspectAdmission) {
        let now = self.context.now();
        let mut state = self.context.state();
        self.retry_after = match admission {
            SuspectAdmission::Free | SuspectAdmission::Trial(_) => None,
            SuspectAdmission::Busy => {
                let spread = state.rng.random_range(TRIAL_RETURN_SPREAD);
                Some(TRIAL_TIME.mul_f64(spread))
            }
            SuspectAdmission::Refused => {
                Some(state.crashes.refusal_time_left(now, self.keys.clone()))
            }
        };
        info!(
            request = self.request.head.id.as_str(),
            fingerprint = self.fingerprint.to_string(),
            crashes = state.crashes.describe_evidence(now, &self.keys),
            decision = admission.name();
            "decided on a request that was in flight at crashes"
        );
    }

    fn respond(self, response: BufferedResponse) -> Response<Body> {
        let outcome = match response.status.is_success() {
            true => "answered",
            false => "failed",
        };
        self.record_end(outcome);
        response.into_response()
    }

    fn refuse(self, kind: ErrorKind) -> Response<Body> {
        self.record_end(kind.code());
        let time_left = self.context.now().until(self.exchange.plan().deadline);
        let id = Some(self.request.head.id.as_str());
        let precedence = self.exchange.plan().precedence;
        refusal_response(
            &self.context,
            kind,
            Some(time_left),
            self.retry_after,
            id,
            precedence,
        )
    }

    /// Records in metrics and the log how the request ended.
    pub(super) fn record_end(&self, outcome: &str) {
        let age = self.context.now().since(self.exchange.plan().arrived);
        let metrics = &self.context.metrics;
        let rank = self.exchange.plan().precedence.rank;
        metrics.record_request(Some(&self.request.service), outcome);
        metrics.record_rank(&self.request.service, rank, outcome);
        if !self.exchange.plan().streaming {
            metrics.record_answer_time(&self.request.service, age);
        }
        let target = self.exchange.placed().map(|placed| placed.target.as_str());
        info!(
            request = self.request.head.id.as_str(),
            fingerprint = self.fingerprint.to_string(),
            route = self.request.admitted.route.name.as_str(),
            target_id = target.unwrap_or("none"),
            sends = self.exchange.sends(),
            last_event = self.request.events.last().unwrap_or_default(),
            begun_ms = millis(self.first_event_age.unwrap_or(age)),
            pause_ms = millis(self.longest_pause),
            age_ms = millis(age),
            outcome = outcome;
            "request finished"
        );
    }
}

/// Returns a duration in whole milliseconds, rounded down.
pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn fault_name(fault: Fault) -> &'static str {
    match fault {
        Fault::Unreachable => "unreachable",
        Fault::Broken => "broken",
        Fault::Silent => "silent",
        Fault::Failed => "failed",
        Fault::Full => "full",
        Fault::Replaced => "replaced",
        Fault::Leaving => "leaving",
        Fault::Late => "late",
    }
}
