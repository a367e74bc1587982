//! The server for operators, metrics and health checks.

use std::net::SocketAddr;
use std::sync::Arc;

use dropshot::ApiDescription;
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
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::Health;
use crate::StartError;

/// What the handlers share.
pub(super) struct AdminContext {
    pub(super) health: Arc<Health>,
    pub(super) registry: Registry,
}

type Context = RequestContext<Arc<AdminContext>>;
type Answer = Result<Response<Body>, HttpError>;

/// Starts the server on the present runtime.
pub(super) fn start(
    address: SocketAddr,
    context: AdminContext,
) -> Result<HttpServer<Arc<AdminContext>>, StartError> {
    let mut api = ApiDescription::new();
    let registered = api
        .register(livez)
        .and_then(|()| api.register(readyz))
        .and_then(|()| api.register(metrics));
    registered.map_err(|error| StartError {
        message: error.to_string(),
    })?;
    let settings = ConfigDropshot {
        bind_address: address,
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

/// Says that the process lives.
#[endpoint { method = GET, path = "/livez" }]
async fn livez(_context: Context) -> Answer {
    text(StatusCode::OK, "live\n")
}

/// Says whether the balancer should send work.
#[endpoint { method = GET, path = "/readyz" }]
async fn readyz(context: Context) -> Answer {
    match context.context().health.is_ready() {
        true => text(StatusCode::OK, "ready\n"),
        false => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    }
}

/// Answers with the metrics in Prometheus's text format.
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics(context: Context) -> Answer {
    let mut buffer = Vec::new();
    TextEncoder::new()
        .encode(&context.context().registry.gather(), &mut buffer)
        .map_err(|error| HttpError::for_internal_error(error.to_string()))?;
    Ok(Response::new(Body::from(buffer)))
}

fn text(status: StatusCode, body: &'static str) -> Answer {
    let mut response = Response::new(Body::from(body.to_owned()));
    *response.status_mut() = status;
    Ok(response)
}
