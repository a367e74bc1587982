//! Calls to plain services.

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

use super::caller::Caller;
use super::caller::IDEMPOTENT_HEADER;
use super::caller::is_idempotent;
use super::calls;
use super::frontend::Frontend;
use super::job::Job;
use super::keyed;
use super::keyed::key_of;
use super::output::Output;
use super::output::ServiceAnswer;
use super::refusal::Refusal;

/// The prefix of paths to plain services.
const PREFIX: &str = "/v1/services/";

/// Headers that end at this entry: those of one connection, and the caller's secret.
const NOT_PASSED: [&str; 12] = [
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
    front: &Arc<Frontend>,
    service: &str,
    request: Request<Body>,
) -> Result<Response<Body>, Refusal> {
    let _progress = front.admit()?;
    let (parts, body) = request.into_parts();
    let view = front.view.load_full();
    let caller = Caller::of(&view, &parts.headers)?;
    let (name, route) = caller.route(&view, service)?;
    let RouteTarget::Service { .. } = route.to else {
        return Err(Refusal::new(ErrorKind::UnknownModel));
    };
    let key = key_of(&parts.headers)?;
    let idempotent = is_idempotent(&route, &parts.headers)?;
    let call = Call {
        head: CallHead {
            method: parts.method.to_string(),
            path: path_below(service, &parts.uri),
            headers: passed(&parts.headers),
        },
        body: calls::read_body(front, body).await?,
    };
    let job = Job {
        generation: GenerationId(rand::random()),
        workspace: caller.workspace.clone(),
        route: name,
        to: route.to.clone(),
        weight: caller.weight,
        priority: route.priority.clone(),
        rank: calls::rank(&view, &route),
        recovery: route.recovery,
        fingerprint: fingerprint(&caller, &call)?,
        plan: GenerationPlan::call(route.patience).with_idempotent(idempotent),
        size: ByteSize(call.body.len() as u64),
        work: Work::Call(call),
        seed: None,
        key: None,
        known: None,
    };
    match keyed::start(front, job, key).await?.first {
        Output::Answer(answer) => to_response(answer),
        Output::Refusal(refusal) => Err(refusal),
        _ => Err(Refusal::new(ErrorKind::Internal)),
    }
}

/// Returns the path and query below a service, as they were written.
fn path_below(service: &str, uri: &http::Uri) -> String {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let below = path.strip_prefix(PREFIX).unwrap_or(path);
    let below = below.strip_prefix(service).unwrap_or(below);
    format!("/{}", below.trim_start_matches('/'))
}

fn passed(headers: &HeaderMap) -> BTreeMap<String, String> {
    headers
        .iter()
        .filter(|(name, _)| !NOT_PASSED.contains(&name.as_str()))
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
        .collect()
}

fn fingerprint(caller: &Caller, call: &Call) -> Result<Fingerprint, Refusal> {
    let what = (
        &caller.workspace,
        &call.head.method,
        &call.head.path,
        &call.body,
    );
    let bytes = cw_wire::encode(&what).map_err(Refusal::bad_request)?;
    Ok(Fingerprint(xxh3_64(&bytes)))
}

fn to_response(answer: ServiceAnswer) -> Result<Response<Body>, Refusal> {
    let broken = || Refusal::new(ErrorKind::TargetFailed);
    let mut response = Response::new(Body::wrap(Full::new(answer.body)));
    *response.status_mut() = StatusCode::from_u16(answer.status).map_err(|_| broken())?;
    for (name, value) in &answer.headers {
        let name: HeaderName = name.parse().map_err(|_| broken())?;
        let value: HeaderValue = value.parse().map_err(|_| broken())?;
        let framing = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
        if !framing.contains(&name) {
            response.headers_mut().append(name, value);
        }
    }
    Ok(response)
}
