//! A fake agent that responds to dispatches with scripted frames.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::BytesMut;
use cw_types::Ran;
use cw_types::TokenCount;
use cw_types::TokenId;
use cw_types::TokenIndex;
use cw_wire::Attach;
use cw_wire::Cancel;
use cw_wire::Cancelled;
use cw_wire::Dispatch;
use cw_wire::Failure;
use cw_wire::FinishReason;
use cw_wire::Frame;
use cw_wire::FrameCodec;
use cw_wire::Load;
use cw_wire::NotRunReason;
use cw_wire::Token;
use cw_wire::Work;
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
use serde::Serialize;
use tokio_util::codec::Encoder;

use super::loopback;

/// How an agent responds to a dispatch. Counts of tokens start at the first index of the dispatch.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Script {
    /// Runs the work to its end.
    Run,
    /// Sends this many tokens, and then the report that the engine crashed.
    CrashAfter(u64),
    /// Sends this many tokens, and then breaks the connection.
    DisconnectAfter(u64),
    /// Sends this many tokens, and then nothing more, not even heartbeats.
    SilentAfter(u64),
    /// Sends this many tokens, and then heartbeats that report a stalled engine.
    StallAfter(u64),
    /// Sends this many tokens, and then heartbeats that report an engine at work.
    HeartbeatAfter(u64),
    /// Never responds, not even with a response head.
    NoResponse,
    /// Sends this many tokens, then repeats the first one and sends one from beyond a gap.
    RepeatAndSkip(u64),
    /// Responds to a call with a body of this many bytes.
    LargeBody(usize),
    /// Refuses the dispatch.
    Refuse(NotRunReason),
}

/// The messages that a fake agent has received, and how it responds.
#[derive(Debug)]
pub(crate) struct AgentState {
    /// The scripts for the next dispatches, shared with other agents; the last one is reused.
    pub(crate) scripts: Scripts,
    /// The received dispatches, in order.
    pub(crate) dispatches: Vec<Dispatch>,
    /// The received attach messages, in order.
    pub(crate) attaches: Vec<Attach>,
    /// The received cancellations, in order.
    pub(crate) cancels: Vec<Cancel>,
    /// The answer to cancellations.
    pub(crate) ran: Ran,
    /// Whether the agent responds as if it had no record of any attempt.
    pub(crate) forgets_attempts: bool,
}

/// Scripts that several agents share.
pub(crate) type Scripts = Arc<Mutex<Vec<Script>>>;

type SharedState = Arc<Mutex<AgentState>>;

/// A fake agent.
pub(crate) struct FakeAgent {
    /// The received messages and the configured responses.
    pub(crate) state: SharedState,
    server: HttpServer<SharedState>,
}

impl FakeAgent {
    /// Starts an agent that responds to dispatches as `scripts` say.
    pub(crate) fn start(scripts: Scripts) -> Self {
        let state = Arc::new(Mutex::new(AgentState {
            scripts,
            dispatches: Vec::new(),
            attaches: Vec::new(),
            cancels: Vec::new(),
            ran: Ran::Unknown,
            forgets_attempts: false,
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

    /// Returns the address of the agent.
    pub(crate) fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Returns the number of received dispatches.
    pub(crate) fn dispatched(&self) -> usize {
        self.state
            .lock()
            .expect("no test panics here")
            .dispatches
            .len()
    }
}

/// Returns the token that every fake engine produces at `index`.
pub(crate) fn token(index: u64) -> Token {
    Token {
        id: TokenId(u32::try_from(index * 7 + 1).expect("tests are short")),
        text: format!(" t{index}"),
    }
}

/// Returns the text of the first `count` output tokens.
pub(crate) fn text(count: u64) -> String {
    (0..count).map(|index| token(index).text).collect()
}

#[endpoint { method = POST, path = "/peer/v1/attempts" }]
async fn attempts(
    context: RequestContext<SharedState>,
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
    if let Script::NoResponse = script {
        std::future::pending::<()>().await;
    }
    Ok(frame_response(scripted_frames(script, &dispatch), script))
}

#[endpoint { method = POST, path = "/peer/v1/attach" }]
async fn attach(
    context: RequestContext<SharedState>,
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
        .filter(|_| !state.forgets_attempts);
    let Some(dispatch) = known else {
        return Ok(frame_response(
            vec![not_run(NotRunReason::Unknown)],
            Script::Run,
        ));
    };
    let mut dispatch = dispatch.clone();
    dispatch.from = attach.from;
    Ok(frame_response(
        scripted_frames(Script::Run, &dispatch),
        Script::Run,
    ))
}

#[endpoint { method = POST, path = "/peer/v1/ack" }]
async fn ack(
    _context: RequestContext<SharedState>,
    _request: RawRequest,
) -> Result<Response<Body>, HttpError> {
    Ok(message_response(&()))
}

#[endpoint { method = POST, path = "/peer/v1/cancel" }]
async fn cancel(
    context: RequestContext<SharedState>,
    request: RawRequest,
) -> Result<Response<Body>, HttpError> {
    let cancel: Cancel = read(request).await;
    let mut state = context.context().lock().expect("no test panics here");
    state.cancels.push(cancel);
    Ok(message_response(&Cancelled { ran: state.ran }))
}

async fn read<T: serde::de::DeserializeOwned>(request: RawRequest) -> T {
    let body = request.into_inner().into_body();
    let bytes = body
        .collect()
        .await
        .expect("the body is complete")
        .to_bytes();
    cw_wire::decode(&bytes).expect("the body is a message")
}

fn message_response<T: Serialize>(message: &T) -> Response<Body> {
    let bytes = cw_wire::encode(message).expect("messages can be encoded");
    Response::new(Body::wrap(Full::new(bytes)))
}

fn not_run(reason: NotRunReason) -> Frame {
    Frame::NotRun {
        reason,
        retry: Duration::from_millis(100),
        load: Load::default(),
    }
}

fn scripted_frames(script: Script, dispatch: &Dispatch) -> Vec<Frame> {
    let accepted = Frame::Accepted {
        cached: TokenCount(0),
        load: Load::default(),
    };
    let Work::Generate(work) = &dispatch.work else {
        return scripted_call_frames(script, accepted);
    };
    let (first, max_tokens) = (dispatch.from.0, work.max_tokens.0);
    let run = |to: u64| {
        let tokens = (first..to.min(max_tokens)).map(token_frame);
        std::iter::once(accepted.clone()).chain(tokens).collect()
    };
    let mut frames: Vec<Frame> = match script {
        Script::Run | Script::LargeBody(_) | Script::NoResponse => run(max_tokens),
        Script::CrashAfter(count)
        | Script::DisconnectAfter(count)
        | Script::SilentAfter(count)
        | Script::StallAfter(count)
        | Script::HeartbeatAfter(count)
        | Script::RepeatAndSkip(count) => run(first + count),
        Script::Refuse(reason) => return vec![not_run(reason)],
    };
    match script {
        Script::Run => frames.push(Frame::Done {
            finish: FinishReason::Length,
            next: TokenIndex(max_tokens),
        }),
        Script::CrashAfter(count) => frames.push(Frame::Failed {
            failure: Failure::TargetLost,
            ran: Ran::Partly,
            next: TokenIndex(first + count),
        }),
        Script::RepeatAndSkip(count) => {
            frames.push(token_frame(first));
            frames.push(token_frame(first + count + 1));
        }
        _ => {}
    }
    frames
}

fn token_frame(index: u64) -> Frame {
    Frame::Tokens {
        first: TokenIndex(index),
        tokens: vec![token(index)],
    }
}

fn scripted_call_frames(script: Script, accepted: Frame) -> Vec<Frame> {
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
        finish: FinishReason::Stop,
        next: TokenIndex(13),
    };
    match script {
        Script::Run => vec![accepted, head, body, rest, done],
        Script::Refuse(reason) => vec![not_run(reason)],
        Script::LargeBody(length) => {
            let bytes = vec![b'x'; length].into();
            vec![accepted, head, Frame::Body { offset: 0, bytes }, done]
        }
        _ => vec![accepted, head, body, lost],
    }
}

fn frame_response(frames: Vec<Frame>, script: Script) -> Response<Body> {
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
        Script::StallAfter(_) => heartbeats(1).map(encode).boxed(),
        Script::HeartbeatAfter(_) => heartbeats(0).map(encode).boxed(),
        Script::DisconnectAfter(_) => {
            stream::iter([Err(std::io::Error::other("connection broken by the test"))]).boxed()
        }
        _ => stream::empty().boxed(),
    };
    let body = sent.chain(end);
    Response::new(Body::wrap(StreamBody::new(SyncStream(Mutex::new(
        body.boxed(),
    )))))
}

/// Returns heartbeats, each of which reports the engine as quiet for `growth` more intervals than
/// the one before.
fn heartbeats(growth: u32) -> impl futures::Stream<Item = Frame> + Send {
    let interval = Duration::from_millis(150);
    stream::unfold(0, move |count: u32| async move {
        tokio::time::sleep(interval).await;
        let quiet = interval * count;
        Some((Frame::Heartbeat { quiet }, count + growth))
    })
}

/// A stream that is `Sync`, which response bodies must be.
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
