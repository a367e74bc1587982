//! How fast the stand-in is.

use std::time::Duration;

/// The speed and the size of a stand-in engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineTimings {
    /// The time of one step of an empty batch.
    pub step: Duration,
    /// What each sequence in the batch adds to a step.
    pub per_sequence: Duration,
    /// What each uncached prompt token adds to the step that processes it.
    pub per_token: Duration,
    /// The most sequences in a batch.
    pub max_batch: usize,
    /// The most requests that wait before more are refused.
    pub max_queue: usize,
    /// The tokens that the cache holds, those of running sequences included.
    pub cache_tokens: u64,
    /// How old a load report may be.
    pub report_lag: Duration,
    /// How late cache events come.
    pub event_lag: Duration,
    /// Every so many cache events one is lost; zero for none.
    pub event_loss: u64,
    /// How long the engine takes to come back after it crashed by itself.
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
