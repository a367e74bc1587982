//! One run of the engine between two restarts, with the state that a restart clears.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use bytes::Bytes;
use cw_types::Time;
use cyclamenwharf::Clock;
use futures::FutureExt;
use futures::future::BoxFuture;
use futures::stream::unfold;
use http::Method;
use http::Request;
use http::StatusCode;
use hyper::body::Incoming;
use serde_json::json;
use tokio::sync::Notify;
use tokio::sync::mpsc;

use crate::server::Handler;
use crate::server::HttpResponse;
use crate::server::NoResponse;
use crate::server::empty_response;
use crate::server::json_response;
use crate::server::read_json;
use crate::server::stream_response;

use super::EngineSpec;
use super::POISON;
use super::TokenSource;
use super::api::AbortBody;
use super::api::CompletionBody;
use super::api::LoadBody;
use super::api::OrderBody;
use super::batch::Batch;
use super::batch::Step;
use super::event_log::EventLog;
use super::job::Job;
use super::loaded_versions::LoadedVersions;
use super::loaded_versions::OrderOutcome;
use super::loaded_versions::VersionKey;
use super::persistent_state::PersistentState;
use super::prompt_ids;

/// The maximum number of unsent events in one stream.
const STREAM_BUFFER: usize = 64;

#[derive(Debug)]
struct State {
    batch: Batch,
    loaded: LoadedVersions,
    events: EventLog,
    load: (Option<Time>, LoadBody),
}

/// One run of an engine, which serves its API.
#[derive(Debug)]
pub(super) struct EngineProcess {
    boot: u64,
    spec: EngineSpec,
    clock: Clock,
    persistent: Arc<PersistentState>,
    state: Mutex<State>,
    new_work: Notify,
}

impl EngineProcess {
    /// Returns the state of an engine that has just started.
    pub(super) fn new(boot: u64, spec: EngineSpec, persistent: Arc<PersistentState>) -> Self {
        let state = State {
            batch: Batch::new(spec.timings.clone()),
            loaded: LoadedVersions::new(spec.versions.clone()),
            events: EventLog::default(),
            load: (None, LoadBody::default()),
        };
        Self {
            boot,
            spec,
            clock: Clock::default(),
            persistent,
            state: Mutex::new(state),
            new_work: Notify::new(),
        }
    }

    /// Runs the batch until a prompt crashes the engine.
    pub(super) async fn run(&self) {
        let mut due = tokio::time::Instant::now();
        loop {
            self.persistent.gate.wait_open().await;
            match self.begin() {
                Step::Crash => return,
                Step::Idle => {
                    self.new_work.notified().await;
                    due = tokio::time::Instant::now();
                }
                Step::Compute(span) => {
                    due = due.max(tokio::time::Instant::now() - span) + span;
                    match span.is_zero() {
                        // A timer would round the zero delay up to its next tick.
                        true => tokio::task::yield_now().await,
                        false => tokio::time::sleep_until(due).await,
                    }
                    self.persistent.gate.wait_open().await;
                    self.finish();
                }
            }
        }
    }

    /// Counts the output of the requests that are lost when the engine stops.
    pub(super) fn count_unfinished(&self) {
        let mut state = self.state();
        state
            .batch
            .count_unfinished(&mut self.persistent.counters());
    }

    /// Returns the number of running and waiting requests.
    pub(super) fn request_count(&self) -> usize {
        let state = self.state();
        state.batch.running() + state.batch.waiting()
    }

    fn begin(&self) -> Step {
        let mut state = self.state();
        state.batch.begin(&mut self.persistent.counters())
    }

    fn finish(&self) {
        let now = self.clock.now();
        let mut state = self.state();
        let faults = self.persistent.faults().clone();
        state.batch.finish(&faults, &mut self.persistent.counters());
        for change in state.batch.take_changes() {
            state.events.push(now, change, self.spec.timings.event_loss);
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under this lock")
    }

    // ---- Requests

    async fn route(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<HttpResponse, NoResponse> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/health") => Ok(empty_response(StatusCode::OK)),
            (&Method::GET, "/v1/load") => Ok(json_response(StatusCode::OK, &self.cached_load())),
            (&Method::GET, "/v1/cache/events") => Ok(self.cache_events(request.uri().query())),
            (&Method::POST, "/v1/completions" | "/v1/chat/completions") => {
                Ok(match read_json(request).await? {
                    Ok(body) => self.complete(body),
                    Err(response) => response,
                })
            }
            (&Method::POST, "/v1/abort") => Ok(match read_json(request).await? {
                Ok(body) => self.abort(&body),
                Err(response) => response,
            }),
            (&Method::POST, "/v1/orders") => Ok(match read_json(request).await? {
                Ok(body) => self.handle_order(body),
                Err(response) => response,
            }),
            _ => Ok(empty_response(StatusCode::NOT_FOUND)),
        }
    }

    fn complete(&self, mut body: CompletionBody) -> HttpResponse {
        let prompt = match body.prompt() {
            Ok(prompt) => prompt,
            Err(message) => return error_response(StatusCode::UNPROCESSABLE_ENTITY, message),
        };
        if self.persistent.take_next_error() {
            return error_response(StatusCode::INTERNAL_SERVER_ERROR, "a fault of the engine");
        }
        let key = (body.model.clone(), body.version.clone());
        let mut state = self.state();
        if !state.loaded.can_serve(&key, body.adapter.as_ref()) {
            return error_response(StatusCode::NOT_FOUND, "the version is not loaded");
        }
        let poison = serde_json::to_string(&prompt).is_ok_and(|text| text.contains(POISON));
        let (events, receiver) = mpsc::channel(STREAM_BUFFER);
        let (priority, job) = new_job(body, &prompt_ids(&prompt), poison, events);
        if !state.batch.push(job, priority) {
            self.persistent.counters().refused += 1;
            return error_response(StatusCode::SERVICE_UNAVAILABLE, "the engine is full");
        }
        self.new_work.notify_one();
        stream_response("text/event-stream", event_stream(receiver))
    }

    fn abort(&self, body: &AbortBody) -> HttpResponse {
        let mut state = self.state();
        let mut counters = self.persistent.counters();
        state.batch.abort(&body.request_id, &mut counters);
        json_response(StatusCode::OK, &json!({}))
    }

    // ---- Reports

    fn cached_load(&self) -> LoadBody {
        let now = self.clock.now();
        let lag = self.spec.timings.report_lag;
        let mut state = self.state();
        if state.load.0.is_none_or(|taken| now.since(taken) >= lag) {
            state.load = (Some(now), self.measure_load(&state));
        }
        state.load.1.clone()
    }

    fn measure_load(&self, state: &State) -> LoadBody {
        let micros = state.batch.step().as_micros();
        LoadBody {
            boot: self.boot,
            running: state.batch.running(),
            waiting: state.batch.waiting(),
            cached_tokens: state.batch.cached_tokens(),
            capacity_tokens: self.spec.timings.cache_tokens,
            prefill_tokens: state.batch.waiting_prompt_tokens(),
            step_micros: u64::try_from(micros).unwrap_or(u64::MAX),
            versions: state.loaded.versions.clone(),
        }
    }

    fn cache_events(&self, query: Option<&str>) -> HttpResponse {
        let after = query
            .and_then(|query| query.strip_prefix("after="))
            .map_or(Ok(0), str::parse);
        let Ok(after) = after else {
            return error_response(StatusCode::UNPROCESSABLE_ENTITY, "expected after=NUMBER");
        };
        let lag = self.spec.timings.event_lag;
        let page = self.state().events.page(self.clock.now(), after, lag);
        json_response(StatusCode::OK, &page)
    }

    // ---- Orders

    fn handle_order(self: Arc<Self>, body: OrderBody) -> HttpResponse {
        let key = match &body.order {
            cw_wire::OrderKind::Load { model, version, .. } => (model.clone(), version.clone()),
            _ => ("-".parse().expect("valid"), "-".parse().expect("valid")),
        };
        let mut state = self.state();
        let outcome = state
            .loaded
            .apply(body.fencing, self.spec.fenced, body.order);
        drop(state);
        match outcome {
            OrderOutcome::Done => json_response(StatusCode::OK, &json!({ "state": "done" })),
            OrderOutcome::InProgress => json_response(StatusCode::OK, &json!({ "state": "begun" })),
            OrderOutcome::ReadWeights(weights) => {
                tokio::spawn(self.read_weights(key, weights));
                json_response(StatusCode::OK, &json!({ "state": "begun" }))
            }
            OrderOutcome::Fenced(highest) => {
                self.persistent.counters().fenced_orders += 1;
                json_response(StatusCode::CONFLICT, &json!({ "highest": highest }))
            }
            OrderOutcome::Refused(message) => {
                error_response(StatusCode::UNPROCESSABLE_ENTITY, &message)
            }
        }
    }

    async fn read_weights(self: Arc<Self>, key: VersionKey, weights: String) {
        let success = match self.spec.weights {
            Some(store) => crate::fake_weight_store::read_weights(store, &weights).await,
            None => true,
        };
        self.state().loaded.finish_loading(key, success);
    }
}

impl Handler for EngineProcess {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<HttpResponse, NoResponse>> {
        self.route(request).boxed()
    }
}

fn new_job(
    body: CompletionBody,
    prompt: &[cw_types::TokenId],
    poison: bool,
    events: mpsc::Sender<Bytes>,
) -> (i64, Job) {
    let adapter = body.adapter.as_ref().map_or("", |name| name.as_str());
    let names = [body.model.as_str(), body.version.as_str(), adapter];
    let source = TokenSource::new(prompt, names, body.seed);
    let mut tokens = prompt.to_vec();
    tokens.extend(body.output_so_far);
    let job = Job {
        id: body.request_id,
        tokens,
        prompt_len: prompt.len(),
        source,
        remaining: body.max_tokens,
        generated: 0,
        stop: body.stop,
        poison,
        events,
    };
    (body.priority, job)
}

fn event_stream(receiver: mpsc::Receiver<Bytes>) -> impl futures::Stream<Item = Bytes> {
    unfold(receiver, async |mut receiver| {
        receiver.recv().await.map(|event| (event, receiver))
    })
}

fn error_response(status: StatusCode, message: &str) -> HttpResponse {
    json_response(status, &json!({ "message": message }))
}
