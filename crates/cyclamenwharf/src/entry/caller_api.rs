//! The HTTP API for callers.

use std::sync::Arc;

use cw_types::ErrorKind;
use dropshot::Body;
use futures::future::BoxFuture;
use http::Method;
use http::Request;
use http::Response;

use crate::stream_server::Handler;

use super::api_error::ApiError;
use super::completion_request::Endpoint;
use super::completions;
use super::entry_context::EntryContext;
use super::models;
use super::service;
use super::service::SERVICE_PREFIX;

/// Routes callers' HTTP requests to their endpoints.
pub(crate) struct CallerApi {
    /// The state that all requests of the entry share.
    pub(crate) context: Arc<EntryContext>,
}

impl Handler for CallerApi {
    fn handle(self: Arc<Self>, request: Request<Body>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            let answer = route(&self.context, request).await;
            answer.unwrap_or_else(ApiError::into_response)
        })
    }
}

async fn route(
    context: &Arc<EntryContext>,
    request: Request<Body>,
) -> Result<Response<Body>, ApiError> {
    let path = request.uri().path().to_owned();
    let expected = match path.as_str() {
        "/v1/completions" | "/v1/chat/completions" => Method::POST,
        "/v1/models" => Method::GET,
        _ => request.method().clone(),
    };
    if *request.method() != expected {
        let detail = format!("{path} is called with {expected}");
        return Err(ApiError::bad_request(detail));
    }
    match path.as_str() {
        "/v1/completions" => completions::generate(context, request, Endpoint::Completions).await,
        "/v1/chat/completions" => completions::generate(context, request, Endpoint::Chat).await,
        "/v1/models" => models::list(context, request.headers()),
        path => match service_name(path) {
            Some(name) => service::call(context, name, request).await,
            None => Err(ApiError::new(ErrorKind::UnknownModel)),
        },
    }
}

/// Returns the name of the plain service in a path, or `None` for any other path.
fn service_name(path: &str) -> Option<&str> {
    let rest = path.strip_prefix(SERVICE_PREFIX)?;
    let name = rest.split('/').next()?;
    (!name.is_empty()).then_some(name)
}
