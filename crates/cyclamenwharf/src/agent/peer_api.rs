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
use cw_wire::Order;
use cw_wire::Reason;
use cw_wire::Work;
use dropshot::ApiDescription;
use dropshot::ApiDescriptionRegisterError;
use dropshot::Body;
use dropshot::ClientErrorStatusCode;
use dropshot::HttpError;
use dropshot::RequestContext;
use dropshot::UntypedBody;
use dropshot::endpoint;
use http::Response;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::agent_state::AgentState;
use super::frame_stream;
use super::order_runner;
use crate::peer_auth;

type Context = RequestContext<Arc<AgentState>>;
type Answer = Result<Response<Body>, HttpError>;

/// Returns the description of the interface.
///
/// # Errors
///
/// Fails when two endpoints clash.
pub(super) fn api() -> Result<ApiDescription<Arc<AgentState>>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(attempts)?;
    api.register(attach)?;
    api.register(ack)?;
    api.register(cancel)?;
    api.register(orders)?;
    Ok(api)
}

/// Checks the secret and reads the message.
fn receive<M: DeserializeOwned>(context: &Context, body: &UntypedBody) -> Result<M, HttpError> {
    let secrets = &context.context().settings.secrets.peers;
    if !peer_auth::check(context.request.headers(), secrets) {
        let status = ClientErrorStatusCode::UNAUTHORIZED;
        let message = "a valid secret is needed".to_owned();
        return Err(HttpError::for_client_error(None, status, message));
    }
    cw_wire::decode(body.as_bytes())
        .map_err(|error| HttpError::for_bad_request(None, error.to_string()))
}

fn send<M: Serialize>(state: &AgentState, message: &M) -> Answer {
    let bytes = cw_wire::encode(message)
        .map_err(|error| HttpError::for_internal_error(error.to_string()))?;
    respond(state, Body::from(bytes))
}

fn respond(state: &AgentState, body: Body) -> Answer {
    let killed = state.supervisor.token().is_cancelled();
    match killed {
        true => Ok(Response::new(frame_stream::broken_body())),
        false => Ok(Response::new(body)),
    }
}

fn respond_frames(state: &Arc<AgentState>, answer: AttemptAnswer) -> Answer {
    if let AttemptAnswer::Frame(frame) = &answer {
        state.metrics.count(frame);
    }
    respond(state, frame_stream::body(state, answer))
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
        reason: Reason::WrongVersion,
        retry: Duration::ZERO,
        load: table.load(now),
    });
    AttemptAnswer::Frame(Box::new(frame))
}

/// Runs an attempt, or attaches to it.
#[endpoint { method = POST, path = "/peer/v1/attempts" }]
async fn attempts(context: Context, body: UntypedBody) -> Answer {
    let dispatch: Dispatch = receive(&context, &body)?;
    let state = context.context();
    let answer = match is_served(state, &dispatch.work) {
        true => state.decide(|table, now| table.on_dispatch(now, dispatch)),
        false => wrong_kind(state),
    };
    respond_frames(state, answer)
}

/// Attaches to the newest attempt of a generation.
#[endpoint { method = POST, path = "/peer/v1/attach" }]
async fn attach(context: Context, body: UntypedBody) -> Answer {
    let attach: Attach = receive(&context, &body)?;
    let state = context.context();
    let answer = state.decide(|table, now| (table.on_attach(now, &attach), Vec::new()));
    respond_frames(state, answer)
}

/// Forgets output that is safe with the entry.
#[endpoint { method = POST, path = "/peer/v1/ack" }]
async fn ack(context: Context, body: UntypedBody) -> Answer {
    let ack: Ack = receive(&context, &body)?;
    let state = context.context();
    state.tell(|table, _| table.on_ack(&ack));
    send(state, &())
}

/// Ends an attempt.
#[endpoint { method = POST, path = "/peer/v1/cancel" }]
async fn cancel(context: Context, body: UntypedBody) -> Answer {
    let cancel: Cancel = receive(&context, &body)?;
    let state = context.context();
    let answer = state.decide(|table, now| table.on_cancel(now, &cancel));
    send(state, &answer)
}

/// Passes an order on to the engine.
#[endpoint { method = POST, path = "/peer/v1/orders" }]
async fn orders(context: Context, body: UntypedBody) -> Answer {
    let order: Order = receive(&context, &body)?;
    let state = context.context();
    let answer = order_runner::run(state, &order).await;
    send(state, &answer)
}
