//! The state of one attempt, as tracked by its generation.

use std::time::Duration;

use cw_types::AttemptNo;
use cw_types::TargetId;
use cw_types::Time;
use cw_types::TokenId;

use super::GenerationLimits;
use super::LinkId;

/// What an attempt is waiting for on its current link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The write of the attempt's claim; nothing has been sent.
    Claiming,
    /// The first frame after the dispatch.
    Dispatched,
    /// The first frame after a reattachment.
    Reattached,
    /// The next frame.
    Streaming,
    /// The delay before another reattachment; there is no link.
    BackingOff,
    /// The agent's reply on whether the attempt was run; there is no link.
    ConfirmingCancel,
}

/// The state of one attempt, as tracked by its generation.
#[derive(Clone, Debug)]
pub(super) struct TrackedAttempt {
    /// The number of the attempt.
    pub(super) attempt: AttemptNo,
    /// The target that runs the attempt.
    pub(super) target: TargetId,
    /// The current link.
    pub(super) link: LinkId,
    /// What the attempt is waiting for.
    pub(super) phase: Phase,
    /// The time at which the last frame arrived, or the link was opened.
    pub(super) last_frame: Time,
    /// The time at which the last output arrived, or the attempt was dispatched.
    pub(super) last_output: Time,
    /// The output that the attempt was dispatched with; `None` if another entry dispatched it.
    pub(super) dispatched_output: Option<Vec<TokenId>>,
    /// Whether the attempt continues or repeats an earlier one.
    pub(super) resumed: bool,
    /// Whether the attempt has produced output.
    pub(super) has_output: bool,
    /// Whether the engine has stalled; idempotent work then has replacement attempts.
    pub(super) stalled: bool,
    /// The number of reattachments since the last output.
    pub(super) reattach_count: u32,
}

impl TrackedAttempt {
    /// Returns whether frames may arrive over the link.
    pub(super) fn has_link(&self) -> bool {
        !matches!(self.phase, Phase::BackingOff | Phase::ConfirmingCancel)
    }

    /// Returns the time at which the present wait times out, if it has a limit.
    pub(super) fn deadline(&self, limits: &GenerationLimits) -> Option<Time> {
        match self.phase {
            Phase::Dispatched => Some(self.last_frame + limits.dispatch_timeout),
            Phase::Reattached => Some(self.last_frame + limits.attach_timeout),
            Phase::Streaming => Some(self.last_frame + limits.link_timeout),
            Phase::BackingOff => {
                Some(self.last_frame + limits.attach_backoff * self.reattach_count)
            }
            Phase::Claiming | Phase::ConfirmingCancel => None,
        }
    }

    /// Returns the longest time that the engine may run without output.
    pub(super) fn output_timeout(
        &self,
        limits: &GenerationLimits,
        start_timeout: Duration,
    ) -> Duration {
        match (self.has_output, self.resumed) {
            (true, _) => limits.stall_timeout,
            (false, true) => limits.resume_timeout,
            (false, false) => start_timeout,
        }
    }
}
