//! The interface for operators, metrics and health checks.

use std::sync::Arc;

use cw_wire::TargetState;
use dropshot::ApiDescription;
use dropshot::ApiDescriptionRegisterError;
use dropshot::Body;
use dropshot::HttpError;
use dropshot::RequestContext;
use dropshot::endpoint;
use http::Response;
use http::StatusCode;

use super::agent_state::AgentState;

type Context = RequestContext<Arc<AgentState>>;

/// Returns the description of the interface.
///
/// # Errors
///
/// Fails when two endpoints clash.
pub(super) fn api() -> Result<ApiDescription<Arc<AgentState>>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(livez)?;
    api.register(readyz)?;
    api.register(metrics)?;
    Ok(api)
}

fn text(status: StatusCode, text: String) -> Result<Response<Body>, HttpError> {
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    Ok(response)
}

/// The process lives.
#[endpoint { method = GET, path = "/livez" }]
async fn livez(_context: Context) -> Result<Response<Body>, HttpError> {
    text(StatusCode::OK, "live\n".to_owned())
}

/// The target takes new work.
#[endpoint { method = GET, path = "/readyz" }]
async fn readyz(context: Context) -> Result<Response<Body>, HttpError> {
    let state = context.context().look(|table, _| table.readiness().state());
    match state {
        TargetState::Up => text(StatusCode::OK, "up\n".to_owned()),
        TargetState::Down => text(StatusCode::SERVICE_UNAVAILABLE, "down\n".to_owned()),
        TargetState::Leaving => text(StatusCode::SERVICE_UNAVAILABLE, "leaving\n".to_owned()),
    }
}

/// The metrics.
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics(context: Context) -> Result<Response<Body>, HttpError> {
    let state = context.context();
    let metrics = state.look(|table, now| state.metrics.text(table, now));
    text(StatusCode::OK, metrics)
}
