//! The tokens that engines have computed.

use std::time::Duration;

use cw_macro::data;

use crate::FakeEngine;

/// How often a busy engine is polled until it is idle.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long to wait in total until all engines are idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Counters of the computation in all engines.
#[data(Copy, Default, Eq)]
pub(super) struct EngineWork {
    /// Output tokens computed.
    pub output: u64,
    /// Prompt tokens computed, without cached ones.
    pub prompt: u64,
    /// Prompt tokens found in a prefix cache.
    pub cached: u64,
    /// Prompt tokens computed by second and later attempts, without cached ones.
    pub again: u64,
    /// Resumed requests whose output prefix differs from what the engine would have produced.
    pub wrong: u64,
}

impl EngineWork {
    /// Returns the sum of the engines' counters since they started.
    pub(super) fn of(engines: &[FakeEngine]) -> Self {
        let mut sum = Self::default();
        for engine in engines {
            let counters = engine.counters();
            sum.output += counters.output_tokens;
            sum.prompt += counters.prompt_tokens;
            sum.cached += counters.cached_tokens;
            sum.wrong += counters.output_mismatches;
            let retries = counters.requests.iter().filter(|(id, _)| is_retry(id));
            sum.again += retries
                .map(|(_, request)| request.prompt_tokens)
                .sum::<u64>();
        }
        sum
    }

    /// Returns the difference to an earlier reading of the counters.
    #[must_use]
    pub(super) fn since(self, earlier: Self) -> Self {
        Self {
            output: self.output - earlier.output,
            prompt: self.prompt - earlier.prompt,
            cached: self.cached - earlier.cached,
            again: self.again - earlier.again,
            wrong: self.wrong - earlier.wrong,
        }
    }
}

/// Returns whether a request id `GENERATION/ATTEMPT` belongs to a second or later attempt.
fn is_retry(id: &str) -> bool {
    id.rsplit_once('/')
        .is_some_and(|(_, attempt)| attempt != "1")
}

/// Waits until every engine is idle, so that its counters are final.
pub(super) async fn wait_idle(engines: &[FakeEngine]) {
    let idle = async {
        for engine in engines {
            while engine.request_count().await > 0 {
                tokio::time::sleep(IDLE_POLL_INTERVAL).await;
            }
        }
    };
    // After the time limit, the work that is still running is missing from the counters.
    let _ = tokio::time::timeout(IDLE_TIMEOUT, idle).await;
}
