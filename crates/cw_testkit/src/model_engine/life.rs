//! One life of an engine: what it loses when it dies.

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

use crate::server::Cut;
use crate::server::Handler;
use crate::server::Reply;
use crate::server::empty;
use crate::server::json as json_reply;
use crate::server::read_json;
use crate::server::stream;

use super::EngineSpec;
use super::POISON;
use super::TokenSource;
use super::api::AbortBody;
use super::api::CompletionBody;
use super::api::LoadBody;
use super::api::OrderBody;
use super::batch::Batch;
use super::batch::Step;
use super::engine::Lasting;
use super::event_log::EventLog;
use super::job::Job;
use super::orders::Loaded;
use super::orders::OrderStep;
use super::orders::VersionKey;
use super::prompt_ids;

/// The events of one stream that wait for their reader.
const STREAM_BUFFER: usize = 64;

#[derive(Debug)]
struct State {
    batch: Batch,
    loaded: Loaded,
    events: EventLog,
    load: (Option<Time>, LoadBody),
}

/// One life of an engine.
#[derive(Debug)]
pub(super) struct Life {
    boot: u64,
    spec: EngineSpec,
    clock: Clock,
    lasting: Arc<Lasting>,
    state: Mutex<State>,
    work: Notify,
}

impl Life {
    /// Returns a new life.
    pub(super) fn new(boot: u64, spec: EngineSpec, lasting: Arc<Lasting>) -> Self {
        let state = State {
            batch: Batch::new(spec.timings.clone()),
            loaded: Loaded::new(spec.versions.clone()),
            events: EventLog::default(),
            load: (None, LoadBody::default()),
        };
        Self {
            boot,
            spec,
            clock: Clock::default(),
            lasting,
            state: Mutex::new(state),
            work: Notify::new(),
        }
    }

    /// Computes until a prompt crashes the engine.
    pub(super) async fn run(&self) {
        let mut due = tokio::time::Instant::now();
        loop {
            self.lasting.gate.wait().await;
            match self.begin() {
                Step::Crash => return,
                Step::Idle => {
                    self.work.notified().await;
                    due = tokio::time::Instant::now();
                }
                Step::Compute(span) => {
                    due = due.max(tokio::time::Instant::now() - span) + span;
                    match span.is_zero() {
                        // A timer would round up to its next tick.
                        true => tokio::task::yield_now().await,
                        false => tokio::time::sleep_until(due).await,
                    }
                    self.lasting.gate.wait().await;
                    self.finish();
                }
            }
        }
    }

    /// Counts what is lost with this life.
    pub(super) fn end(&self) {
        let mut state = self.state();
        state.batch.count_lost(&mut self.lasting.counters());
    }

    /// Returns how many requests run or wait.
    pub(super) fn busy(&self) -> usize {
        let state = self.state();
        state.batch.running() + state.batch.waiting()
    }

    fn begin(&self) -> Step {
        let mut state = self.state();
        state.batch.begin(&mut self.lasting.counters())
    }

    fn finish(&self) {
        let now = self.clock.now();
        let mut state = self.state();
        let faults = self.lasting.faults().clone();
        state.batch.finish(&faults, &mut self.lasting.counters());
        for change in state.batch.take_changes() {
            state.events.push(now, change, self.spec.timings.event_loss);
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under this lock")
    }

    // ---- Requests

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Result<Reply, Cut> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/health") => Ok(empty(StatusCode::OK)),
            (&Method::GET, "/v1/load") => Ok(json_reply(StatusCode::OK, &self.load())),
            (&Method::GET, "/v1/cache/events") => Ok(self.cache_events(request.uri().query())),
            (&Method::POST, "/v1/completions" | "/v1/chat/completions") => {
                Ok(match read_json(request).await? {
                    Ok(body) => self.complete(body),
                    Err(reply) => reply,
                })
            }
            (&Method::POST, "/v1/abort") => Ok(match read_json(request).await? {
                Ok(body) => self.abort(&body),
                Err(reply) => reply,
            }),
            (&Method::POST, "/v1/orders") => Ok(match read_json(request).await? {
                Ok(body) => self.order(body),
                Err(reply) => reply,
            }),
            _ => Ok(empty(StatusCode::NOT_FOUND)),
        }
    }

    fn complete(&self, mut body: CompletionBody) -> Reply {
        let prompt = match body.prompt() {
            Ok(prompt) => prompt,
            Err(message) => return refuse(StatusCode::UNPROCESSABLE_ENTITY, message),
        };
        if self.lasting.take_error() {
            return refuse(StatusCode::INTERNAL_SERVER_ERROR, "a fault of the engine");
        }
        let key = (body.model.clone(), body.version.clone());
        let mut state = self.state();
        if !state.loaded.has(&key, body.adapter.as_ref()) {
            return refuse(StatusCode::NOT_FOUND, "the version is not loaded");
        }
        let poison = serde_json::to_string(&prompt).is_ok_and(|text| text.contains(POISON));
        let (events, receiver) = mpsc::channel(STREAM_BUFFER);
        let (priority, job) = job(body, &prompt_ids(&prompt), poison, events);
        if !state.batch.push(job, priority) {
            self.lasting.counters().refused += 1;
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "the engine is full");
        }
        self.work.notify_one();
        stream("text/event-stream", received(receiver))
    }

    fn abort(&self, body: &AbortBody) -> Reply {
        let mut state = self.state();
        let mut counters = self.lasting.counters();
        state.batch.abort(&body.request_id, &mut counters);
        json_reply(StatusCode::OK, &json!({}))
    }

    // ---- Reports

    fn load(&self) -> LoadBody {
        let now = self.clock.now();
        let lag = self.spec.timings.report_lag;
        let mut state = self.state();
        if state.load.0.is_none_or(|taken| now.since(taken) >= lag) {
            state.load = (Some(now), self.measure(&state));
        }
        state.load.1.clone()
    }

    fn measure(&self, state: &State) -> LoadBody {
        let micros = state.batch.step().as_micros();
        LoadBody {
            boot: self.boot,
            running: state.batch.running(),
            waiting: state.batch.waiting(),
            cached_tokens: state.batch.cached(),
            capacity_tokens: self.spec.timings.capacity,
            prefill_tokens: state.batch.prefill(),
            step_micros: u64::try_from(micros).unwrap_or(u64::MAX),
            versions: state.loaded.versions.clone(),
        }
    }

    fn cache_events(&self, query: Option<&str>) -> Reply {
        let after = query
            .and_then(|query| query.strip_prefix("after="))
            .map_or(Ok(0), str::parse);
        let Ok(after) = after else {
            return refuse(StatusCode::UNPROCESSABLE_ENTITY, "expected after=NUMBER");
        };
        let lag = self.spec.timings.event_lag;
        let page = self.state().events.page(self.clock.now(), after, lag);
        json_reply(StatusCode::OK, &page)
    }

    // ---- Orders

    fn order(self: Arc<Self>, body: OrderBody) -> Reply {
        let key = match &body.order {
            cw_wire::OrderKind::Load { model, version, .. } => (model.clone(), version.clone()),
            _ => ("-".parse().expect("valid"), "-".parse().expect("valid")),
        };
        let mut state = self.state();
        let step = state
            .loaded
            .order(body.fencing, self.spec.fenced, body.order);
        drop(state);
        match step {
            OrderStep::Done => json_reply(StatusCode::OK, &json!({ "state": "done" })),
            OrderStep::Begun => json_reply(StatusCode::OK, &json!({ "state": "begun" })),
            OrderStep::Read(weights) => {
                tokio::spawn(self.read_weights(key, weights));
                json_reply(StatusCode::OK, &json!({ "state": "begun" }))
            }
            OrderStep::Fenced(highest) => {
                self.lasting.counters().fenced += 1;
                json_reply(StatusCode::CONFLICT, &json!({ "highest": highest }))
            }
            OrderStep::Refused(message) => refuse(StatusCode::UNPROCESSABLE_ENTITY, &message),
        }
    }

    async fn read_weights(self: Arc<Self>, key: VersionKey, weights: String) {
        let success = match self.spec.weights {
            Some(store) => crate::weight_store::read(store, &weights).await,
            None => true,
        };
        self.state().loaded.finish(key, success);
    }
}

impl Handler for Life {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Reply, Cut>> {
        self.answer(request).boxed()
    }
}

fn job(
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
        prompt: prompt.len(),
        source,
        remaining: body.max_tokens,
        generated: 0,
        stop: body.stop,
        poison,
        events,
    };
    (body.priority, job)
}

fn received(receiver: mpsc::Receiver<Bytes>) -> impl futures::Stream<Item = Bytes> {
    unfold(receiver, async |mut receiver| {
        receiver.recv().await.map(|event| (event, receiver))
    })
}

fn refuse(status: StatusCode, message: &str) -> Reply {
    json_reply(status, &json!({ "message": message }))
}
