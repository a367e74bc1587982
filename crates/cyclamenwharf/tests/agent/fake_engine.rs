//! A fake engine whose responses are controlled by the test.

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

type BodyChunk = Result<Bytes, std::io::Error>;

/// A call that the engine has received and that the test responds to.
pub(crate) struct ReceivedCall {
    /// The JSON body of the call.
    pub(crate) body: Value,
    answer: mpsc::UnboundedSender<BodyChunk>,
}

impl ReceivedCall {
    /// Sends the event that accepts the call.
    pub(crate) fn accept(&self, cached: u64) {
        self.send_event(&json!({
            "choices": [],
            "usage": {"prompt_tokens": 9, "cached_tokens": cached},
        }));
    }

    /// Sends one token, whose text is its id.
    pub(crate) fn token(&self, id: u32) {
        let text = id.to_string();
        self.send_event(&json!({
            "choices": [{"index": 0, "text": text, "token_ids": [id], "finish_reason": null}],
        }));
    }

    /// Sends the finish reason and the end of the stream.
    pub(crate) fn finish(&self) {
        self.send_event(&json!({
            "choices": [{"index": 0, "text": "", "token_ids": [], "finish_reason": "stop"}],
        }));
        self.send_chunk(Ok(Bytes::from_static(b"data: [DONE]\n\n")));
    }

    /// Sends raw bytes.
    pub(crate) fn bytes(&self, bytes: Bytes) {
        self.send_chunk(Ok(bytes));
    }

    /// Breaks the connection during the response.
    pub(crate) fn break_connection(&self) {
        self.send_chunk(Err(std::io::Error::other("the engine crashed")));
    }

    /// Returns whether the agent has closed the connection.
    pub(crate) fn is_closed(&self) -> bool {
        self.answer.is_closed()
    }

    fn send_event(&self, event: &Value) {
        self.send_chunk(Ok(Bytes::from(format!("data: {event}\n\n"))));
    }

    fn send_chunk(&self, chunk: BodyChunk) {
        // The agent may have closed the connection, which some tests check.
        let _ = self.answer.unbounded_send(chunk);
    }
}

/// The state shared by the handlers.
pub(crate) struct Shared {
    /// The boot number of the engine.
    pub(crate) boot: AtomicU64,
    /// Whether the engine is paused and does not answer load requests.
    pub(crate) paused: watch::Sender<bool>,
    /// The ids of aborted attempts.
    pub(crate) aborted: Mutex<Vec<String>>,
    /// The received orders.
    pub(crate) orders: Mutex<Vec<Value>>,
    calls: mpsc::UnboundedSender<ReceivedCall>,
}

/// A fake engine or plain service whose responses are controlled by the test.
pub(crate) struct FakeEngine {
    /// The state shared by the handlers.
    pub(crate) shared: Arc<Shared>,
    /// The HTTP server of the engine.
    pub(crate) server: HttpServer<Arc<Shared>>,
    calls: mpsc::UnboundedReceiver<ReceivedCall>,
}

impl FakeEngine {
    /// Starts a fake engine.
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

    /// Waits for the next received call.
    pub(crate) async fn next_call(&mut self) -> ReceivedCall {
        self.calls.next().await.expect("the engine is running")
    }

    /// Returns whether there is a received call that the test has not taken.
    pub(crate) fn has_call(&mut self) -> bool {
        self.calls.try_recv().is_ok()
    }
}

type HandlerResult = Result<Response<Body>, HttpError>;

fn respond_streaming(context: &RequestContext<Arc<Shared>>, body: &UntypedBody) -> HandlerResult {
    let (answer, chunks) = mpsc::unbounded::<BodyChunk>();
    let body = serde_json::from_slice(body.as_bytes()).unwrap_or(Value::Null);
    let received = ReceivedCall { body, answer };
    context.context().calls.unbounded_send(received).unwrap();
    let frames = chunks.map(|chunk| chunk.map(http_body::Frame::data));
    Ok(Response::new(Body::wrap(StreamBody::new(frames))))
}

fn respond(value: &Value) -> HandlerResult {
    Ok(Response::new(Body::from(value.to_string())))
}

#[endpoint { method = POST, path = "/v1/completions" }]
async fn completions(context: RequestContext<Arc<Shared>>, body: UntypedBody) -> HandlerResult {
    respond_streaming(&context, &body)
}

#[endpoint { method = POST, path = "/notices" }]
async fn notices(context: RequestContext<Arc<Shared>>, body: UntypedBody) -> HandlerResult {
    respond_streaming(&context, &body)
}

#[endpoint { method = POST, path = "/v1/abort" }]
async fn abort(context: RequestContext<Arc<Shared>>, body: UntypedBody) -> HandlerResult {
    let body: Value = serde_json::from_slice(body.as_bytes()).unwrap();
    let id = body["request_id"].as_str().unwrap().to_owned();
    context.context().aborted.lock().unwrap().push(id);
    respond(&json!({}))
}

#[endpoint { method = GET, path = "/v1/load" }]
async fn load(context: RequestContext<Arc<Shared>>) -> HandlerResult {
    let mut paused = context.context().paused.subscribe();
    paused.wait_for(|paused| !paused).await.unwrap();
    respond(&json!({
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
async fn orders(context: RequestContext<Arc<Shared>>, body: UntypedBody) -> HandlerResult {
    let body = serde_json::from_slice(body.as_bytes()).unwrap();
    context.context().orders.lock().unwrap().push(body);
    respond(&json!({"state": "done"}))
}
