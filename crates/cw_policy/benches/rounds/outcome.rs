//! What the loop measures.

/// What was measured.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// Times to first token of answered requests, in seconds, by whether they are long.
    pub(crate) first: [Vec<f64>; 2],
    /// Times from a loss until the resumed output goes on, in seconds.
    pub(crate) resumed: Vec<f64>,
    /// Requests that ran out of patience.
    pub(crate) refused: u32,
    /// Answers of targets that they were full.
    pub(crate) busy: u32,
    /// Prompt tokens, and those of them that were cached.
    pub(crate) tokens: u64,
    /// Prompt tokens that were cached.
    pub(crate) cached: u64,
    /// Samples of the largest load over the mean load of live targets.
    pub(crate) peaks: Vec<f64>,
}
