//! Requests that run concurrently, and their outcomes.

use std::time::Duration;
use std::time::Instant;

use tokio::task::JoinSet;

use crate::CallError;
use crate::Caller;
use crate::Completion;
use crate::CompletionRequest;

use super::Tally;

/// A request and its outcome.
#[derive(Debug)]
pub(super) struct CompletedRequest {
    /// The API key that it was sent with.
    pub(super) key: String,
    /// The request as it was sent.
    pub(super) ask: CompletionRequest,
    /// When it was sent.
    pub(super) sent_at: Instant,
    /// When its outcome was known.
    pub(super) ended_at: Instant,
    /// The answer or the error.
    pub(super) outcome: Result<Completion, CallError>,
}

/// Requests that run concurrently.
#[derive(Debug, Default)]
pub(super) struct ConcurrentRequests {
    tasks: JoinSet<CompletedRequest>,
}

impl ConcurrentRequests {
    /// Starts a task that sends a request and reads its answer.
    pub(super) fn send(&mut self, caller: Caller, ask: CompletionRequest) {
        self.tasks.spawn(async move {
            let sent_at = Instant::now();
            let outcome = caller.complete(&ask).await;
            CompletedRequest {
                key: caller.api_key,
                ask,
                sent_at,
                ended_at: Instant::now(),
                outcome,
            }
        });
    }

    /// Waits until all requests have ended.
    pub(super) async fn finish(self) -> Vec<CompletedRequest> {
        self.tasks.join_all().await
    }
}

impl CompletedRequest {
    /// Returns the time to the first token, if one came.
    pub(super) fn first_token(&self) -> Option<Duration> {
        let answer = self.outcome.as_ref().ok()?;
        Some(answer.first_token_at()? - self.sent_at)
    }
}

/// Compares all answers with the expected ones.
pub(super) fn tally(requests: &[CompletedRequest]) -> Tally {
    let mut tally = Tally::default();
    for request in requests {
        tally.add(&request.ask, &request.outcome);
    }
    tally
}
