//! The timeouts and retry limits of a generation.

use std::time::Duration;

use cw_macro::data;
use cw_types::DurationText;
use serde_with::serde_as;

/// The timeouts and retry limits of a generation.
#[serde_as]
#[data(Eq)]
pub struct GenerationLimits {
    /// The longest time without a frame on a link.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "silence")]
    pub link_timeout: Duration,
    /// The longest time without output from an engine after the attempt's first output.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "stall")]
    pub stall_timeout: Duration,
    /// The longest time until the first output of a resumed attempt.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "first")]
    pub resume_timeout: Duration,
    /// The longest time until the first frame of a dispatched attempt.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "head")]
    pub dispatch_timeout: Duration,
    /// The longest time until the first frame after a reattachment.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "reattach")]
    pub attach_timeout: Duration,
    /// The delay before a lost attempt is offered again to targets that were all busy.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "backoff")]
    pub busy_backoff: Duration,
    /// The delay before the second reattachment to non-idempotent work; it grows linearly with the
    /// number of reattachments.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "pause")]
    pub attach_backoff: Duration,
    /// The maximum number of attempts.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// The number of refusals after which a request that has not run is queued, and a lost attempt
    /// waits for `busy_backoff`.
    #[serde(rename = "tries")]
    pub max_refusals: u32,
    /// The number of concurrent attempts that replace one that is lost or stalled.
    pub hedges: u32,
    /// The number of tokens between two crashes that shows that the request did not cause both.
    #[serde(rename = "progress")]
    pub crash_progress: u64,
    /// The number of crashes of engines running the request after which the request is checked as
    /// their cause.
    #[serde(rename = "crashes")]
    pub max_crashes: u32,
    /// The time after which the generation of a disconnected caller is cancelled.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "absence")]
    pub caller_timeout: Duration,
    /// The number of delivered tokens that the agent retains.
    #[serde(rename = "window")]
    pub resend_window: u64,
}

impl Default for GenerationLimits {
    fn default() -> Self {
        Self {
            link_timeout: Duration::from_millis(600),
            stall_timeout: Duration::from_millis(1200),
            resume_timeout: Duration::from_millis(2400),
            dispatch_timeout: Duration::from_millis(1000),
            attach_timeout: Duration::from_millis(400),
            busy_backoff: Duration::from_millis(100),
            attach_backoff: Duration::from_millis(500),
            max_attempts: 8,
            max_refusals: 3,
            hedges: 2,
            crash_progress: 16,
            max_crashes: 2,
            caller_timeout: Duration::from_secs(30),
            resend_window: 4096,
        }
    }
}
