//! Running an attempt on a plain service.

use std::collections::BTreeMap;
use std::sync::Arc;

use cw_policy::AttemptEnd;
use cw_policy::Chunk;
use cw_policy::FlowControl;
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
use super::attempt_signals::AttemptSignals;

/// Headers that apply to a single connection, and those that the HTTP client sets itself.
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

/// Runs an attempt until it ends or is aborted.
pub(super) async fn run(
    state: &Arc<AgentState>,
    id: AttemptId,
    call: Call,
    signals: &AttemptSignals,
) {
    tokio::select! {
        end = send_call(state, id, call, signals) => match end {
            Some(end) => state.apply_event(|table, now| table.on_end(now, id, end)),
            None => {
                state.apply_event(|table, now| table.on_disconnect(now, id));
                state.check_target.notify_one();
            }
        },
        // The table has already ended the attempt; the service sees the closed connection.
        () = signals.abort.cancelled() => {}
    }
}

/// Sends the call and returns how it ended, or `None` if its connection broke.
async fn send_call(
    state: &Arc<AgentState>,
    id: AttemptId,
    call: Call,
    signals: &AttemptSignals,
) -> Option<AttemptEnd> {
    let Some((method, headers)) = request_head(&call.head) else {
        return Some(AttemptEnd::Failed {
            failure: Failure::TargetError,
            ran: Ran::No,
        });
    };
    let sent = state
        .target_client
        .send(method, &call.head.path, headers, call.body)
        .await;
    let response = match sent {
        Ok(response) => response,
        Err(error) if error.had_no_effect() => {
            state.check_target.notify_one();
            return Some(AttemptEnd::NotRun(NotRunReason::TargetDown));
        }
        Err(error) => {
            debug!(generation = id.generation.to_string(), attempt = id.attempt.0; "{error}");
            return None;
        }
    };
    state.apply_event(|table, now| table.on_accepted(now, id, TokenCount(0)));
    let head = Chunk::Head {
        status: response.status().as_u16(),
        headers: response_headers(response.headers()),
    };
    state.update_table(|table, now| table.on_output(now, id, head));
    read_body(state, id, response.into_body(), signals).await
}

async fn read_body(
    state: &Arc<AgentState>,
    id: AttemptId,
    mut body: Incoming,
    signals: &AttemptSignals,
) -> Option<AttemptEnd> {
    while let Some(frame) = body.frame().await {
        let Ok(bytes) = frame.ok()?.into_data() else {
            continue;
        };
        let chunk = Chunk::Body(bytes);
        match state.update_table(|table, now| table.on_output(now, id, chunk)) {
            FlowControl::Continue => {}
            FlowControl::Pause => signals.resume.notified().await,
            FlowControl::Stop => break,
        }
    }
    Some(AttemptEnd::Done(FinishReason::Stop))
}

fn is_end_to_end(name: &str) -> bool {
    !HOP_BY_HOP.contains(&name)
}

fn request_head(head: &CallHead) -> Option<(Method, HeaderMap)> {
    if !head.path.starts_with('/') {
        // A path without a leading slash could change the address of the request.
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

fn response_headers(headers: &HeaderMap) -> BTreeMap<String, String> {
    let mut joined: BTreeMap<String, String> = BTreeMap::new();
    for (name, value) in headers {
        let Ok(value) = value.to_str() else {
            continue;
        };
        if !is_end_to_end(name.as_str()) {
            continue;
        }
        joined
            .entry(name.to_string())
            .and_modify(|before| {
                before.push_str(", ");
                before.push_str(value);
            })
            .or_insert_with(|| value.to_owned());
    }
    joined
}
