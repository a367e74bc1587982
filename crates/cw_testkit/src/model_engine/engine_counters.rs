//! What the stand-in has done.

use std::collections::BTreeMap;

/// What was done for one request id.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestCounters {
    /// How many times it was admitted to a batch.
    pub runs: u64,
    /// Prompt tokens computed, cached ones excluded.
    pub prompt_tokens: u64,
    /// Output tokens computed.
    pub output_tokens: u64,
}

/// What an engine has done in all its lives.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineCounters {
    /// By request id.
    pub requests: BTreeMap<String, RequestCounters>,
    /// Prompt tokens computed, cached ones excluded.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Output tokens computed.
    pub output_tokens: u64,
    /// Resumed requests whose output so far is not what this engine would have produced.
    pub output_mismatches: u64,
    /// Requests refused because the queue was full.
    pub refused: u64,
    /// Requests cancelled by a call or a closed connection.
    pub cancelled: u64,
    /// Crashes by a poisonous prompt.
    pub crashes: u64,
    /// Orders refused for an old fencing number.
    pub fenced_orders: u64,
}

impl EngineCounters {
    /// Counts the admission of a request to a batch.
    pub(super) fn count_run(&mut self, id: &str, computed: u64, cached: u64) {
        self.prompt_tokens += computed;
        self.cached_tokens += cached;
        let request = self.requests.entry(id.to_owned()).or_default();
        request.runs += 1;
        request.prompt_tokens += computed;
    }

    /// Counts output at the end of a request's time in a batch.
    pub(super) fn count_output(&mut self, id: &str, count: u64) {
        self.output_tokens += count;
        self.requests
            .entry(id.to_owned())
            .or_default()
            .output_tokens += count;
    }
}
