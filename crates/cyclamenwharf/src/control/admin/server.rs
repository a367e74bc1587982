//! The server of the admin API, metrics and health checks.

use std::net::SocketAddr;
use std::sync::Arc;

use dropshot::ApiDescription;
use dropshot::ApiDescriptionRegisterError;
use dropshot::Body;
use dropshot::ConfigDropshot;
use dropshot::HttpError;
use dropshot::HttpServer;
use dropshot::RequestContext;
use dropshot::ServerBuilder;
use dropshot::endpoint;
use http::Response;
use http::StatusCode;
use prometheus::Encoder;
use prometheus::TextEncoder;

use super::AdminContext;
use super::endpoints;
use super::traces;
use crate::StartError;

/// The maximum size of a request body, which is a change of many records.
const MAX_BODY_BYTES: usize = 1 << 20;

/// The version of the admin API.
const VERSION: &str = "1.0.0";

type Context = RequestContext<Arc<AdminContext>>;
type HandlerResult = Result<Response<Body>, HttpError>;
type Api = ApiDescription<Arc<AdminContext>>;

/// Starts the server on the current runtime.
pub(in crate::control) fn start(
    address: SocketAddr,
    context: AdminContext,
) -> Result<HttpServer<Arc<AdminContext>>, StartError> {
    let api = api_description().map_err(|error| StartError {
        message: error.to_string(),
    })?;
    let settings = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: MAX_BODY_BYTES,
        ..ConfigDropshot::default()
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    ServerBuilder::new(api, Arc::new(context), log)
        .config(settings)
        .start()
        .map_err(|error| StartError {
            message: format!("cannot listen on {address}: {error}"),
        })
}

/// Returns the OpenAPI description of the admin API.
///
/// # Panics
///
/// Panics if two endpoints conflict, which a test would detect.
pub fn admin_description() -> serde_json::Value {
    let api = api_description().expect("the endpoints do not conflict");
    let version = VERSION.parse().expect("the version is valid");
    api.openapi("cyclamenwharf operators", version)
        .json()
        .expect("the description is JSON")
}

fn api_description() -> Result<Api, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(livez)?;
    api.register(readyz)?;
    api.register(metrics)?;
    api.register(traces::list)?;
    api.register(traces::fetch)?;
    api.register(endpoints::status)?;
    api.register(endpoints::records)?;
    api.register(endpoints::propose)?;
    api.register(endpoints::proposals)?;
    api.register(endpoints::review)?;
    api.register(endpoints::accept)?;
    api.register(endpoints::reject)?;
    api.register(endpoints::history)?;
    api.register(endpoints::roll_forward)?;
    api.register(endpoints::put_back)?;
    Ok(api)
}

/// Report that the process is running.
#[endpoint { method = GET, path = "/livez" }]
async fn livez(_context: Context) -> HandlerResult {
    text_response(StatusCode::OK, "live\n")
}

/// Report whether the load balancer should send requests to this process.
#[endpoint { method = GET, path = "/readyz" }]
async fn readyz(context: Context) -> HandlerResult {
    match context.context().health.is_ready() {
        true => text_response(StatusCode::OK, "ready\n"),
        false => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    }
}

/// Return the metrics in the Prometheus text format.
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics(context: Context) -> HandlerResult {
    let mut buffer = Vec::new();
    TextEncoder::new()
        .encode(&context.context().registry.gather(), &mut buffer)
        .map_err(|error| HttpError::for_internal_error(error.to_string()))?;
    Ok(Response::new(Body::from(buffer)))
}

fn text_response(status: StatusCode, body: &'static str) -> HandlerResult {
    let mut response = Response::new(Body::from(body.to_owned()));
    *response.status_mut() = status;
    Ok(response)
}
