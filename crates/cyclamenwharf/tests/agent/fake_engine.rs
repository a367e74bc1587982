//! An engine whose every answer is given by the test.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use dropshot::ApiDescription;
use dropshot::Body;
use dropshot::ConfigDropshot;
use dropshot::HttpError;
use dropshot::HttpServer;
use dropshot::RequestContext;
use dropshot::ServerBuilder;
use dropshot::UntypedBody;
use dropshot::endpoint;
use futures::StreamExt;
use futures::channel::mpsc;
use http::Response;
use http_body_util::StreamBody;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;

type Piece = Result<Bytes, std::io::Error>;

/// One call that the engine has received, to be answered by the test.
pub(crate) struct Received {
    /// Its body.
    pub(crate) body: Value,
    answer: mpsc::UnboundedSender<Piece>,
}

impl Received {
    /// Sends the event that accepts the call.
    pub(crate) fn accept(&self, cached: u64) {
        self.event(&json!({
            "choices": [],
            "usage": {"prompt_tokens": 9, "cached_tokens": cached},
        }));
    }

    /// Sends one token, whose text is its number.
    pub(crate) fn token(&self, id: u32) {
        let text = id.to_string();
        self.event(&json!({
            "choices": [{"index": 0, "text": text, "token_ids": [id], "finish_reason": null}],
        }));
    }

    /// Sends the end of the output.
    pub(crate) fn finish(&self) {
        self.event(&json!({
            "choices": [{"index": 0, "text": "", "token_ids": [], "finish_reason": "stop"}],
        }));
        self.piece(Ok(Bytes::from_static(b"data: [DONE]\n\n")));
    }

    /// Sends raw bytes.
    pub(crate) fn bytes(&self, bytes: Bytes) {
        self.piece(Ok(bytes));
    }

    /// Breaks the connection.
    pub(crate) fn break_off(&self) {
        self.piece(Err(std::io::Error::other("the engine has died")));
    }

    /// Returns whether the agent has closed the connection.
    pub(crate) fn is_closed(&self) -> bool {
        self.answer.is_closed()
    }

    fn event(&self, event: &Value) {
        self.piece(Ok(Bytes::from(format!("data: {event}\n\n"))));
    }

    fn piece(&self, piece: Piece) {
        // A closed connection is what some tests are about.
        let _ = self.answer.unbounded_send(piece);
    }
}

/// What the handlers share.
pub(crate) struct Shared {
    /// The engine's life.
    pub(crate) boot: AtomicU64,
    /// Whether the engine is paused and says nothing of its load.
    pub(crate) paused: watch::Sender<bool>,
    /// The ids of aborted attempts.
    pub(crate) aborted: Mutex<Vec<String>>,
    /// The orders received.
    pub(crate) orders: Mutex<Vec<Value>>,
    calls: mpsc::UnboundedSender<Received>,
}

/// An engine, or a plain service, whose every answer is given by the test.
pub(crate) struct FakeEngine {
    /// What the handlers share.
    pub(crate) shared: Arc<Shared>,
    /// Its server.
    pub(crate) server: HttpServer<Arc<Shared>>,
    calls: mpsc::UnboundedReceiver<Received>,
}

impl FakeEngine {
    /// Starts an engine.
    pub(crate) fn start() -> Self {
        let (sender, calls) = mpsc::unbounded();
        let shared = Arc::new(Shared {
            boot: AtomicU64::new(1),
            paused: watch::Sender::new(false),
            aborted: Mutex::default(),
            orders: Mutex::default(),
            calls: sender,
        });
        let mut api = ApiDescription::new();
        api.register(completions).unwrap();
        api.register(notices).unwrap();
        api.register(abort).unwrap();
        api.register(load).unwrap();
        api.register(orders).unwrap();
        let config = ConfigDropshot {
            bind_address: "127.0.0.1:0".parse().unwrap(),
            default_request_body_max_bytes: 1 << 20,
            ..ConfigDropshot::default()
        };
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let server = ServerBuilder::new(api, Arc::clone(&shared), log)
            .config(config)
            .start()
            .unwrap();
        Self {
            shared,
            server,
            calls,
        }
    }

    /// Waits for the next call.
    pub(crate) async fn received(&mut self) -> Received {
        self.calls.next().await.expect("the engine lives")
    }

    /// Returns whether a call has come that the test has not looked at.
    pub(crate) fn has_call(&mut self) -> bool {
        self.calls.try_recv().is_ok()
    }
}

type Answer = Result<Response<Body>, HttpError>;

fn stream(context: &RequestContext<Arc<Shared>>, body: &UntypedBody) -> Answer {
    let (answer, pieces) = mpsc::unbounded::<Piece>();
    let body = serde_json::from_slice(body.as_bytes()).unwrap_or(Value::Null);
    let received = Received { body, answer };
    context.context().calls.unbounded_send(received).unwrap();
    let frames = pieces.map(|piece| piece.map(http_body::Frame::data));
    Ok(Response::new(Body::wrap(StreamBody::new(frames))))
}

fn answer(value: &Value) -> Answer {
    Ok(Response::new(Body::from(value.to_string())))
}

#[endpoint { method = POST, path = "/v1/completions" }]
async fn completions(context: RequestContext<Arc<Shared>>, body: UntypedBody) -> Answer {
    stream(&context, &body)
}

#[endpoint { method = POST, path = "/notices" }]
async fn notices(context: RequestContext<Arc<Shared>>, body: UntypedBody) -> Answer {
    stream(&context, &body)
}

#[endpoint { method = POST, path = "/v1/abort" }]
async fn abort(context: RequestContext<Arc<Shared>>, body: UntypedBody) -> Answer {
    let body: Value = serde_json::from_slice(body.as_bytes()).unwrap();
    let id = body["request_id"].as_str().unwrap().to_owned();
    context.context().aborted.lock().unwrap().push(id);
    answer(&json!({}))
}

#[endpoint { method = GET, path = "/v1/load" }]
async fn load(context: RequestContext<Arc<Shared>>) -> Answer {
    let mut paused = context.context().paused.subscribe();
    paused.wait_for(|paused| !paused).await.unwrap();
    answer(&json!({
        "boot": context.context().boot.load(Ordering::Relaxed),
        "running": 0,
        "waiting": 0,
        "cached_tokens": 0,
        "capacity_tokens": 0,
        "prefill_tokens": 0,
        "step_micros": 20_000,
        "versions": {"ledger": ["v1", "v2"]},
    }))
}

#[endpoint { method = POST, path = "/v1/orders" }]
async fn orders(context: RequestContext<Arc<Shared>>, body: UntypedBody) -> Answer {
    let body = serde_json::from_slice(body.as_bytes()).unwrap();
    context.context().orders.lock().unwrap().push(body);
    answer(&json!({"state": "done"}))
}
