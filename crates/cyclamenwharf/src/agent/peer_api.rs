//! The interface for other processes of the system.

use std::sync::Arc;
use std::time::Duration;

use cw_policy::AttemptAnswer;
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
use http_body_util::BodyExt;
use http_body_util::Limited;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::agent_state::AgentState;
use super::frame_stream;
use super::order_runner;
use crate::peer_auth;
use crate::stream_server::Handler;

/// The largest message from a peer, in bytes.
const MESSAGE_MAX: usize = 16 << 20;

/// An answer, or the status of a refusal.
type Answer = Result<Response<Body>, StatusCode>;

/// Answers other processes of the system.
pub(super) struct PeerApi {
    /// The agent.
    pub(super) state: Arc<AgentState>,
}

impl Handler for PeerApi {
    fn handle(self: Arc<Self>, request: Request<Body>) -> BoxFuture<'static, Response<Body>> {
        // An event is taken in whole even when its sender does not wait for the answer.
        let work = tokio::spawn(async move { answer(&self.state, request).await });
        Box::pin(async move {
            let answer = work.await;
            answer
                .unwrap_or(Err(StatusCode::INTERNAL_SERVER_ERROR))
                .unwrap_or_else(refusal)
        })
    }
}

fn refusal(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

/// Checks the secret, reads the message and passes it on.
async fn answer(state: &Arc<AgentState>, request: Request<Body>) -> Answer {
    let (parts, body) = request.into_parts();
    if !peer_auth::is_authorized(&parts.headers, &state.settings.secrets.peers) {
        return Err(StatusCode::UNAUTHORIZED);
    }
    if parts.method != Method::POST {
        return Err(StatusCode::METHOD_NOT_ALLOWED);
    }
    let body = Limited::new(body, MESSAGE_MAX).collect().await;
    let bytes = body.map_err(|_| StatusCode::BAD_REQUEST)?.to_bytes();
    match parts.uri.path() {
        path::ATTEMPTS => attempts(state, receive(&bytes)?),
        path::ATTACH => attach(state, &receive(&bytes)?),
        path::ACK => ack(state, &receive(&bytes)?),
        path::CANCEL => cancel(state, &receive(&bytes)?),
        path::ORDERS => orders(state, &receive(&bytes)?).await,
        _ => Err(StatusCode::NOT_FOUND),
    }
}

fn receive<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, StatusCode> {
    cw_wire::decode(bytes).map_err(|_| StatusCode::BAD_REQUEST)
}

fn send<M: Serialize>(state: &AgentState, message: &M) -> Answer {
    let bytes = cw_wire::encode(message).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)?;
    Ok(respond(state, Body::from(bytes)))
}

fn respond(state: &AgentState, body: Body) -> Response<Body> {
    let killed = state.supervisor.token().is_cancelled();
    match killed {
        true => Response::new(frame_stream::broken_body()),
        false => Response::new(body),
    }
}

fn respond_frames(state: &Arc<AgentState>, answer: AttemptAnswer) -> Answer {
    if let AttemptAnswer::Frame(frame) = &answer {
        state.metrics.count(frame);
    }
    Ok(respond(state, frame_stream::body(state, answer)))
}

/// Returns whether work is of the target's kind.
///
/// A call must never reach an engine, whose control interface is at the same address.
fn is_served(state: &AgentState, work: &Work) -> bool {
    let engine = state.settings.target.kind == TargetKind::Engine;
    matches!(work, Work::Generate(_)) == engine
}

/// Refuses for good without a tombstone: a target's kind never changes.
fn wrong_kind(state: &AgentState) -> AttemptAnswer {
    let frame = state.look(|table, now| Frame::NotRun {
        reason: NotRunReason::WrongVersion,
        retry: Duration::ZERO,
        load: table.load(now),
    });
    AttemptAnswer::Frame(Box::new(frame))
}

/// Runs an attempt, or attaches to it.
fn attempts(state: &Arc<AgentState>, dispatch: Dispatch) -> Answer {
    let answer = match is_served(state, &dispatch.work) {
        true => state.decide(|table, now| table.on_dispatch(now, dispatch)),
        false => wrong_kind(state),
    };
    respond_frames(state, answer)
}

/// Attaches to an attempt of a generation.
fn attach(state: &Arc<AgentState>, attach: &Attach) -> Answer {
    let answer = state.decide(|table, now| (table.on_attach(now, attach), Vec::new()));
    respond_frames(state, answer)
}

/// Forgets output that is safe with the entry.
fn ack(state: &Arc<AgentState>, ack: &Ack) -> Answer {
    state.tell(|table, now| table.on_ack(now, ack));
    send(state, &())
}

/// Ends an attempt.
fn cancel(state: &Arc<AgentState>, cancel: &Cancel) -> Answer {
    let answer = state.decide(|table, now| table.on_cancel(now, cancel));
    send(state, &answer)
}

/// Passes an order on to the engine.
async fn orders(state: &Arc<AgentState>, order: &Order) -> Answer {
    let answer = order_runner::run(state, order).await;
    send(state, &answer)
}
