//! What one run shows about the version that it ran at.

use std::time::Duration;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// With an answer.
    Answered,
    /// With an error of the version itself, or with a broken or garbled answer.
    Failed,
    /// With the loss of its connection, which is a failure of a host or a link.
    Lost,
    /// Without telling anything: the caller left, or the target was at its limit.
    Dropped,
}

/// What one run shows about the version that it ran at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunOutcome {
    /// How it ended.
    pub end: RunEnd,
    /// The time from the send to the first part of the answer, unless [`super::Rollouts::record_first`] has recorded it.
    pub first: Option<Duration>,
    /// The longest time between two parts of the answer.
    pub pause: Option<Duration>,
}
