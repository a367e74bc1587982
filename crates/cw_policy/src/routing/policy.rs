//! The routing policies that the settings can select.

use cw_macro::data;

/// How a target is chosen among those that can run an attempt.
#[data(Copy, Default, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Rendezvous affinity with bounded load, by expected wait, distance and learned prefixes.
    #[default]
    Affinity,
    /// Each target in turn: a baseline.
    RoundRobin,
    /// The lowest reported load: a baseline.
    LeastReported,
    /// The lower reported load of two targets drawn at random: a baseline.
    PowerOfTwo,
}
