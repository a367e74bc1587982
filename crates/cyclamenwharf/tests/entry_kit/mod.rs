//! An entry on a view made by hand, before small agents that speak frames.

#![expect(dead_code, reason = "each test file uses a part of the kit")]

pub(crate) mod memory_store;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::BytesMut;
use cw_policy::Liveness;
use cw_policy::TargetView;
use cw_policy::View;
use cw_store::KeyValue;
use cw_types::Config;
use cw_types::Incarnation;
use cw_types::KeyHash;
use cw_types::Quota;
use cw_types::Ran;
use cw_types::Recovery;
use cw_types::Route;
use cw_types::RouteTarget;
use cw_types::Target;
use cw_types::TargetKind;
use cw_types::TokenCount;
use cw_types::TokenId;
use cw_types::TokenIndex;
use cw_types::Workspace;
use cw_wire::Attach;
use cw_wire::Cancel;
use cw_wire::Cancelled;
use cw_wire::Dispatch;
use cw_wire::Failure;
use cw_wire::Finish;
use cw_wire::Frame;
use cw_wire::FrameCodec;
use cw_wire::Load;
use cw_wire::Reason;
use cw_wire::Token;
use cw_wire::Work;
use cyclamenwharf::Clock;
use cyclamenwharf::Entry;
use cyclamenwharf::EntryHandle;
use cyclamenwharf::EntryListen;
use cyclamenwharf::EntryParts;
use cyclamenwharf::EntrySettings;
use cyclamenwharf::Health;
use cyclamenwharf::LimitSettings;
use cyclamenwharf::LogSettings;
use cyclamenwharf::PlatformSettings;
use cyclamenwharf::RecoverySettings;
use cyclamenwharf::SecretSettings;
use cyclamenwharf::SharedView;
use dropshot::ApiDescription;
use dropshot::Body;
use dropshot::ConfigDropshot;
use dropshot::HttpError;
use dropshot::HttpServer;
use dropshot::RawRequest;
use dropshot::RequestContext;
use dropshot::ServerBuilder;
use dropshot::endpoint;
use futures::StreamExt;
use futures::stream;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use memory_store::MemoryStore;
use prometheus::Registry;
use serde::Serialize;
use tokio_util::codec::Encoder;

/// The API key of the workspace `a`.
pub(crate) const KEY: &str = "key-of-workspace-a";

/// What an agent does with a dispatch, from the index at which it begins.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Script {
    /// Runs it to its end.
    Run,
    /// Produces some tokens, and then its engine dies.
    DieAfter(u64),
    /// Produces some tokens, and then the connection breaks.
    BreakAfter(u64),
    /// Produces some tokens, and then nothing comes any more, not even heartbeats.
    SilentAfter(u64),
    /// Produces some tokens, then repeats them and sends one from beyond a gap.
    RepeatAndSkip(u64),
    /// Answers a call with a body of this many bytes.
    Large(usize),
    /// Refuses it.
    Refuse(Reason),
}

/// What a small agent has been asked, and what it answers.
#[derive(Debug)]
pub(crate) struct AgentState {
    /// What it and others do with each dispatch in turn; the last one stays.
    pub(crate) scripts: Scripts,
    /// The dispatches, in order.
    pub(crate) dispatches: Vec<Dispatch>,
    /// The attachments, in order.
    pub(crate) attaches: Vec<Attach>,
    /// The cancellations, in order.
    pub(crate) cancels: Vec<Cancel>,
    /// Its answer to a cancellation.
    pub(crate) ran: Ran,
    /// Whether it has forgotten all attempts.
    pub(crate) forgetful: bool,
}

/// Scripts for several agents together.
pub(crate) type Scripts = Arc<Mutex<Vec<Script>>>;

type Shared = Arc<Mutex<AgentState>>;

/// A small agent.
pub(crate) struct FakeAgent {
    /// What it has been asked.
    pub(crate) state: Shared,
    server: HttpServer<Shared>,
}

impl FakeAgent {
    /// Starts an agent that follows `scripts`.
    pub(crate) fn start(scripts: Scripts) -> Self {
        let state = Arc::new(Mutex::new(AgentState {
            scripts,
            dispatches: Vec::new(),
            attaches: Vec::new(),
            cancels: Vec::new(),
            ran: Ran::Unknown,
            forgetful: false,
        }));
        let mut api = ApiDescription::new();
        api.register(attempts).expect("the path is free");
        api.register(attach).expect("the path is free");
        api.register(ack).expect("the path is free");
        api.register(cancel).expect("the path is free");
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let server = ServerBuilder::new(api, Arc::clone(&state), log)
            .config(ConfigDropshot {
                bind_address: loopback(),
                default_request_body_max_bytes: 16 << 20,
                ..ConfigDropshot::default()
            })
            .start()
            .expect("loopback can be listened on");
        Self { state, server }
    }

    /// Returns where it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Returns how many attempts were dispatched to it.
    pub(crate) fn dispatched(&self) -> usize {
        self.state
            .lock()
            .expect("no test panics here")
            .dispatches
            .len()
    }
}

/// Returns the token that every engine makes at `index`.
pub(crate) fn token(index: u64) -> Token {
    Token {
        id: TokenId(u32::try_from(index * 7 + 1).expect("tests are short")),
        text: format!(" t{index}"),
    }
}

/// Returns the text of the output up to `count` tokens.
pub(crate) fn text(count: u64) -> String {
    (0..count).map(|index| token(index).text).collect()
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

// ---- Answers of the small agent ----

#[endpoint { method = POST, path = "/peer/v1/attempts" }]
async fn attempts(
    context: RequestContext<Shared>,
    request: RawRequest,
) -> Result<Response<Body>, HttpError> {
    let dispatch: Dispatch = read(request).await;
    let script = {
        let mut state = context.context().lock().expect("no test panics here");
        state.dispatches.push(dispatch.clone());
        let mut scripts = state.scripts.lock().expect("no test panics here");
        match scripts.len() {
            1 => scripts[0],
            _ => scripts.remove(0),
        }
    };
    Ok(frames(frames_of(script, &dispatch), script))
}

#[endpoint { method = POST, path = "/peer/v1/attach" }]
async fn attach(
    context: RequestContext<Shared>,
    request: RawRequest,
) -> Result<Response<Body>, HttpError> {
    let attach: Attach = read(request).await;
    let mut state = context.context().lock().expect("no test panics here");
    state.attaches.push(attach.clone());
    let known = state
        .dispatches
        .iter()
        .rev()
        .find(|d| d.id.generation == attach.generation && d.workspace == attach.workspace)
        .filter(|_| !state.forgetful);
    let Some(dispatch) = known else {
        return Ok(frames(vec![refusal(Reason::Unknown)], Script::Run));
    };
    let mut dispatch = dispatch.clone();
    dispatch.from = attach.from;
    Ok(frames(frames_of(Script::Run, &dispatch), Script::Run))
}

#[endpoint { method = POST, path = "/peer/v1/ack" }]
async fn ack(
    _context: RequestContext<Shared>,
    _request: RawRequest,
) -> Result<Response<Body>, HttpError> {
    Ok(message(&()))
}

#[endpoint { method = POST, path = "/peer/v1/cancel" }]
async fn cancel(
    context: RequestContext<Shared>,
    request: RawRequest,
) -> Result<Response<Body>, HttpError> {
    let cancel: Cancel = read(request).await;
    let mut state = context.context().lock().expect("no test panics here");
    state.cancels.push(cancel);
    Ok(message(&Cancelled { ran: state.ran }))
}

async fn read<T: serde::de::DeserializeOwned>(request: RawRequest) -> T {
    let body = request.into_inner().into_body();
    let bytes = body.collect().await.expect("the body is whole").to_bytes();
    cw_wire::decode(&bytes).expect("the body is a message")
}

fn message<T: Serialize>(message: &T) -> Response<Body> {
    let bytes = cw_wire::encode(message).expect("messages can be encoded");
    Response::new(Body::wrap(Full::new(bytes)))
}

fn refusal(reason: Reason) -> Frame {
    Frame::NotRun {
        reason,
        retry: Duration::from_millis(100),
        load: Load::default(),
    }
}

fn frames_of(script: Script, dispatch: &Dispatch) -> Vec<Frame> {
    let accepted = Frame::Accepted {
        cached: TokenCount(0),
        load: Load::default(),
    };
    let Work::Generate(work) = &dispatch.work else {
        return call_frames(script, accepted);
    };
    let (first, most) = (dispatch.from.0, work.max_tokens.0);
    let run = |to: u64| {
        let tokens = (first..to.min(most)).map(tokens_at);
        std::iter::once(accepted.clone()).chain(tokens).collect()
    };
    let mut frames: Vec<Frame> = match script {
        Script::Run | Script::Large(_) => run(most),
        Script::DieAfter(count)
        | Script::BreakAfter(count)
        | Script::SilentAfter(count)
        | Script::RepeatAndSkip(count) => run(first + count),
        Script::Refuse(reason) => return vec![refusal(reason)],
    };
    match script {
        Script::Run => frames.push(Frame::Done {
            finish: Finish::Length,
            next: TokenIndex(most),
        }),
        Script::DieAfter(count) => frames.push(Frame::Failed {
            failure: Failure::TargetLost,
            ran: Ran::Partly,
            next: TokenIndex(first + count),
        }),
        Script::RepeatAndSkip(count) => {
            frames.push(tokens_at(first));
            frames.push(tokens_at(first + count + 1));
        }
        _ => {}
    }
    frames
}

fn tokens_at(index: u64) -> Frame {
    Frame::Tokens {
        first: TokenIndex(index),
        tokens: vec![token(index)],
    }
}

fn call_frames(script: Script, accepted: Frame) -> Vec<Frame> {
    let lost = Frame::Failed {
        failure: Failure::TargetLost,
        ran: Ran::Unknown,
        next: TokenIndex(0),
    };
    let head = Frame::Head {
        status: 201,
        headers: BTreeMap::from([("x-answer".to_owned(), "yes".to_owned())]),
    };
    let body = Frame::Body {
        offset: 0,
        bytes: bytes::Bytes::from_static(b"half"),
    };
    let rest = Frame::Body {
        offset: 4,
        bytes: bytes::Bytes::from_static(b" and half"),
    };
    let done = Frame::Done {
        finish: Finish::Stop,
        next: TokenIndex(13),
    };
    match script {
        Script::Run => vec![accepted, head, body, rest, done],
        Script::Refuse(reason) => vec![refusal(reason)],
        Script::Large(length) => {
            let bytes = vec![b'x'; length].into();
            vec![accepted, head, Frame::Body { offset: 0, bytes }, done]
        }
        _ => vec![accepted, head, body, lost],
    }
}

fn frames(frames: Vec<Frame>, script: Script) -> Response<Body> {
    let encode = |frame: Frame| {
        let mut bytes = BytesMut::new();
        FrameCodec::default()
            .encode(&frame, &mut bytes)
            .expect("frames can be encoded");
        Ok::<_, std::io::Error>(http_body::Frame::data(bytes.freeze()))
    };
    let sent = stream::iter(frames.into_iter().map(encode));
    let end = match script {
        Script::SilentAfter(_) => stream::pending().boxed(),
        Script::BreakAfter(_) => {
            stream::iter([Err(std::io::Error::other("the connection breaks"))]).boxed()
        }
        _ => stream::empty().boxed(),
    };
    let body = sent.chain(end);
    Response::new(Body::wrap(StreamBody::new(SyncStream(Mutex::new(
        body.boxed(),
    )))))
}

/// A stream that can be shared, as response bodies must be.
struct SyncStream<T>(Mutex<stream::BoxStream<'static, T>>);

impl<T> futures::Stream for SyncStream<T> {
    type Item = T;

    fn poll_next(
        self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<T>> {
        self.0
            .lock()
            .expect("no test panics here")
            .poll_next_unpin(cx)
    }
}

// ---- The entry ----

/// What a test's deployment is.
pub(crate) struct Setup {
    /// The agents of the engines, in the order of their names `e0`, `e1`, ….
    pub(crate) engines: Vec<FakeAgent>,
    /// The agents of the plain service `loans`, named `s0`, `s1`, ….
    pub(crate) services: Vec<FakeAgent>,
    /// How lost attempts are recovered.
    pub(crate) recovery: Recovery,
    /// Whether requests may run more than once.
    pub(crate) idempotent: bool,
    /// How long a request may wait before its first token.
    pub(crate) patience: Duration,
    /// The quota of each workspace.
    pub(crate) quota: Quota,
    /// The key-value service.
    pub(crate) store: Arc<MemoryStore>,
}

impl Setup {
    /// Returns a deployment of `count` engines: their dispatches, in order, follow the scripts.
    pub(crate) fn engines(count: usize, scripts: &[Script]) -> Self {
        let scripts = Arc::new(Mutex::new(scripts.to_vec()));
        let engine = |_| FakeAgent::start(Arc::clone(&scripts));
        Self {
            engines: (0..count).map(engine).collect(),
            services: Vec::new(),
            recovery: Recovery::Latency,
            idempotent: true,
            patience: Duration::from_secs(10),
            quota: Quota::default(),
            store: Arc::default(),
        }
    }

    /// Returns a deployment of `count` plain services: their dispatches follow the scripts.
    pub(crate) fn services(count: usize, scripts: &[Script]) -> Self {
        let mut setup = Self::engines(count, scripts);
        setup.services = std::mem::take(&mut setup.engines);
        setup
    }

    /// Returns how many attempts were dispatched to all agents together.
    pub(crate) fn dispatched(&self) -> usize {
        let agents = self.engines.iter().chain(&self.services);
        agents.map(FakeAgent::dispatched).sum()
    }

    /// Starts an entry before these agents.
    pub(crate) fn entry(&self) -> EntryHandle {
        let view = SharedView::default();
        view.store(Arc::new(self.view()));
        let health = Arc::new(Health::default());
        health.set_configured();
        Entry::serve(EntryParts {
            settings: settings(),
            clock: Clock::default(),
            view,
            store: Arc::clone(&self.store) as Arc<dyn KeyValue>,
            registry: Registry::new(),
            health,
            traces: Default::default(),
            demands: Default::default(),
        })
        .expect("loopback can be listened on")
    }

    fn view(&self) -> View {
        let name = |text: &str| text.parse().expect("a name");
        let mut config = Config::default();
        let route = |to| Route {
            to,
            workspaces: BTreeSet::new(),
            priority: name_of("normal"),
            recovery: self.recovery,
            idempotent: self.idempotent,
            patience: self.patience,
        };
        let model = RouteTarget::Model {
            model: name_of("m"),
            version: name_of("v1"),
            adapter: None,
        };
        let service = RouteTarget::Service {
            service: "loans".to_owned(),
        };
        config.routes.insert(name("chat"), route(model));
        config.routes.insert(name_of("loans"), route(service));
        let workspace = |key| Workspace {
            keys: vec![KeyHash::of(key)],
            quota: self.quota.clone(),
            weight: 1,
        };
        config.workspaces.insert(name_of("a"), workspace(KEY));
        config.workspaces.insert(name_of("b"), workspace("other"));
        let mut targets = BTreeMap::new();
        for (at, agent) in self.engines.iter().enumerate() {
            let target = target(agent, TargetKind::Engine);
            targets.insert(name_of(&format!("e{at}")), target);
        }
        for (at, agent) in self.services.iter().enumerate() {
            let kind = TargetKind::Service {
                service: "loans".to_owned(),
            };
            targets.insert(name_of(&format!("s{at}")), target(agent, kind));
        }
        View {
            config: Arc::new(config),
            targets,
            entries: Vec::new(),
        }
    }
}

fn name_of<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("a name")
}

fn target(agent: &FakeAgent, kind: TargetKind) -> TargetView {
    TargetView {
        target: Target {
            agent: agent.address(),
            host: name_of("h"),
            zone: name_of("z"),
            region: name_of("r"),
            kind,
            fenced: true,
            versions: BTreeMap::new(),
        },
        liveness: Liveness::Alive,
        incarnation: Incarnation(1),
        load: Load::default(),
        reported: Default::default(),
        returned: Default::default(),
        versions: BTreeMap::from([(name_of("m"), BTreeSet::from([name_of("v1")]))]),
        crashes: Vec::new(),
    }
}

fn settings() -> EntrySettings {
    EntrySettings {
        host: name_of("entry"),
        zone: name_of("z"),
        region: name_of("r"),
        listen: EntryListen {
            callers: loopback(),
            peers: loopback(),
            admin: loopback(),
        },
        platform: PlatformSettings {
            key_value: Vec::new(),
            host_list: loopback(),
            weight_store: loopback(),
        },
        secrets: SecretSettings {
            peers: vec!["secret".to_owned()],
        },
        limits: LimitSettings {
            body: cw_types::ByteSize::kib(64),
            ..LimitSettings::default()
        },
        recovery: RecoverySettings::default(),
        routing: Default::default(),
        trace: Default::default(),
        log: LogSettings::default(),
    }
}

// ---- The caller ----

/// An answer, read to its end.
#[derive(Debug)]
pub(crate) struct Reply {
    /// The HTTP status.
    pub(crate) status: u16,
    /// The headers.
    pub(crate) headers: http::HeaderMap,
    /// The body, as far as it came.
    pub(crate) body: String,
}

impl Reply {
    /// Returns the body as JSON.
    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).expect("the body is JSON")
    }

    /// Returns the code of the error that it says.
    pub(crate) fn code(&self) -> String {
        self.json()["error"]["code"]
            .as_str()
            .unwrap_or("")
            .to_owned()
    }

    /// Returns the text of all events.
    pub(crate) fn streamed_text(&self) -> String {
        self.data()
            .iter()
            .filter_map(|event| event["choices"][0]["text"].as_str().map(str::to_owned))
            .collect()
    }

    /// Returns the id of the last event that has one.
    pub(crate) fn last_id(&self) -> Option<String> {
        let mut lines = self.body.lines().rev();
        lines
            .find_map(|line| line.strip_prefix("id: "))
            .map(str::to_owned)
    }

    fn data(&self) -> Vec<serde_json::Value> {
        let lines = self.body.lines();
        let data = lines.filter_map(|line| line.strip_prefix("data: "));
        data.filter_map(|text| serde_json::from_str(text).ok())
            .collect()
    }
}

/// Sends a request and reads its answer to the end.
pub(crate) async fn send(
    entry: &EntryHandle,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Reply {
    use hyper_util::client::legacy::Client;
    use hyper_util::rt::TokioExecutor;
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<bytes::Bytes>>();
    let mut request = http::Request::builder()
        .method(method)
        .uri(format!("http://{}{path}", entry.callers));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let body = Full::new(bytes::Bytes::from(body.to_owned()));
    let request = request.body(body).expect("the request is valid");
    let response = client.request(request).await.expect("the entry answers");
    let (parts, body) = response.into_parts();
    let body = body
        .collect()
        .await
        .expect("the answer is whole")
        .to_bytes();
    Reply {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body: String::from_utf8(body.to_vec()).expect("answers are text"),
    }
}

/// Sends a request for a completion as the workspace `a`.
pub(crate) async fn complete(entry: &EntryHandle, headers: &[(&str, &str)], body: &str) -> Reply {
    let bearer = format!("Bearer {KEY}");
    let mut all = vec![("authorization", bearer.as_str())];
    all.extend_from_slice(headers);
    send(entry, "POST", "/v1/completions", &all, body).await
}
