//! The state of one attempt.

use std::time::Duration;

use cw_types::ModelName;
use cw_types::Ran;
use cw_types::Time;
use cw_types::TokenCount;
use cw_types::VersionName;
use cw_types::WorkspaceId;
use cw_wire::Dispatch;
use cw_wire::Failure;
use cw_wire::Fingerprint;
use cw_wire::FinishReason;
use cw_wire::NotRunReason;
use cw_wire::Work;

use super::Output;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Its output is complete.
    Done(FinishReason),
    /// It failed after it may have reached the target.
    Failed {
        /// The cause, which readers receive in the last frame.
        failure: Failure,
        /// Whether it ran.
        ran: Ran,
    },
    /// It did not run at this target and never will.
    NotRun(NotRunReason),
}

/// The stage of an attempt, in the order of the variants.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Stage {
    /// It waits for admission.
    Waiting(Box<Dispatch>),
    /// It was sent to the target, or may have been.
    Running,
    /// It ended at this time.
    Ended(AttemptEnd, Time),
}

/// The state of one attempt.
#[derive(Clone, Debug)]
pub(super) struct AttemptState {
    /// The workspace; `None` for an attempt that ended before its dispatch was accepted.
    pub(super) workspace: Option<WorkspaceId>,
    /// Whether it may run more than once.
    pub(super) idempotent: bool,
    /// The fingerprint of its request.
    pub(super) fingerprint: Fingerprint,
    /// The model version that it is pinned to.
    pub(super) pin: Option<(ModelName, VersionName)>,
    pub(super) stage: Stage,
    /// The number of prompt tokens found in the cache, once the target has accepted the attempt.
    pub(super) accepted: Option<TokenCount>,
    pub(super) output: Output,
    /// The index below which some reader has received the output.
    pub(super) sent_until: u64,
    /// The number of streams that read it.
    pub(super) readers: u32,
    /// When its last reader left, or when it was created if it had none.
    pub(super) unread_since: Time,
    /// When the target last produced output for it, or when it started.
    pub(super) last_active: Time,
    /// Whether reading from the target is paused because its output buffer is full.
    pub(super) paused: bool,
    /// Whether a reader has received its last frame.
    pub(super) delivered: bool,
}

impl AttemptState {
    /// Returns a new, waiting attempt.
    pub(super) fn new(now: Time, dispatch: Dispatch) -> Self {
        let (pin, first) = match &dispatch.work {
            Work::Generate(work) => {
                let pin = (work.model.clone(), work.version.clone());
                (Some(pin), work.so_far.len() as u64)
            }
            Work::Call(_) => (None, 0),
        };
        Self {
            workspace: Some(dispatch.workspace.clone()),
            idempotent: dispatch.idempotent,
            fingerprint: dispatch.fingerprint,
            pin,
            stage: Stage::Waiting(Box::new(dispatch)),
            accepted: None,
            output: Output::new(first),
            sent_until: first,
            readers: 0,
            unread_since: now,
            last_active: now,
            paused: false,
            delivered: false,
        }
    }

    /// Returns an attempt that ended before its dispatch was accepted.
    pub(super) fn tombstone(now: Time, reason: NotRunReason) -> Self {
        Self {
            workspace: None,
            idempotent: true,
            fingerprint: Fingerprint::default(),
            pin: None,
            stage: Stage::Ended(AttemptEnd::NotRun(reason), now),
            accepted: None,
            output: Output::new(0),
            sent_until: 0,
            readers: 0,
            unread_since: now,
            last_active: now,
            paused: false,
            delivered: true,
        }
    }

    /// Returns whether it waits or runs.
    pub(super) fn is_live(&self) -> bool {
        !matches!(self.stage, Stage::Ended(..))
    }

    /// Returns whether it has output or may still produce some.
    pub(super) fn has_output(&self) -> bool {
        match self.stage {
            Stage::Ended(AttemptEnd::NotRun(_), _) => false,
            Stage::Ended(AttemptEnd::Failed { failure, .. }, _) => failure != Failure::Cancelled,
            _ => true,
        }
    }

    /// Returns how much of it ran, if it ended now.
    pub(super) fn ran(&self) -> Ran {
        match (&self.stage, &self.pin) {
            (Stage::Waiting(_) | Stage::Ended(AttemptEnd::NotRun(_), _), _) => Ran::No,
            (Stage::Ended(AttemptEnd::Failed { ran, .. }, _), _) => *ran,
            (Stage::Ended(AttemptEnd::Done(_), _), _) => Ran::Partly,
            (Stage::Running, Some(_)) => Ran::Partly,
            (Stage::Running, None) => Ran::Unknown,
        }
    }

    /// Returns how long the target has produced nothing although it was read from.
    pub(super) fn idle_time(&self, now: Time) -> Duration {
        match self.stage {
            Stage::Running if !self.paused => now.since(self.last_active),
            _ => Duration::ZERO,
        }
    }
}
