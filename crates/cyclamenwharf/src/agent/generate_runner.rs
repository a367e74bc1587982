//! Running an attempt on a model engine.

use std::sync::Arc;
use std::time::Duration;

use cw_policy::AttemptEnd;
use cw_policy::Chunk;
use cw_policy::FlowControl;
use cw_types::AttemptId;
use cw_types::Ran;
use cw_wire::Failure;
use cw_wire::FinishReason;
use cw_wire::Generate;
use cw_wire::NotRunReason;
use futures::StreamExt;
use http::StatusCode;
use hyper::body::Incoming;
use log::debug;
use log::warn;

use super::agent_state::AgentState;
use super::attempt_signals::AttemptSignals;
use super::engine_json::CompletionEvent;
use super::engine_json::CompletionRequest;
use super::engine_json::remaining_tokens;
use super::sse;

/// The timeout for an abort request.
const ABORT_TIMEOUT: Duration = Duration::from_secs(2);
/// The data of the last event of a stream.
const DONE_MARKER: &str = "[DONE]";

/// The end of an attempt whose engine sends an invalid event.
const INVALID_EVENT: AttemptEnd = AttemptEnd::Failed {
    failure: Failure::TargetError,
    ran: Ran::Partly,
};

/// The outcome of a run.
enum Outcome {
    /// The engine finished or refused the attempt.
    End(AttemptEnd),
    /// The connection to the engine broke.
    Disconnected,
    /// The attempt table has already ended the attempt.
    Stopped,
}

/// Runs an attempt until it ends or is aborted.
pub(super) async fn run(
    state: &Arc<AgentState>,
    id: AttemptId,
    rank: u8,
    work: Generate,
    signals: &AttemptSignals,
) {
    let outcome = tokio::select! {
        outcome = generate(state, id, rank, work, signals) => outcome,
        () = signals.abort.cancelled() => Outcome::Stopped,
    };
    match outcome {
        Outcome::End(end) => state.apply_event(|table, now| table.on_end(now, id, end)),
        Outcome::Disconnected => {
            state.apply_event(|table, now| table.on_disconnect(now, id));
            state.check_target.notify_one();
        }
        Outcome::Stopped => send_abort(state, id),
    }
}

/// Sends an abort to the engine, which may not notice the closed connection while it is paused.
fn send_abort(state: &Arc<AgentState>, id: AttemptId) {
    let engine = state.target_client.clone();
    state.supervisor.spawn(async move {
        if let Err(error) = engine.abort(id, ABORT_TIMEOUT).await {
            debug!(generation = id.generation.to_string(), attempt = id.attempt.0; "cannot send an abort to the engine: {error}");
        }
    });
}

async fn generate(
    state: &Arc<AgentState>,
    id: AttemptId,
    rank: u8,
    work: Generate,
    signals: &AttemptSignals,
) -> Outcome {
    if remaining_tokens(&work) == 0 {
        return Outcome::End(AttemptEnd::Done(FinishReason::Length));
    }
    let (path, body) = CompletionRequest::new(id, rank, &work);
    let sent = state.target_client.post(path, &body).await;
    // The prompt is not needed during a long run, so its memory is released.
    drop(work);
    let response = match sent {
        Ok(response) => response,
        Err(error) if error.had_no_effect() => {
            state.check_target.notify_one();
            return Outcome::End(AttemptEnd::NotRun(NotRunReason::TargetDown));
        }
        Err(error) => {
            warn!(generation = id.generation.to_string(), attempt = id.attempt.0; "{error}");
            return Outcome::Disconnected;
        }
    };
    match status_error(response.status()) {
        Some(end) => Outcome::End(end),
        None => read_events(state, id, response.into_body(), signals).await,
    }
}

fn status_error(status: StatusCode) -> Option<AttemptEnd> {
    let failed = |ran| AttemptEnd::Failed {
        failure: Failure::TargetError,
        ran,
    };
    match status {
        StatusCode::OK => None,
        StatusCode::NOT_FOUND => Some(AttemptEnd::NotRun(NotRunReason::WrongVersion)),
        StatusCode::SERVICE_UNAVAILABLE => Some(AttemptEnd::NotRun(NotRunReason::Busy)),
        status if status.is_client_error() => Some(failed(Ran::No)),
        _ => Some(failed(Ran::Partly)),
    }
}

async fn read_events(
    state: &Arc<AgentState>,
    id: AttemptId,
    body: Incoming,
    signals: &AttemptSignals,
) -> Outcome {
    let mut events = sse::events(body);
    while let Some(Ok(data)) = events.next().await {
        if data == DONE_MARKER {
            break;
        }
        let Ok(event) = serde_json::from_str(&data) else {
            warn!(generation = id.generation.to_string(), attempt = id.attempt.0; "the engine sent an event that cannot be parsed");
            return Outcome::End(INVALID_EVENT);
        };
        if let Some(outcome) = handle_event(state, id, event, signals).await {
            return outcome;
        }
    }
    // The stream ended without a finish reason.
    Outcome::Disconnected
}

/// Applies an event to the attempt table, and returns the outcome if the run has ended.
async fn handle_event(
    state: &Arc<AgentState>,
    id: AttemptId,
    event: CompletionEvent,
    signals: &AttemptSignals,
) -> Option<Outcome> {
    if let Some(cached) = event.cached_tokens() {
        state.apply_event(|table, now| table.on_accepted(now, id, cached));
    }
    let Some((tokens, finish)) = event.output() else {
        return Some(Outcome::End(INVALID_EVENT));
    };
    if !tokens.is_empty() {
        let chunk = Chunk::Tokens(tokens);
        match state.update_table(|table, now| table.on_output(now, id, chunk)) {
            FlowControl::Continue => {}
            FlowControl::Pause => signals.resume.notified().await,
            FlowControl::Stop => return Some(Outcome::Stopped),
        }
    }
    finish.map(|finish| Outcome::End(AttemptEnd::Done(finish)))
}
