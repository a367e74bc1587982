//! The completion endpoints: they turn a caller's request into a job, and its output into a
//! response.

use std::sync::Arc;

use bytes::Bytes;
use chrono::Utc;
use cw_policy::GenerationPlan;
use cw_policy::View;
use cw_store::BodyBuffer;
use cw_store::BodyError;
use cw_types::AdapterName;
use cw_types::ByteSize;
use cw_types::ErrorKind;
use cw_types::GenerationId;
use cw_types::ModelName;
use cw_types::Route;
use cw_types::RouteName;
use cw_types::RouteTarget;
use cw_types::TokenIndex;
use cw_types::VersionName;
use cw_wire::Fingerprint;
use cw_wire::Generate;
use cw_wire::Sampling;
use cw_wire::Work;
use dropshot::Body;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header::CACHE_CONTROL;
use http::header::CONTENT_TYPE;
use xxhash_rust::xxh3::xxh3_64;

use super::answer_format::AnswerFormat;
use super::api_error::ApiError;
use super::api_error::json_response;
use super::caller::Caller;
use super::caller::is_idempotent;
use super::completion_request::CompletionRequest;
use super::completion_request::Endpoint;
use super::entry_context::EntryContext;
use super::event_body::EventBody;
use super::event_id::EventId;
use super::idempotency;
use super::idempotency::StartedRequest;
use super::idempotency::read_idempotency_key;
use super::job::Job;
use super::job::derived_seed;
use super::job::takeover_attempt;
use super::output::Output;

/// The request header with the id of the last event that a reconnecting caller received.
const LAST_EVENT_ID_HEADER: &str = "last-event-id";

/// Answers a request to `/v1/completions` or `/v1/chat/completions`.
pub(crate) async fn generate(
    context: &Arc<EntryContext>,
    request: Request<Body>,
    endpoint: Endpoint,
) -> Result<Response<Body>, ApiError> {
    let progress = context.admit()?;
    let (parts, body) = request.into_parts();
    let view = context.view.load_full();
    let caller = Caller::authenticate(&view, &parts.headers)?;
    let bytes = read_body(context, body).await?;
    let completion = match endpoint {
        Endpoint::Completions => CompletionRequest::from_completion(&bytes)?,
        Endpoint::Chat => CompletionRequest::from_chat(&bytes)?,
    };
    let (name, route) = caller.find_route(&view, &completion.model)?;
    let key = read_idempotency_key(&parts.headers)?;
    let job = new_job(
        &view,
        &caller,
        name,
        &route,
        &completion,
        &parts.headers,
        bytes.len(),
    )?;
    let started = idempotency::start(context, job, key).await?;
    let format = Arc::new(answer_format(&started.job, &completion)?);
    match completion.stream {
        true => {
            let StartedRequest { first, rest, .. } = started;
            Ok(event_stream(EventBody::new(format, first, rest, progress)))
        }
        false => collect_answer(&format, started).await,
    }
}

/// Reads a request's body.
///
/// # Errors
///
/// Returns [`ErrorKind::TooLarge`] for a body over the limit, [`ErrorKind::Overloaded`] if the bodies of other
/// requests take all memory for them, and [`ErrorKind::BadRequest`] for one that takes too long or breaks off.
pub(crate) async fn read_body(context: &EntryContext, body: Body) -> Result<Bytes, ApiError> {
    let limit = context.settings.limits.body.as_usize();
    let read = BodyBuffer::new(limit, &context.request_memory).read(body);
    let Ok(read) = tokio::time::timeout(context.settings.limits.request, read).await else {
        return Err(ApiError::bad_request("the body took too long"));
    };
    match read {
        Ok(body) => Ok(body),
        Err(BodyError::TooLong { .. }) => Err(ApiError::new(ErrorKind::TooLarge)),
        Err(BodyError::Memory { .. }) => Err(ApiError::new(ErrorKind::Overloaded)),
        Err(error @ BodyError::Broken { .. }) => Err(ApiError::bad_request(error)),
    }
}

/// Returns the rank of a route's priority, or 0 for a priority that is not configured.
pub(crate) fn rank(view: &View, route: &Route) -> u8 {
    let priority = view.config.priorities.get(&route.priority);
    priority.map_or(0, |priority| priority.rank)
}

fn new_job(
    view: &View,
    caller: &Caller,
    name: RouteName,
    route: &Route,
    completion: &CompletionRequest,
    headers: &HeaderMap,
    body_size: usize,
) -> Result<Job, ApiError> {
    let RouteTarget::Model {
        model,
        version,
        adapter,
    } = route.to.clone()
    else {
        return Err(ApiError::new(ErrorKind::UnknownModel));
    };
    let last_event = read_last_event_id(headers)?;
    let generation = match &last_event {
        Some(last_event) => last_event.attempt.generation,
        None => GenerationId(rand::random()),
    };
    let (version, adapter) = match &last_event {
        Some(last_event) if !caller.may_continue(view, &model, last_event.adapter.as_ref()) => {
            return Err(ApiError::new(ErrorKind::UnknownGeneration));
        }
        Some(last_event) => (last_event.version.clone(), last_event.adapter.clone()),
        None => (version, adapter),
    };
    let idempotent = is_idempotent(route, headers)?;
    let plan = new_plan(route, completion, last_event.as_ref(), idempotent)?;
    let destination = RouteTarget::Model {
        model: model.clone(),
        version: version.clone(),
        adapter: adapter.clone(),
    };
    let work = new_work((model, version, adapter), completion, generation);
    Ok(Job {
        generation,
        workspace: caller.workspace.clone(),
        route: name,
        destination,
        weight: caller.weight,
        priority: route.priority.clone(),
        rank: rank(view, route),
        recovery: route.recovery,
        fingerprint: fingerprint(caller, &work)?,
        plan,
        work: Work::Generate(work),
        body_size: ByteSize(body_size as u64),
        requested_seed: completion.seed,
        key: None,
        joined: None,
    })
}

fn new_work(
    (model, version, adapter): (ModelName, VersionName, Option<AdapterName>),
    completion: &CompletionRequest,
    generation: GenerationId,
) -> Generate {
    Generate {
        model,
        version,
        adapter,
        prompt: completion.prompt.clone(),
        sampling: sampling(completion, generation),
        so_far: Vec::new(),
        max_tokens: completion.max_tokens,
    }
}

fn read_last_event_id(headers: &HeaderMap) -> Result<Option<EventId>, ApiError> {
    let Some(value) = headers.get(LAST_EVENT_ID_HEADER) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(ApiError::bad_request)?;
    text.parse().map(Some).map_err(ApiError::bad_request)
}

fn new_plan(
    route: &Route,
    completion: &CompletionRequest,
    last_event: Option<&EventId>,
    idempotent: bool,
) -> Result<GenerationPlan, ApiError> {
    let mut plan = GenerationPlan::generate(route.patience).with_idempotent(idempotent);
    plan.max_tokens = Some(completion.max_tokens);
    let Some(last_event) = last_event else {
        return match completion.so_far.is_empty() {
            true => Ok(plan),
            // Only the event id tells which model version produced these tokens.
            false => Err(ApiError::bad_request(
                "output_so_far: expected only with Last-Event-ID",
            )),
        };
    };
    let held_tokens = TokenIndex(completion.so_far.len() as u64);
    if held_tokens.0 > 0 && held_tokens != last_event.next {
        return Err(ApiError::bad_request(format!(
            "output_so_far: expected the {} tokens before Last-Event-ID, found {held_tokens}",
            last_event.next
        )));
    }
    plan.resume_index = last_event.next;
    plan.prefix = completion.so_far.clone();
    plan.running_target = Some(last_event.target.clone());
    plan.running_attempt = last_event.attempt.attempt;
    plan.next_attempt = takeover_attempt();
    Ok(plan)
}

fn sampling(completion: &CompletionRequest, generation: GenerationId) -> Sampling {
    Sampling {
        seed: completion.seed.unwrap_or(derived_seed(generation)),
        temperature: completion.temperature,
        top_p: completion.top_p,
        stop: completion.stop.clone(),
    }
}

fn fingerprint(caller: &Caller, work: &Generate) -> Result<Fingerprint, ApiError> {
    let identity = (&caller.workspace, &work.model, &work.prompt);
    let bytes = cw_wire::encode(&identity).map_err(ApiError::bad_request)?;
    Ok(Fingerprint(xxh3_64(&bytes)))
}

fn answer_format(job: &Job, completion: &CompletionRequest) -> Result<AnswerFormat, ApiError> {
    let RouteTarget::Model {
        version, adapter, ..
    } = job.destination.clone()
    else {
        return Err(ApiError::new(ErrorKind::Internal));
    };
    Ok(AnswerFormat {
        generation: job.generation,
        id: format!("gen-{}", job.generation),
        version,
        adapter,
        model: completion.model.clone(),
        created: Utc::now().timestamp(),
        token_ids: completion.token_ids,
        endpoint: completion.endpoint,
    })
}

async fn collect_answer(
    format: &AnswerFormat,
    started: StartedRequest,
) -> Result<Response<Body>, ApiError> {
    let StartedRequest {
        first: mut output,
        rest: mut outputs,
        ..
    } = started;
    let mut text = String::new();
    let mut ids = Vec::new();
    loop {
        match output {
            Output::Tokens(chunk) => {
                for token in chunk.tokens {
                    text.push_str(&token.text);
                    ids.push(token.id);
                }
            }
            Output::Finished(finish) => {
                let answer = format.full_answer(text, ids, finish);
                let json =
                    serde_json::to_vec(&answer).map_err(|_| ApiError::new(ErrorKind::Internal))?;
                return Ok(json_response(json.into()));
            }
            Output::Error(error) => return Err(error),
            Output::Answer(_) => return Err(ApiError::new(ErrorKind::Internal)),
        }
        output = StartedRequest::next(&mut outputs).await;
    }
}

fn event_stream(body: EventBody) -> Response<Body> {
    let mut response = Response::new(Body::wrap(body));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}
