//! A request that is accepted: what its attempts are made from.

use std::time::Duration;

use cw_policy::Limits;
use cw_policy::Plan;
use cw_types::AttemptId;
use cw_types::AttemptNo;
use cw_types::GenerationId;
use cw_types::Recovery;
use cw_types::RouteName;
use cw_types::RouteTarget;
use cw_types::TokenId;
use cw_types::TokenIndex;
use cw_types::WorkspaceId;
use cw_wire::Dispatch;
use cw_wire::Fingerprint;
use cw_wire::Stamp;
use cw_wire::Work;

use crate::EntrySettings;

/// A request that is accepted: what its attempts are made from.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// The generation.
    pub(crate) generation: GenerationId,
    /// The workspace that asks.
    pub(crate) workspace: WorkspaceId,
    /// The route that serves it.
    pub(crate) route: RouteName,
    /// What the route sends its callers to.
    pub(crate) to: RouteTarget,
    /// The weight of the workspace.
    pub(crate) weight: u32,
    /// The rank of the route's priority.
    pub(crate) rank: u8,
    /// How lost attempts are recovered.
    pub(crate) recovery: Recovery,
    /// The request's fingerprint.
    pub(crate) fingerprint: Fingerprint,
    /// What the generation's machine starts from.
    pub(crate) plan: Plan,
    /// The work, without output of earlier attempts.
    pub(crate) work: Work,
}

impl Job {
    /// Returns the message that dispatches an attempt for the first time.
    pub(crate) fn dispatch(
        &self,
        attempt: AttemptNo,
        stamp: Stamp,
        so_far: Vec<TokenId>,
        resumed: bool,
    ) -> Dispatch {
        let from = TokenIndex(so_far.len() as u64);
        let mut work = self.work.clone();
        if let Work::Generate(generate) = &mut work {
            generate.so_far = so_far;
        }
        Dispatch {
            id: self.attempt(attempt),
            stamp,
            repeat: false,
            workspace: self.workspace.clone(),
            weight: self.weight,
            rank: self.rank,
            idempotent: self.plan.idempotent,
            resumed,
            patience: self.plan.patience,
            fingerprint: self.fingerprint,
            from,
            work,
        }
    }

    /// Returns the id of an attempt.
    pub(crate) fn attempt(&self, attempt: AttemptNo) -> AttemptId {
        AttemptId {
            generation: self.generation,
            attempt,
        }
    }

    /// Returns the limits that the generation is held to.
    pub(crate) fn limits(&self, settings: &EntrySettings) -> Limits {
        let recovery = &settings.recovery;
        let (silence, stall, hedges) = match self.recovery {
            Recovery::Latency => (recovery.latency_silence, recovery.latency_stall, HEDGES),
            Recovery::Thrift => (recovery.thrift_silence, recovery.stall, 1),
        };
        Limits {
            silence,
            stall,
            first: stall * FIRST_FACTOR,
            head: recovery.head,
            reattach: recovery.reattach,
            attempts: recovery.attempts,
            hedges,
            absence: settings.limits.absence,
            backoff: RESUME_BACKOFF,
            ..Limits::default()
        }
    }
}

/// How many attempts race to replace a lost one with `recovery = "latency"`.
const HEDGES: u32 = 2;

/// How much longer than between tokens an engine may take to begin a resumed output.
const FIRST_FACTOR: u32 = 2;

/// The pause before busy targets are asked again to go on with a lost attempt.
const RESUME_BACKOFF: Duration = Duration::from_millis(100);
