//! What is known of one attempt.

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
pub enum End {
    /// Its output is whole.
    Done(FinishReason),
    /// It failed after it may have reached its target.
    Failed {
        /// Why.
        failure: Failure,
        /// Whether it was run.
        ran: Ran,
    },
    /// Nothing of it reached its target, and nothing will.
    NotRun(NotRunReason),
}

/// Where an attempt is.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Stage {
    /// It waits for its turn.
    Waiting(Box<Dispatch>),
    /// Its target has it, or may have it.
    Running,
    /// It has ended, at this moment.
    Ended(End, Time),
}

/// What is known of one attempt.
#[derive(Clone, Debug)]
pub(super) struct AttemptState {
    /// The workspace; none for an attempt that was cancelled before it was seen.
    pub(super) workspace: Option<WorkspaceId>,
    /// Whether it may run more than once.
    pub(super) idempotent: bool,
    /// The fingerprint of its request.
    pub(super) fingerprint: Fingerprint,
    /// The version that it is pinned to.
    pub(super) pin: Option<(ModelName, VersionName)>,
    /// Where it is.
    pub(super) stage: Stage,
    /// The cached prompt tokens, once its target answers.
    pub(super) accepted: Option<TokenCount>,
    /// Its output.
    pub(super) output: Output,
    /// The index below which a reader has got the output.
    pub(super) sent: u64,
    /// How many streams read it.
    pub(super) readers: u32,
    /// Since when nobody reads it.
    pub(super) alone: Time,
    /// When its target last produced something, or began.
    pub(super) active: Time,
    /// Whether its target is not read from, for lack of room.
    pub(super) held: bool,
    /// Whether a reader has got its end.
    pub(super) delivered: bool,
}

impl AttemptState {
    /// Returns a new attempt that waits.
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
            sent: first,
            readers: 0,
            alone: now,
            active: now,
            held: false,
            delivered: false,
        }
    }

    /// Returns an attempt that ended before anything was known of it.
    pub(super) fn tombstone(now: Time, reason: NotRunReason) -> Self {
        Self {
            workspace: None,
            idempotent: true,
            fingerprint: Fingerprint::default(),
            pin: None,
            stage: Stage::Ended(End::NotRun(reason), now),
            accepted: None,
            output: Output::new(0),
            sent: 0,
            readers: 0,
            alone: now,
            active: now,
            held: false,
            delivered: true,
        }
    }

    /// Returns whether it waits or runs.
    pub(super) fn is_live(&self) -> bool {
        !matches!(self.stage, Stage::Ended(..))
    }

    /// Returns whether it has output, or will have.
    pub(super) fn has_output(&self) -> bool {
        match self.stage {
            Stage::Ended(End::NotRun(_), _) => false,
            Stage::Ended(End::Failed { failure, .. }, _) => failure != Failure::Cancelled,
            _ => true,
        }
    }

    /// Returns how much of it was run if it is cut off now.
    pub(super) fn ran(&self) -> Ran {
        match (&self.stage, &self.pin) {
            (Stage::Waiting(_) | Stage::Ended(End::NotRun(_), _), _) => Ran::No,
            (Stage::Ended(End::Failed { ran, .. }, _), _) => *ran,
            (Stage::Ended(End::Done(_), _), _) => Ran::Partly,
            (Stage::Running, Some(_)) => Ran::Partly,
            (Stage::Running, None) => Ran::Unknown,
        }
    }

    /// Returns how long its target has produced nothing while it could have.
    pub(super) fn quiet(&self, now: Time) -> Duration {
        match self.stage {
            Stage::Running if !self.held => now.since(self.active),
            _ => Duration::ZERO,
        }
    }
}
