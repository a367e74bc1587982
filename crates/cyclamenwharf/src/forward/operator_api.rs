//! The HTTP endpoints for the load balancer and for operators.

use std::sync::Arc;

use dropshot::Body;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::Request;
use http::Response;
use http::StatusCode;
use log::warn;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::stream_server::Handler;

use super::forward_context::ForwardContext;

/// Serves the readiness check and the metrics.
pub(super) struct OperatorApi {
    pub(super) context: Arc<ForwardContext>,
    pub(super) registry: Registry,
}

impl Handler for OperatorApi {
    fn handle(self: Arc<Self>, request: Request<Body>) -> BoxFuture<'static, Response<Body>> {
        let response = match request.uri().path() {
            "/readyz" => self.readiness(),
            "/metrics" => self.metrics(),
            _ => status(StatusCode::NOT_FOUND),
        };
        async move { response }.boxed()
    }
}

impl OperatorApi {
    fn readiness(&self) -> Response<Body> {
        status(match self.context.health.is_ready() {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        })
    }

    fn metrics(&self) -> Response<Body> {
        let mut text = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            Ok(()) => Response::new(Body::from(text)),
            Err(error) => {
                warn!("failed to encode the metrics: {error}");
                status(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }
}

fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}
