//! One attempt, as its generation follows it.

use std::time::Duration;

use cw_types::AttemptNo;
use cw_types::TargetId;
use cw_types::Time;
use cw_types::TokenId;

use super::GenerationLimits;
use super::LinkId;

/// What the present link of an attempt waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The writing of its claim; nothing is sent.
    Claiming,
    /// The first frame after the dispatch.
    Dispatched,
    /// The first frame after a re-attachment.
    Reattached,
    /// The next frame.
    Flowing,
    /// The time to try a re-attachment again; there is no link.
    Pausing,
    /// The agent's word on whether the attempt was run; there is no link.
    Proving,
}

/// One attempt, as its generation follows it.
#[derive(Clone, Debug)]
pub(super) struct Track {
    /// The attempt.
    pub(super) attempt: AttemptNo,
    /// Where it runs.
    pub(super) target: TargetId,
    /// The link in use.
    pub(super) link: LinkId,
    /// What the link waits for.
    pub(super) phase: Phase,
    /// When the last frame came, or the link was opened.
    pub(super) heard: Time,
    /// When the last output came, or the attempt was dispatched.
    pub(super) moved: Time,
    /// The output that it was dispatched with; `None` when another entry dispatched it.
    pub(super) so_far: Option<Vec<TokenId>>,
    /// Whether it continues or repeats an earlier attempt.
    pub(super) resumed: bool,
    /// Whether output of it has come.
    pub(super) begun: bool,
    /// Whether its engine has stalled and others were asked to replace it.
    pub(super) stalled: bool,
    /// Re-attachments since output of it last came.
    pub(super) reattached: u32,
}

impl Track {
    /// Returns whether frames may come over its link.
    pub(super) fn is_linked(&self) -> bool {
        !matches!(self.phase, Phase::Pausing | Phase::Proving)
    }

    /// Returns when the link counts as silent, if it can.
    pub(super) fn deadline(&self, limits: &GenerationLimits) -> Option<Time> {
        match self.phase {
            Phase::Dispatched => Some(self.heard + limits.dispatch_timeout),
            Phase::Reattached => Some(self.heard + limits.attach_timeout),
            Phase::Flowing => Some(self.heard + limits.link_timeout),
            Phase::Pausing => Some(self.heard + limits.attach_backoff * self.reattached),
            Phase::Claiming | Phase::Proving => None,
        }
    }

    /// Returns how long the engine may be quiet, if that has a limit.
    pub(super) fn quiet_limit(&self, limits: &GenerationLimits, patience: Duration) -> Duration {
        match (self.begun, self.resumed) {
            (true, _) => limits.stall_timeout,
            (false, true) => limits.resume_timeout,
            (false, false) => patience,
        }
    }
}
