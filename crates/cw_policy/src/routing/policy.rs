//! The ways of choosing, which can be switched.

use cw_macro::data;

/// How a target is chosen among those that can run an attempt.
#[data(Copy, Default, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Rendezvous affinity with bounded load, expected wait, distance and learned prefixes.
    #[default]
    Affinity,
    /// Each target in turn: a baseline.
    RoundRobin,
    /// The lowest reported load: a baseline.
    LeastReported,
    /// The better one of two drawn at random, by reported load: a baseline.
    PowerOfTwo,
}
