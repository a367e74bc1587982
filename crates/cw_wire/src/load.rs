//! The load of one target.

use std::time::Duration;

use cw_macro::data;
use cw_types::TokenCount;

/// A target's load, as its agent sees it.
#[data(Copy, Default)]
#[serde(default)]
pub struct Load {
    /// Attempts that the engine runs.
    pub running: u32,
    /// Attempts that wait at the agent or in the engine.
    pub waiting: u32,
    /// The most attempts that the agent lets run now.
    pub limit: u32,
    /// Tokens that the engine's cache holds.
    pub cached: TokenCount,
    /// Tokens that the engine's cache can hold.
    pub capacity: TokenCount,
    /// Prompt tokens that wait to be processed.
    pub prefill: TokenCount,
    /// The time between tokens, recent and smoothed.
    pub step: Duration,
    /// The age of the agent's life when this was read; the source of a [`crate::Stamp`].
    pub age: Duration,
}
