//! The list of models.

use cw_types::RouteTarget;
use dropshot::Body;
use http::HeaderMap;
use http::Response;
use serde::Serialize;

use super::caller::Caller;
use super::frontend::Frontend;
use super::refusal::Refusal;
use super::refusal::json_response;

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

/// Answers `GET /v1/models` with the routes that the caller may use.
pub(crate) fn list(front: &Frontend, headers: &HeaderMap) -> Result<Response<Body>, Refusal> {
    let _progress = front.admit()?;
    let view = front.view.load();
    let caller = Caller::of(&view, headers)?;
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
