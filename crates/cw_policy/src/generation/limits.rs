//! The limits that a generation is held to.

use std::time::Duration;

use cw_macro::data;
use cw_types::units::DurationText;
use serde_with::serde_as;

/// How long a generation waits for what, and how often it tries.
#[serde_as]
#[data(Eq)]
pub struct Limits {
    /// How long a link may carry no frame.
    #[serde_as(as = "DurationText")]
    pub silence: Duration,
    /// How long an engine may produce nothing for an attempt that has begun its output.
    #[serde_as(as = "DurationText")]
    pub stall: Duration,
    /// How long an engine may take to begin the output of a resumed attempt.
    #[serde_as(as = "DurationText")]
    pub first: Duration,
    /// How long the first frame of a dispatched attempt may take.
    #[serde_as(as = "DurationText")]
    pub head: Duration,
    /// How long the first frame after a re-attachment may take.
    #[serde_as(as = "DurationText")]
    pub reattach: Duration,
    /// The pause before targets that were all busy are asked again for a lost attempt.
    #[serde_as(as = "DurationText")]
    pub backoff: Duration,
    /// The pause before the second re-attachment to work that may run once; it grows with each.
    #[serde_as(as = "DurationText")]
    pub pause: Duration,
    /// The most attempts.
    pub attempts: u32,
    /// The most targets that are asked before a first attempt is refused as overloaded.
    pub tries: u32,
    /// How many attempts replace one that has gone silent or stalled.
    pub hedges: u32,
    /// How many tokens between two crashes show that the request did not cause both.
    pub progress: u64,
    /// After how many crashes of engines that ran the request it is judged.
    pub crashes: u32,
    /// How long the caller may be gone.
    #[serde_as(as = "DurationText")]
    pub absence: Duration,
    /// How many tokens stay with the agent after they were passed on.
    pub window: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            silence: Duration::from_millis(600),
            stall: Duration::from_millis(1200),
            first: Duration::from_millis(2400),
            head: Duration::from_millis(1000),
            reattach: Duration::from_millis(400),
            backoff: Duration::from_millis(100),
            pause: Duration::from_millis(500),
            attempts: 8,
            tries: 3,
            hedges: 2,
            progress: 16,
            crashes: 2,
            absence: Duration::from_secs(30),
            window: 4096,
        }
    }
}
