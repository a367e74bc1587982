//! From a caller's request to its answer.

use std::sync::Arc;

use bytes::Bytes;
use chrono::Utc;
use cw_policy::GenerationPlan;
use cw_policy::View;
use cw_types::ByteSize;
use cw_types::ErrorKind;
use cw_types::GenerationId;
use cw_types::Route;
use cw_types::RouteName;
use cw_types::RouteTarget;
use cw_types::TokenIndex;
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
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use xxhash_rust::xxh3::xxh3_64;

use super::caller::Caller;
use super::caller::is_idempotent;
use super::completion::Asked;
use super::completion::Form;
use super::event_id::EventId;
use super::events::EventBody;
use super::format::Format;
use super::frontend::Frontend;
use super::job::Job;
use super::job::drawn_seed;
use super::job::taken_over;
use super::keyed;
use super::keyed::Started;
use super::keyed::key_of;
use super::output::Output;
use super::refusal::Refusal;
use super::refusal::json_response;

/// The header by which a caller comes back to its generation.
const LAST_EVENT_HEADER: &str = "last-event-id";

/// Answers a request to `/v1/completions` or `/v1/chat/completions`.
pub(crate) async fn generate(
    front: &Arc<Frontend>,
    request: Request<Body>,
    form: Form,
) -> Result<Response<Body>, Refusal> {
    let progress = front.admit()?;
    let (parts, body) = request.into_parts();
    let view = front.view.load_full();
    let caller = Caller::of(&view, &parts.headers)?;
    let bytes = read_body(front, body).await?;
    let asked = match form {
        Form::Text => Asked::completion(&bytes)?,
        Form::Chat => Asked::chat(&bytes)?,
    };
    let (name, route) = caller.route(&view, &asked.model)?;
    let key = key_of(&parts.headers)?;
    let job = generate_job(
        &view,
        &caller,
        name,
        &route,
        &asked,
        &parts.headers,
        bytes.len(),
    )?;
    let started = keyed::start(front, job, key).await?;
    let format = Arc::new(format_of(&started.job, &asked)?);
    match asked.stream {
        true => {
            let Started { first, rest, .. } = started;
            Ok(event_stream(EventBody::new(format, first, rest, progress)))
        }
        false => whole(&format, started).await,
    }
}

/// Reads a request's body.
///
/// # Errors
///
/// Refuses a body that is too large, takes too long or breaks off.
pub(crate) async fn read_body(front: &Frontend, body: Body) -> Result<Bytes, Refusal> {
    let limit = front.settings.limits.body.as_usize();
    let read = Limited::new(body, limit).collect();
    let Ok(read) = tokio::time::timeout(front.settings.limits.request, read).await else {
        return Err(Refusal::bad_request("the body took too long"));
    };
    match read {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Refusal::new(ErrorKind::TooLarge)),
        Err(error) => Err(Refusal::bad_request(error)),
    }
}

/// Returns the rank of a route's priority.
pub(crate) fn rank(view: &View, route: &Route) -> u8 {
    let priority = view.config.priorities.get(&route.priority);
    priority.map_or(0, |priority| priority.rank)
}

fn generate_job(
    view: &View,
    caller: &Caller,
    name: RouteName,
    route: &Route,
    asked: &Asked,
    headers: &HeaderMap,
    size: usize,
) -> Result<Job, Refusal> {
    let RouteTarget::Model {
        model,
        version,
        adapter,
    } = route.to.clone()
    else {
        return Err(Refusal::new(ErrorKind::UnknownModel));
    };
    let back = last_event(headers)?;
    let generation = match &back {
        Some(back) => back.attempt.generation,
        None => GenerationId(rand::random()),
    };
    let (version, adapter) = match &back {
        Some(back) if !caller.may_continue(view, &model, back.adapter.as_ref()) => {
            return Err(Refusal::new(ErrorKind::UnknownGeneration));
        }
        Some(back) => (back.version.clone(), back.adapter.clone()),
        None => (version, adapter),
    };
    let plan = generate_plan(route, asked, back.as_ref(), is_idempotent(route, headers)?)?;
    let work = Generate {
        model: model.clone(),
        version: version.clone(),
        adapter: adapter.clone(),
        prompt: asked.prompt.clone(),
        sampling: sampling(asked, generation),
        so_far: Vec::new(),
        max_tokens: asked.max_tokens,
    };
    Ok(Job {
        generation,
        workspace: caller.workspace.clone(),
        route: name,
        to: RouteTarget::Model {
            model,
            version,
            adapter,
        },
        weight: caller.weight,
        priority: route.priority.clone(),
        rank: rank(view, route),
        recovery: route.recovery,
        fingerprint: fingerprint(caller, &work)?,
        plan,
        work: Work::Generate(work),
        size: ByteSize(size as u64),
        seed: asked.seed,
        key: None,
        known: None,
    })
}

fn last_event(headers: &HeaderMap) -> Result<Option<EventId>, Refusal> {
    let Some(value) = headers.get(LAST_EVENT_HEADER) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(Refusal::bad_request)?;
    text.parse().map(Some).map_err(Refusal::bad_request)
}

fn generate_plan(
    route: &Route,
    asked: &Asked,
    back: Option<&EventId>,
    idempotent: bool,
) -> Result<GenerationPlan, Refusal> {
    let mut plan = GenerationPlan::generate(route.patience).with_idempotent(idempotent);
    plan.max_tokens = Some(asked.max_tokens);
    let Some(back) = back else {
        return match asked.so_far.is_empty() {
            true => Ok(plan),
            // Without the event's id the version is not known that wrote these tokens.
            false => Err(Refusal::bad_request(
                "output_so_far: expected only with Last-Event-ID",
            )),
        };
    };
    let held = TokenIndex(asked.so_far.len() as u64);
    if held.0 > 0 && held != back.next {
        return Err(Refusal::bad_request(format!(
            "output_so_far: expected the {} tokens before Last-Event-ID, found {held}",
            back.next
        )));
    }
    plan.resume_index = back.next;
    plan.prefix = asked.so_far.clone();
    plan.running_target = Some(back.target.clone());
    plan.running_attempt = back.attempt.attempt;
    plan.next_attempt = taken_over();
    Ok(plan)
}

fn sampling(asked: &Asked, generation: GenerationId) -> Sampling {
    Sampling {
        seed: asked.seed.unwrap_or(drawn_seed(generation)),
        temperature: asked.temperature,
        top_p: asked.top_p,
        stop: asked.stop.clone(),
    }
}

fn fingerprint(caller: &Caller, work: &Generate) -> Result<Fingerprint, Refusal> {
    let what = (&caller.workspace, &work.model, &work.prompt);
    let bytes = cw_wire::encode(&what).map_err(Refusal::bad_request)?;
    Ok(Fingerprint(xxh3_64(&bytes)))
}

fn format_of(job: &Job, asked: &Asked) -> Result<Format, Refusal> {
    let RouteTarget::Model {
        version, adapter, ..
    } = job.to.clone()
    else {
        return Err(Refusal::new(ErrorKind::Internal));
    };
    Ok(Format {
        generation: job.generation,
        id: format!("gen-{}", job.generation),
        version,
        adapter,
        model: asked.model.clone(),
        created: Utc::now().timestamp(),
        ids: asked.ids,
        form: asked.form,
    })
}

async fn whole(format: &Format, started: Started) -> Result<Response<Body>, Refusal> {
    let Started {
        first: mut output,
        rest: mut outputs,
        ..
    } = started;
    let mut text = String::new();
    let mut ids = Vec::new();
    loop {
        match output {
            Output::Piece(piece) => {
                for token in piece.tokens {
                    text.push_str(&token.text);
                    ids.push(token.id);
                }
            }
            Output::Finish(finish) => {
                let answer = format.whole(text, ids, finish);
                let json =
                    serde_json::to_vec(&answer).map_err(|_| Refusal::new(ErrorKind::Internal))?;
                return Ok(json_response(json.into()));
            }
            Output::Refusal(refusal) => return Err(refusal),
            Output::Answer(_) => return Err(Refusal::new(ErrorKind::Internal)),
        }
        output = Started::next(&mut outputs).await;
    }
}

fn event_stream(body: EventBody) -> Response<Body> {
    let mut response = Response::new(Body::wrap(body));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}
