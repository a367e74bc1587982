//! The load of a target.

use std::time::Duration;

use cw_macro::data;
use cw_types::TokenCount;

/// The load of a target, as measured by its agent.
#[data(Copy, Default)]
#[serde(default)]
pub struct Load {
    /// The number of attempts that the engine runs.
    pub running: u32,
    /// The number of attempts that wait at the agent or in the engine.
    pub waiting: u32,
    /// The maximum number of attempts that the agent currently runs at once.
    pub limit: u32,
    /// The number of tokens in the cache of the engine.
    pub cached: TokenCount,
    /// The capacity of the cache of the engine, in tokens.
    pub capacity: TokenCount,
    /// The number of prompt tokens that wait for prefill.
    pub prefill: TokenCount,
    /// The recent inter-token latency, smoothed.
    pub step: Duration,
    /// The time from the start of the agent's incarnation to the measurement of the load; the
    /// source of a [`crate::Stamp`].
    pub age: Duration,
}
