//! The endpoint for calls to plain services.

use std::collections::BTreeMap;
use std::sync::Arc;

use cw_policy::GenerationPlan;
use cw_types::ByteSize;
use cw_types::ErrorKind;
use cw_types::GenerationId;
use cw_types::RouteTarget;
use cw_wire::Call;
use cw_wire::CallHead;
use cw_wire::Fingerprint;
use cw_wire::Work;
use dropshot::Body;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use xxhash_rust::xxh3::xxh3_64;

use super::api_error::ApiError;
use super::caller::Caller;
use super::caller::IDEMPOTENT_HEADER;
use super::caller::is_idempotent;
use super::completions;
use super::entry_context::EntryContext;
use super::idempotency;
use super::idempotency::read_idempotency_key;
use super::job::Job;
use super::output::Output;
use super::output::ServiceAnswer;

/// The path prefix before the name of a plain service.
pub(super) const SERVICE_PREFIX: &str = "/v1/services/";

/// Request headers that are not forwarded to the service: those that apply to the connection or
/// to this entry only, and the caller's credentials.
const UNFORWARDED_HEADERS: [&str; 12] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "authorization",
    IDEMPOTENT_HEADER,
];

/// Answers a request to `/v1/services/{service}/{path}`.
pub(crate) async fn call(
    context: &Arc<EntryContext>,
    service: &str,
    request: Request<Body>,
) -> Result<Response<Body>, ApiError> {
    let _progress = context.admit()?;
    let (parts, body) = request.into_parts();
    let view = context.view.load_full();
    let caller = Caller::authenticate(&view, &parts.headers)?;
    let (name, route) = caller.find_route(&view, service)?;
    let RouteTarget::Service { .. } = route.to else {
        return Err(ApiError::new(ErrorKind::UnknownModel));
    };
    let key = read_idempotency_key(&parts.headers)?;
    let idempotent = is_idempotent(&route, &parts.headers)?;
    let call = Call {
        head: CallHead {
            method: parts.method.to_string(),
            path: path_in_service(service, &parts.uri),
            headers: forwarded_headers(&parts.headers),
        },
        body: completions::read_body(context, body).await?,
    };
    let job = Job {
        generation: GenerationId(rand::random()),
        workspace: caller.workspace.clone(),
        route: name,
        destination: route.to.clone(),
        weight: caller.weight,
        priority: route.priority.clone(),
        rank: completions::rank(&view, &route),
        recovery: route.recovery,
        fingerprint: fingerprint(&caller, &call)?,
        plan: GenerationPlan::call(route.patience).with_idempotent(idempotent),
        body_size: ByteSize(call.body.len() as u64),
        work: Work::Call(call),
        requested_seed: None,
        key: None,
        joined: None,
    };
    match idempotency::start(context, job, key).await?.first {
        Output::Answer(answer) => into_response(answer),
        Output::Error(error) => Err(error),
        _ => Err(ApiError::new(ErrorKind::Internal)),
    }
}

/// Returns the path and query after the service's name, unchanged from the request.
fn path_in_service(service: &str, uri: &http::Uri) -> String {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let below = path.strip_prefix(SERVICE_PREFIX).unwrap_or(path);
    let below = below.strip_prefix(service).unwrap_or(below);
    format!("/{}", below.trim_start_matches('/'))
}

fn forwarded_headers(headers: &HeaderMap) -> BTreeMap<String, String> {
    headers
        .iter()
        .filter(|(name, _)| !UNFORWARDED_HEADERS.contains(&name.as_str()))
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
        .collect()
}

fn fingerprint(caller: &Caller, call: &Call) -> Result<Fingerprint, ApiError> {
    let identity = (
        &caller.workspace,
        &call.head.method,
        &call.head.path,
        &call.body,
    );
    let bytes = cw_wire::encode(&identity).map_err(ApiError::bad_request)?;
    Ok(Fingerprint(xxh3_64(&bytes)))
}

fn into_response(answer: ServiceAnswer) -> Result<Response<Body>, ApiError> {
    let invalid_answer = || ApiError::new(ErrorKind::TargetFailed);
    let mut response = Response::new(Body::wrap(Full::new(answer.body)));
    *response.status_mut() = StatusCode::from_u16(answer.status).map_err(|_| invalid_answer())?;
    for (name, value) in &answer.headers {
        let name: HeaderName = name.parse().map_err(|_| invalid_answer())?;
        let value: HeaderValue = value.parse().map_err(|_| invalid_answer())?;
        let framing = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
        if !framing.contains(&name) {
            response.headers_mut().append(name, value);
        }
    }
    Ok(response)
}
