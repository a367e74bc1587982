//! The callers' interface.

use std::sync::Arc;

use cw_types::ErrorKind;
use dropshot::Body;
use futures::future::BoxFuture;
use http::Method;
use http::Request;
use http::Response;

use crate::stream_server::Handler;

use super::calls;
use super::completion::Form;
use super::frontend::Frontend;
use super::models;
use super::refusal::Refusal;
use super::service;

/// What comes before a service's name in a path.
const SERVICES: &str = "/v1/services/";

/// Answers callers.
pub(crate) struct CallerApi {
    /// What all requests share.
    pub(crate) front: Arc<Frontend>,
}

impl Handler for CallerApi {
    fn handle(self: Arc<Self>, request: Request<Body>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            let answer = route(&self.front, request).await;
            answer.unwrap_or_else(Refusal::into_response)
        })
    }
}

async fn route(front: &Arc<Frontend>, request: Request<Body>) -> Result<Response<Body>, Refusal> {
    let path = request.uri().path().to_owned();
    let expected = match path.as_str() {
        "/v1/completions" | "/v1/chat/completions" => Method::POST,
        "/v1/models" => Method::GET,
        _ => request.method().clone(),
    };
    if *request.method() != expected {
        let detail = format!("{path} is called with {expected}");
        return Err(Refusal::bad_request(detail));
    }
    match path.as_str() {
        "/v1/completions" => calls::generate(front, request, Form::Text).await,
        "/v1/chat/completions" => calls::generate(front, request, Form::Chat).await,
        "/v1/models" => models::list(front, request.headers()),
        path => match service_of(path) {
            Some(name) => service::call(front, name, request).await,
            None => Err(Refusal::new(ErrorKind::UnknownModel)),
        },
    }
}

/// Returns the name of the service that a path is below.
fn service_of(path: &str) -> Option<&str> {
    let rest = path.strip_prefix(SERVICES)?;
    let name = rest.split('/').next()?;
    (!name.is_empty()).then_some(name)
}
