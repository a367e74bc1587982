//! What goes wrong in the key-value stand-in.

use std::time::Duration;

/// Faults that are switched on and off.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EtcdFaults {
    /// Whether every call is refused as unavailable.
    pub unavailable: bool,
    /// How much longer each call takes.
    pub delay: Duration,
    /// How many of the next writes take effect and lose their answer.
    pub lost_responses: u32,
    /// Whether watches say nothing.
    pub silent_watches: bool,
}
