//! Counters of the work that the fake engine has done.

use std::collections::BTreeMap;

/// The work done for one request id.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestCounters {
    /// Admissions to a batch.
    pub runs: u64,
    /// Prompt tokens computed, without cached ones.
    pub prompt_tokens: u64,
    /// Output tokens computed.
    pub output_tokens: u64,
}

/// The work that an engine has done, summed over all restarts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineCounters {
    /// The counters of each request, by request id.
    pub requests: BTreeMap<String, RequestCounters>,
    /// Prompt tokens computed, without cached ones.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Output tokens computed.
    pub output_tokens: u64,
    /// Resumed requests whose output so far differs from what this engine would have generated.
    pub output_mismatches: u64,
    /// Requests refused because the queue was full or they exceeded the cache.
    pub refused: u64,
    /// Requests cancelled by an abort call or a closed connection.
    pub cancelled: u64,
    /// Crashes caused by a prompt with [`POISON`](super::POISON).
    pub crashes: u64,
    /// Orders refused because of an old fencing number.
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

    /// Counts the output of a request when it leaves the batch.
    pub(super) fn count_output(&mut self, id: &str, count: u64) {
        self.output_tokens += count;
        self.requests
            .entry(id.to_owned())
            .or_default()
            .output_tokens += count;
    }
}
