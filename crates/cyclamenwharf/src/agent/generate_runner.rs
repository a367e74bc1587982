//! Runs one attempt on a model engine.

use std::sync::Arc;
use std::time::Duration;

use cw_policy::Chunk;
use cw_policy::End;
use cw_policy::Flow;
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
use super::engine_json::Completion;
use super::engine_json::Event;
use super::engine_json::remaining;
use super::signal::Signal;
use super::sse;

/// How long the engine may take to answer an abort.
const ABORT_TIMEOUT: Duration = Duration::from_secs(2);
/// The data of the event that closes a stream.
const CLOSING: &str = "[DONE]";

/// How an attempt ends whose engine sends what makes no sense.
const NONSENSE: End = End::Failed {
    failure: Failure::TargetError,
    ran: Ran::Partly,
};

/// How a run came to its end.
enum Outcome {
    /// The engine ended it, or refused it.
    End(End),
    /// The connection broke.
    Break,
    /// The table has ended it already.
    Stopped,
}

/// Runs one attempt to its end, or until it is aborted.
pub(super) async fn run(
    state: &Arc<AgentState>,
    id: AttemptId,
    rank: u8,
    work: Generate,
    signal: &Signal,
) {
    let outcome = tokio::select! {
        outcome = generate(state, id, rank, work, signal) => outcome,
        () = signal.abort.cancelled() => Outcome::Stopped,
    };
    match outcome {
        Outcome::End(end) => state.tell(|table, now| table.on_end(now, id, end)),
        Outcome::Break => {
            state.tell(|table, now| table.on_break(now, id));
            state.check.notify_one();
        }
        Outcome::Stopped => abort(state, id),
    }
}

/// Tells the engine too: it may not notice the closed connection while it is paused.
fn abort(state: &Arc<AgentState>, id: AttemptId) {
    let engine = state.engine.clone();
    state.supervisor.spawn(async move {
        if let Err(error) = engine.abort(id, ABORT_TIMEOUT).await {
            debug!(generation = id.generation.to_string(), attempt = id.attempt.0; "the engine was not told of an abort: {error}");
        }
    });
}

async fn generate(
    state: &Arc<AgentState>,
    id: AttemptId,
    rank: u8,
    work: Generate,
    signal: &Signal,
) -> Outcome {
    if remaining(&work) == 0 {
        return Outcome::End(End::Done(FinishReason::Length));
    }
    let (path, body) = Completion::new(id, rank, &work);
    let sent = state.engine.post(path, &body).await;
    // A long run must not keep its prompt.
    drop(work);
    let response = match sent {
        Ok(response) => response,
        Err(error) if error.is_harmless() => {
            state.check.notify_one();
            return Outcome::End(End::NotRun(NotRunReason::TargetDown));
        }
        Err(error) => {
            warn!(generation = id.generation.to_string(), attempt = id.attempt.0; "{error}");
            return Outcome::Break;
        }
    };
    match refusal(response.status()) {
        Some(end) => Outcome::End(end),
        None => read(state, id, response.into_body(), signal).await,
    }
}

fn refusal(status: StatusCode) -> Option<End> {
    let failed = |ran| End::Failed {
        failure: Failure::TargetError,
        ran,
    };
    match status {
        StatusCode::OK => None,
        StatusCode::NOT_FOUND => Some(End::NotRun(NotRunReason::WrongVersion)),
        StatusCode::SERVICE_UNAVAILABLE => Some(End::NotRun(NotRunReason::Busy)),
        status if status.is_client_error() => Some(failed(Ran::No)),
        _ => Some(failed(Ran::Partly)),
    }
}

async fn read(state: &Arc<AgentState>, id: AttemptId, body: Incoming, signal: &Signal) -> Outcome {
    let mut events = sse::events(body);
    while let Some(Ok(data)) = events.next().await {
        if data == CLOSING {
            break;
        }
        let Ok(event) = serde_json::from_str(&data) else {
            warn!(generation = id.generation.to_string(), attempt = id.attempt.0; "the engine sent an event that makes no sense");
            return Outcome::End(NONSENSE);
        };
        if let Some(outcome) = take(state, id, event, signal).await {
            return outcome;
        }
    }
    // A stream that ends before its finish was cut off.
    Outcome::Break
}

/// Passes an event on; returns how the run ended, if it did.
async fn take(
    state: &Arc<AgentState>,
    id: AttemptId,
    event: Event,
    signal: &Signal,
) -> Option<Outcome> {
    if let Some(cached) = event.cached() {
        state.tell(|table, now| table.on_accepted(now, id, cached));
    }
    let Some((tokens, finish)) = event.output() else {
        return Some(Outcome::End(NONSENSE));
    };
    if !tokens.is_empty() {
        let chunk = Chunk::Tokens(tokens);
        match state.decide(|table, now| table.on_output(now, id, chunk)) {
            Flow::Go => {}
            Flow::Hold => signal.resume.notified().await,
            Flow::Stop => return Some(Outcome::Stopped),
        }
    }
    finish.map(|finish| Outcome::End(End::Done(finish)))
}
