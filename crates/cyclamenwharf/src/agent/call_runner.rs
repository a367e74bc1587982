//! Runs one attempt on a plain service.

use std::collections::BTreeMap;
use std::sync::Arc;

use cw_policy::Chunk;
use cw_policy::End;
use cw_policy::Flow;
use cw_types::AttemptId;
use cw_types::Ran;
use cw_types::TokenCount;
use cw_wire::Call;
use cw_wire::CallHead;
use cw_wire::Failure;
use cw_wire::FinishReason;
use cw_wire::NotRunReason;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use log::debug;

use super::agent_state::AgentState;
use super::signal::Signal;

/// Headers that concern one connection only, and those that the client sets itself.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Runs one attempt to its end, or until it is aborted.
pub(super) async fn run(state: &Arc<AgentState>, id: AttemptId, call: Call, signal: &Signal) {
    tokio::select! {
        end = send(state, id, call, signal) => match end {
            Some(end) => state.tell(|table, now| table.on_end(now, id, end)),
            None => {
                state.tell(|table, now| table.on_break(now, id));
                state.check.notify_one();
            }
        },
        // The table has ended it already; the dropped connection tells the service.
        () = signal.abort.cancelled() => {}
    }
}

/// Returns how the call ended; none if its connection broke.
async fn send(state: &Arc<AgentState>, id: AttemptId, call: Call, signal: &Signal) -> Option<End> {
    let Some((method, headers)) = request_head(&call.head) else {
        return Some(End::Failed {
            failure: Failure::TargetError,
            ran: Ran::No,
        });
    };
    let sent = state
        .engine
        .send(method, &call.head.path, headers, call.body)
        .await;
    let response = match sent {
        Ok(response) => response,
        Err(error) if error.is_harmless() => {
            state.check.notify_one();
            return Some(End::NotRun(NotRunReason::TargetDown));
        }
        Err(error) => {
            debug!(generation = id.generation.to_string(), attempt = id.attempt.0; "{error}");
            return None;
        }
    };
    state.tell(|table, now| table.on_accepted(now, id, TokenCount(0)));
    let head = Chunk::Head {
        status: response.status().as_u16(),
        headers: answer_headers(response.headers()),
    };
    state.decide(|table, now| table.on_output(now, id, head));
    read(state, id, response.into_body(), signal).await
}

async fn read(
    state: &Arc<AgentState>,
    id: AttemptId,
    mut body: Incoming,
    signal: &Signal,
) -> Option<End> {
    while let Some(frame) = body.frame().await {
        let Ok(bytes) = frame.ok()?.into_data() else {
            continue;
        };
        let chunk = Chunk::Body(bytes);
        match state.decide(|table, now| table.on_output(now, id, chunk)) {
            Flow::Go => {}
            Flow::Hold => signal.resume.notified().await,
            Flow::Stop => break,
        }
    }
    Some(End::Done(FinishReason::Stop))
}

fn is_end_to_end(name: &str) -> bool {
    !HOP_BY_HOP.contains(&name)
}

fn request_head(head: &CallHead) -> Option<(Method, HeaderMap)> {
    if !head.path.starts_with('/') {
        // It would change the address that the call goes to.
        return None;
    }
    let method = head.method.parse().ok()?;
    let mut headers = HeaderMap::new();
    for (name, value) in &head.headers {
        let name: HeaderName = name.parse().ok()?;
        let value: HeaderValue = value.parse().ok()?;
        if is_end_to_end(name.as_str()) {
            headers.append(name, value);
        }
    }
    Some((method, headers))
}

fn answer_headers(headers: &HeaderMap) -> BTreeMap<String, String> {
    let mut kept: BTreeMap<String, String> = BTreeMap::new();
    for (name, value) in headers {
        let Ok(value) = value.to_str() else {
            continue;
        };
        if !is_end_to_end(name.as_str()) {
            continue;
        }
        kept.entry(name.to_string())
            .and_modify(|before| {
                before.push_str(", ");
                before.push_str(value);
            })
            .or_insert_with(|| value.to_owned());
    }
    kept
}
