//! The measurements of a simulation.

/// The measurements of a simulation after its first quarter, the warm-up.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// The times to first token of answered requests, in seconds: of short ones, and of long ones.
    pub(crate) first_token: [Vec<f64>; 2],
    /// The times from the loss of a zone until resumed output goes on, in seconds.
    pub(crate) resumed: Vec<f64>,
    /// The requests that were refused because they waited too long.
    pub(crate) refused: u32,
    /// The refusals of targets that were full or lost.
    pub(crate) busy: u32,
    /// The prompt tokens of answered requests that were not resumed.
    pub(crate) tokens: u64,
    /// The tokens among these that were cached.
    pub(crate) cached: u64,
    /// Samples of the ratio of the largest load to the mean load of live targets.
    pub(crate) peak_ratios: Vec<f64>,
}
