//! The endpoint that lists the models.

use cw_types::RouteTarget;
use dropshot::Body;
use http::HeaderMap;
use http::Response;
use serde::Serialize;

use super::api_error::ApiError;
use super::api_error::json_response;
use super::caller::Caller;
use super::entry_context::EntryContext;

#[derive(Serialize)]
struct ModelList<'a> {
    object: &'static str,
    data: Vec<Model<'a>>,
}

#[derive(Serialize)]
struct Model<'a> {
    id: &'a str,
    object: &'static str,
    owned_by: &'static str,
}

/// Answers `GET /v1/models` with the model routes that the caller may use.
pub(crate) fn list(
    context: &EntryContext,
    headers: &HeaderMap,
) -> Result<Response<Body>, ApiError> {
    let _progress = context.admit()?;
    let view = context.view.load();
    let caller = Caller::authenticate(&view, headers)?;
    let routes = view.config.routes.iter();
    let data = routes
        .filter(|(_, route)| caller.may_use(route))
        .filter(|(_, route)| matches!(route.to, RouteTarget::Model { .. }))
        .map(|(name, _)| Model {
            id: name.as_str(),
            object: "model",
            owned_by: "cyclamenwharf",
        })
        .collect();
    let list = ModelList {
        object: "list",
        data,
    };
    let json = serde_json::to_vec(&list).unwrap_or_default();
    Ok(json_response(json.into()))
}
