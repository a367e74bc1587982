//! Callers that run side by side.

use std::time::Duration;
use std::time::Instant;

use tokio::task::JoinSet;

use crate::CallError;
use crate::Caller;
use crate::Completion;
use crate::CompletionRequest;

use super::Tally;

/// One request and what became of it.
#[derive(Debug)]
pub(super) struct Stream {
    /// The API key.
    pub(super) key: String,
    /// The request.
    pub(super) ask: CompletionRequest,
    /// When it was sent.
    pub(super) sent: Instant,
    /// When its outcome was known.
    pub(super) ended: Instant,
    /// What became of it.
    pub(super) outcome: Result<Completion, CallError>,
}

/// Requests that run side by side.
#[derive(Debug, Default)]
pub(super) struct Drive {
    tasks: JoinSet<Stream>,
}

impl Drive {
    /// Sends one more request.
    pub(super) fn send(&mut self, caller: Caller, ask: CompletionRequest) {
        self.tasks.spawn(async move {
            let sent = Instant::now();
            let outcome = caller.complete(&ask).await;
            Stream {
                key: caller.api_key,
                ask,
                sent,
                ended: Instant::now(),
                outcome,
            }
        });
    }

    /// Waits for all outcomes.
    pub(super) async fn finish(self) -> Vec<Stream> {
        self.tasks.join_all().await
    }
}

impl Stream {
    /// Returns how long the first token took, if it came.
    pub(super) fn first_token(&self) -> Option<Duration> {
        let answer = self.outcome.as_ref().ok()?;
        Some(answer.first_token_at()? - self.sent)
    }
}

/// Compares all answers with what they should be.
pub(super) fn tally(streams: &[Stream]) -> Tally {
    let mut tally = Tally::default();
    for stream in streams {
        tally.add(&stream.ask, &stream.outcome);
    }
    tally
}
