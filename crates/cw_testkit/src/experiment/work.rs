//! What the engines computed beyond what was delivered.

use std::time::Duration;

use cw_macro::data;

use crate::FakeEngine;

/// The pause between two looks whether the engines are idle.
const IDLE_PAUSE: Duration = Duration::from_millis(20);
/// How long engines may take to become idle.
const IDLE_LIMIT: Duration = Duration::from_secs(60);

/// What the engines computed.
#[data(Copy, Default, Eq)]
pub(super) struct Work {
    /// Output tokens.
    pub output: u64,
    /// Prompt tokens, cached ones excluded.
    pub prompt: u64,
    /// Prompt tokens that were found in a cache.
    pub cached: u64,
    /// Prompt tokens of second and later attempts, cached ones excluded.
    pub again: u64,
    /// Resumed requests whose output so far was not what the engine would have produced.
    pub wrong: u64,
}

impl Work {
    /// Adds up what engines have computed since they started.
    pub(super) fn of(engines: &[FakeEngine]) -> Self {
        let mut work = Self::default();
        for engine in engines {
            let counters = engine.counters();
            work.output += counters.output_tokens;
            work.prompt += counters.prompt_tokens;
            work.cached += counters.cached_tokens;
            work.wrong += counters.output_mismatches;
            let later = counters.requests.iter().filter(|(id, _)| is_later(id));
            work.again += later.map(|(_, request)| request.prompt_tokens).sum::<u64>();
        }
        work
    }

    /// Returns what was computed since `earlier`.
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

/// Returns whether a request id, `GENERATION/ATTEMPT`, is of a second or later attempt.
fn is_later(id: &str) -> bool {
    id.rsplit_once('/')
        .is_some_and(|(_, attempt)| attempt != "1")
}

/// Waits until no engine has anything to do, so that its counters are whole.
pub(super) async fn wait_idle(engines: &[FakeEngine]) {
    let idle = async {
        for engine in engines {
            while engine.request_count().await > 0 {
                tokio::time::sleep(IDLE_PAUSE).await;
            }
        }
    };
    // Engines that never become idle leave their last outputs uncounted, which shows as less.
    let _ = tokio::time::timeout(IDLE_LIMIT, idle).await;
}
