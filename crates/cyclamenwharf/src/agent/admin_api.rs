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

/// Returns the API description.
///
/// # Errors
///
/// Fails if two endpoints conflict.
pub(super) fn api() -> Result<ApiDescription<Arc<AgentState>>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(livez)?;
    api.register(readyz)?;
    api.register(metrics)?;
    Ok(api)
}

fn text_response(status: StatusCode, text: String) -> Result<Response<Body>, HttpError> {
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    Ok(response)
}

/// Liveness: succeeds while the process runs.
#[endpoint { method = GET, path = "/livez" }]
async fn livez(_context: Context) -> Result<Response<Body>, HttpError> {
    text_response(StatusCode::OK, "live\n".to_owned())
}

/// Readiness: succeeds if the target accepts new work.
#[endpoint { method = GET, path = "/readyz" }]
async fn readyz(context: Context) -> Result<Response<Body>, HttpError> {
    let state = context
        .context()
        .read_table(|table, _| table.readiness().state());
    match state {
        TargetState::Up => text_response(StatusCode::OK, "up\n".to_owned()),
        TargetState::Down => text_response(StatusCode::SERVICE_UNAVAILABLE, "down\n".to_owned()),
        TargetState::Leaving => {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "leaving\n".to_owned())
        }
    }
}

/// The metrics in the Prometheus text format.
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics(context: Context) -> Result<Response<Body>, HttpError> {
    let state = context.context();
    let metrics = state.read_table(|table, now| state.metrics.encode(table, now));
    text_response(StatusCode::OK, metrics)
}
