//! The speed and capacity of the fake engine.

use std::time::Duration;

/// The speed and capacity of a fake engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineTimings {
    /// The base duration of a step, without sequences.
    pub step: Duration,
    /// The time that each sequence in the batch adds to a step.
    pub per_sequence: Duration,
    /// The time that each uncached prompt token adds to the step that processes it.
    pub per_token: Duration,
    /// The maximum number of sequences in a batch.
    pub max_batch: usize,
    /// The maximum number of waiting requests. Further ones are refused.
    pub max_queue: usize,
    /// The capacity of the cache in tokens, including those of running sequences.
    pub cache_tokens: u64,
    /// The maximum age of a load report.
    pub report_lag: Duration,
    /// The delay of cache events.
    pub event_lag: Duration,
    /// One in this many cache events is lost. Zero loses none.
    pub event_loss: u64,
    /// The delay of the automatic restart after a crash.
    pub restart_delay: Duration,
}

impl Default for EngineTimings {
    fn default() -> Self {
        Self {
            step: Duration::from_millis(10),
            per_sequence: Duration::from_micros(100),
            per_token: Duration::from_micros(20),
            max_batch: 32,
            max_queue: 64,
            cache_tokens: 64 << 10,
            report_lag: Duration::from_millis(500),
            event_lag: Duration::from_millis(500),
            event_loss: 50,
            restart_delay: Duration::from_secs(2),
        }
    }
}
