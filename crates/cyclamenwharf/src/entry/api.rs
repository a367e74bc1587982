//! The callers' interface.

use std::sync::Arc;

use dropshot::ApiDescription;
use dropshot::Body;
use dropshot::HttpError;
use dropshot::Path;
use dropshot::RawRequest;
use dropshot::RequestContext;
use dropshot::endpoint;
use http::Response;
use schemars::JsonSchema;
use serde::Deserialize;

use super::calls;
use super::completion::Form;
use super::frontend::Frontend;
use super::models;
use super::refusal::Refusal;
use super::service;

type Context = RequestContext<Arc<Frontend>>;
type Answer = Result<Response<Body>, HttpError>;

/// The path of a call to a plain service.
#[derive(Deserialize, JsonSchema)]
struct ServicePath {
    /// The name of the route.
    service: String,
    /// The path below the service.
    #[expect(dead_code, reason = "the path is passed on as the caller wrote it")]
    path: Vec<String>,
}

/// Returns the callers' interface.
pub(crate) fn description() -> ApiDescription<Arc<Frontend>> {
    let mut api = ApiDescription::new();
    let registered = [
        api.register(completions),
        api.register(chat_completions),
        api.register(list_models),
        api.register(service_get),
        api.register(service_post),
        api.register(service_put),
        api.register(service_patch),
        api.register(service_delete),
    ];
    for result in registered {
        result.expect("the paths of the interface do not overlap");
    }
    api
}

fn answer(result: Result<Response<Body>, Refusal>) -> Answer {
    Ok(result.unwrap_or_else(Refusal::into_response))
}

/// Continues a text.
#[endpoint { method = POST, path = "/v1/completions" }]
async fn completions(context: Context, request: RawRequest) -> Answer {
    let request = request.into_inner();
    answer(calls::generate(context.context(), request, Form::Text).await)
}

/// Continues a chat.
#[endpoint { method = POST, path = "/v1/chat/completions" }]
async fn chat_completions(context: Context, request: RawRequest) -> Answer {
    let request = request.into_inner();
    answer(calls::generate(context.context(), request, Form::Chat).await)
}

/// Lists the models that the caller may use.
#[endpoint { method = GET, path = "/v1/models" }]
async fn list_models(context: Context) -> Answer {
    answer(models::list(context.context(), context.request.headers()))
}

async fn call_service(context: Context, path: Path<ServicePath>, request: RawRequest) -> Answer {
    let service = path.into_inner().service;
    answer(service::call(context.context(), &service, request.into_inner()).await)
}

/// Calls a plain service.
#[endpoint { method = GET, path = "/v1/services/{service}/{path:.*}", unpublished = true }]
async fn service_get(context: Context, path: Path<ServicePath>, request: RawRequest) -> Answer {
    call_service(context, path, request).await
}

/// Calls a plain service.
#[endpoint { method = POST, path = "/v1/services/{service}/{path:.*}", unpublished = true }]
async fn service_post(context: Context, path: Path<ServicePath>, request: RawRequest) -> Answer {
    call_service(context, path, request).await
}

/// Calls a plain service.
#[endpoint { method = PUT, path = "/v1/services/{service}/{path:.*}", unpublished = true }]
async fn service_put(context: Context, path: Path<ServicePath>, request: RawRequest) -> Answer {
    call_service(context, path, request).await
}

/// Calls a plain service.
#[endpoint { method = PATCH, path = "/v1/services/{service}/{path:.*}", unpublished = true }]
async fn service_patch(context: Context, path: Path<ServicePath>, request: RawRequest) -> Answer {
    call_service(context, path, request).await
}

/// Calls a plain service.
#[endpoint { method = DELETE, path = "/v1/services/{service}/{path:.*}", unpublished = true }]
async fn service_delete(context: Context, path: Path<ServicePath>, request: RawRequest) -> Answer {
    call_service(context, path, request).await
}
