//! The interface for other processes of the system.

use std::sync::Arc;
use std::time::Duration;

use cw_policy::AttemptAnswer;
use cw_store::BodyBuffer;
use cw_store::BodyError;
use cw_types::TargetKind;
use cw_wire::Ack;
use cw_wire::Attach;
use cw_wire::Cancel;
use cw_wire::Dispatch;
use cw_wire::Frame;
use cw_wire::NotRunReason;
use cw_wire::Order;
use cw_wire::Work;
use cw_wire::path;
use dropshot::Body;
use futures::future::BoxFuture;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::agent_state::AgentState;
use super::frame_stream;
use super::order_runner;
use crate::peer_auth;
use crate::stream_server::Handler;

/// The largest message from a peer, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// The memory that concurrent messages may take, in bytes: some of the longest.
pub(super) const MAX_BODIES_BYTES: usize = 4 * MAX_BODY_BYTES;

/// A response, or the status of a refused request.
type HandlerResult = Result<Response<Body>, StatusCode>;

/// Handles requests from other processes of the system.
pub(super) struct PeerApi {
    /// The state of the agent.
    pub(super) state: Arc<AgentState>,
}

impl Handler for PeerApi {
    fn handle(self: Arc<Self>, request: Request<Body>) -> BoxFuture<'static, Response<Body>> {
        // The request is handled completely even if the peer disconnects before the response.
        let work = tokio::spawn(async move { handle_request(&self.state, request).await });
        Box::pin(async move {
            let answer = work.await;
            answer
                .unwrap_or(Err(StatusCode::INTERNAL_SERVER_ERROR))
                .unwrap_or_else(error_response)
        })
    }
}

fn error_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

/// Authenticates a request, decodes its message and dispatches it to its handler.
async fn handle_request(state: &Arc<AgentState>, request: Request<Body>) -> HandlerResult {
    let (parts, body) = request.into_parts();
    if !peer_auth::is_authorized(&parts.headers, &state.settings.secrets.peers) {
        return Err(StatusCode::UNAUTHORIZED);
    }
    if parts.method != Method::POST {
        return Err(StatusCode::METHOD_NOT_ALLOWED);
    }
    let body = BodyBuffer::new(MAX_BODY_BYTES, &state.message_memory).read(body);
    let bytes = body.await.map_err(|error| match error {
        BodyError::Memory { .. } => StatusCode::SERVICE_UNAVAILABLE,
        BodyError::TooLong { .. } | BodyError::Broken { .. } => StatusCode::BAD_REQUEST,
    })?;
    match parts.uri.path() {
        path::ATTEMPTS => attempts(state, decode(&bytes)?),
        path::ATTACH => attach(state, &decode(&bytes)?),
        path::ACK => ack(state, &decode(&bytes)?),
        path::CANCEL => cancel(state, &decode(&bytes)?),
        path::ORDERS => orders(state, &decode(&bytes)?).await,
        _ => Err(StatusCode::NOT_FOUND),
    }
}

fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, StatusCode> {
    cw_wire::decode(bytes).map_err(|_| StatusCode::BAD_REQUEST)
}

fn respond_message<M: Serialize>(state: &AgentState, message: &M) -> HandlerResult {
    let bytes = cw_wire::encode(message).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)?;
    Ok(respond_body(state, Body::from(bytes)))
}

fn respond_body(state: &AgentState, body: Body) -> Response<Body> {
    let killed = state.supervisor.token().is_cancelled();
    match killed {
        true => Response::new(frame_stream::failing_body()),
        false => Response::new(body),
    }
}

fn respond_frames(state: &Arc<AgentState>, answer: AttemptAnswer) -> HandlerResult {
    if let AttemptAnswer::Frame(frame) = &answer {
        state.metrics.count_refusal(frame);
    }
    Ok(respond_body(state, frame_stream::body(state, answer)))
}

/// Returns whether `work` matches the kind of the target.
///
/// A call must never reach an engine, which serves its control interface at the same address.
fn matches_kind(state: &AgentState, work: &Work) -> bool {
    let engine = state.settings.target.kind == TargetKind::Engine;
    matches!(work, Work::Generate(_)) == engine
}

/// Returns the refusal of work of another kind.
///
/// It needs no tombstone, because the kind of a target never changes.
fn refuse_kind(state: &AgentState) -> AttemptAnswer {
    let frame = state.read_table(|table, now| Frame::NotRun {
        reason: NotRunReason::WrongVersion,
        retry: Duration::ZERO,
        load: table.load(now),
    });
    AttemptAnswer::Frame(Box::new(frame))
}

/// Starts an attempt, or attaches to a running one.
fn attempts(state: &Arc<AgentState>, dispatch: Dispatch) -> HandlerResult {
    let answer = match matches_kind(state, &dispatch.work) {
        true => state.update_table(|table, now| table.on_dispatch(now, dispatch)),
        false => refuse_kind(state),
    };
    respond_frames(state, answer)
}

/// Attaches to an existing attempt.
fn attach(state: &Arc<AgentState>, attach: &Attach) -> HandlerResult {
    let answer = state.update_table(|table, now| (table.on_attach(now, attach), Vec::new()));
    respond_frames(state, answer)
}

/// Discards output that the entry has received.
fn ack(state: &Arc<AgentState>, ack: &Ack) -> HandlerResult {
    state.apply_event(|table, now| table.on_ack(now, ack));
    respond_message(state, &())
}

/// Cancels an attempt.
fn cancel(state: &Arc<AgentState>, cancel: &Cancel) -> HandlerResult {
    let answer = state.update_table(|table, now| table.on_cancel(now, cancel));
    respond_message(state, &answer)
}

/// Forwards an order to the engine.
async fn orders(state: &Arc<AgentState>, order: &Order) -> HandlerResult {
    let answer = order_runner::run(state, order).await;
    respond_message(state, &answer)
}
