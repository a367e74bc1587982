//! The endpoints for the traces of recorded decisions.

use std::sync::Arc;

use cw_macro::data;
use cw_types::GenerationId;
use cw_types::OperatorRole;
use dropshot::HttpResponseOk;
use dropshot::Path;
use dropshot::RequestContext;
use dropshot::endpoint;
use schemars::JsonSchema;
use serde::Deserialize;

use super::AdminContext;
use super::ErrorMessage;
use super::endpoints::authorize;
use super::error::AdminErrorKind;

type Context = RequestContext<Arc<AdminContext>>;

/// A path that contains a generation.
#[derive(Deserialize, JsonSchema)]
pub(super) struct TracePath {
    /// The id of the generation.
    generation: String,
}

/// The trace of one generation.
#[data(Eq, JsonSchema)]
pub struct TraceMessage {
    /// The id of the generation.
    pub generation: String,
    /// The trace, as JSON lines.
    pub lines: String,
}

/// List the generations whose traces are stored, oldest first.
#[endpoint { method = GET, path = "/v1/traces" }]
pub(super) async fn list(context: Context) -> Result<HttpResponseOk<Vec<String>>, ErrorMessage> {
    authorize(&context, OperatorRole::Reader).await?;
    let traces = context.context().traces.list();
    let names = traces.iter().map(GenerationId::to_string);
    Ok(HttpResponseOk(names.collect()))
}

/// Return the trace of a generation.
#[endpoint { method = GET, path = "/v1/traces/{generation}" }]
pub(super) async fn fetch(
    context: Context,
    path: Path<TracePath>,
) -> Result<HttpResponseOk<TraceMessage>, ErrorMessage> {
    authorize(&context, OperatorRole::Reader).await?;
    let name = path.into_inner().generation;
    let lines = name
        .parse()
        .ok()
        .and_then(|generation| context.context().traces.get(generation));
    let missing = || {
        ErrorMessage::new(
            AdminErrorKind::NotFound,
            format!("there is no trace of generation {name}"),
        )
    };
    Ok(HttpResponseOk(TraceMessage {
        lines: lines.ok_or_else(missing)?,
        generation: name.clone(),
    }))
}
