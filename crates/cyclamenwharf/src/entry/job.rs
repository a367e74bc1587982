//! A request that is accepted: what its attempts are made from.

use std::sync::Arc;
use std::time::Duration;

use cw_policy::Claim;
use cw_policy::ClaimId;
use cw_policy::ClaimState;
use cw_policy::GenerationLimits;
use cw_policy::GenerationPlan;
use cw_types::AttemptId;
use cw_types::AttemptNo;
use cw_types::ByteSize;
use cw_types::GenerationId;
use cw_types::PriorityName;
use cw_types::Recovery;
use cw_types::RouteName;
use cw_types::RouteTarget;
use cw_types::TokenId;
use cw_types::TokenIndex;
use cw_types::VersionName;
use cw_types::WorkspaceId;
use cw_wire::Dispatch;
use cw_wire::Fingerprint;
use cw_wire::Stamp;
use cw_wire::Work;
use xxhash_rust::xxh3::xxh3_64;

use crate::EntrySettings;

use super::claims::ClaimSlot;
use super::sent::Sent;

/// What a request's idempotency key is used for.
#[derive(Clone, Debug)]
pub(crate) enum KeyUse {
    /// To find the request again in this entry.
    Shared(String),
    /// To run it once through all entries.
    Claimed(Arc<ClaimSlot>),
}

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
    /// The route's priority.
    pub(crate) priority: PriorityName,
    /// The rank of the route's priority.
    pub(crate) rank: u8,
    /// How lost attempts are recovered.
    pub(crate) recovery: Recovery,
    /// The request's fingerprint.
    pub(crate) fingerprint: Fingerprint,
    /// What the generation's machine starts from.
    pub(crate) plan: GenerationPlan,
    /// The work, without output of earlier attempts.
    pub(crate) work: Work,
    /// The size of the request's body.
    pub(crate) size: ByteSize,
    /// The seed that the caller asked for.
    pub(crate) seed: Option<u64>,
    /// What its idempotency key is used for.
    pub(crate) key: Option<KeyUse>,
    /// Where the attempt was sent that it joins.
    pub(crate) known: Option<Sent>,
}

impl Job {
    /// Sets what the idempotency key is used for.
    #[must_use]
    pub(crate) fn with_key(mut self, key: KeyUse) -> Self {
        self.plan.claimed = matches!(key, KeyUse::Claimed(_));
        self.key = Some(key);
        self
    }

    /// Joins an attempt that was dispatched for an earlier call.
    #[must_use]
    pub(crate) fn join(mut self, sent: Sent) -> Self {
        self.generation = sent.id.generation;
        self.plan.running_target = Some(sent.target.clone());
        self.plan.running_attempt = sent.id.attempt;
        self.plan.next_attempt = taken_over();
        self.known = Some(sent);
        if let Work::Generate(work) = &mut self.work {
            work.sampling.seed = self.seed.unwrap_or(drawn_seed(self.generation));
        }
        self
    }

    /// Pins the version to the one that an earlier call began with.
    #[must_use]
    pub(crate) fn pinned(mut self, earlier: Option<VersionName>) -> Self {
        let Some(earlier) = earlier else {
            return self;
        };
        if let RouteTarget::Model { version, .. } = &mut self.to {
            *version = earlier.clone();
        }
        if let Work::Generate(work) = &mut self.work {
            work.version = earlier;
        }
        self
    }

    /// Returns the claim of an attempt.
    pub(crate) fn claim(&self, sent: &Sent) -> Claim {
        let version = match &self.work {
            Work::Generate(work) => Some(work.version.clone()),
            Work::Call(_) => None,
        };
        Claim {
            id: ClaimId::default(),
            fingerprint: self.fingerprint,
            attempt: sent.id,
            target: sent.target.clone(),
            agent: sent.peer,
            stamp: sent.stamp,
            version,
            state: ClaimState::Open,
        }
    }

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
            patience: match resumed {
                true => self.plan.patience.min(RESUME_PATIENCE),
                false => self.plan.patience,
            },
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
    pub(crate) fn limits(&self, settings: &EntrySettings) -> GenerationLimits {
        let recovery = &settings.recovery;
        let (silence, stall, hedges) = match self.recovery {
            Recovery::Latency => (recovery.latency_silence, recovery.latency_stall, HEDGES),
            Recovery::Thrift => (recovery.thrift_silence, recovery.stall, 1),
        };
        GenerationLimits {
            link_timeout: silence,
            stall_timeout: stall,
            resume_timeout: stall * FIRST_FACTOR,
            dispatch_timeout: recovery.head,
            attach_timeout: recovery.reattach,
            max_attempts: recovery.attempts,
            hedges,
            caller_timeout: settings.limits.absence,
            busy_backoff: RESUME_BACKOFF,
            ..GenerationLimits::default()
        }
    }
}

/// Returns a number for the next attempt of a generation that another entry began.
///
/// It is drawn, so that no two entries that take over give the same number to different attempts.
pub(crate) fn taken_over() -> AttemptNo {
    AttemptNo(rand::random_range(TAKEN_OVER))
}

/// The numbers of attempts of entries that take over: above those of the first entry, and with
/// room for as many attempts as one entry makes.
const TAKEN_OVER: std::ops::Range<u32> = 1 << 16..1 << 31;

/// Returns the seed of a generation whose caller asked for none.
///
/// It follows from the generation, so that an entry that takes over draws the same tokens.
pub(crate) fn drawn_seed(generation: GenerationId) -> u64 {
    xxh3_64(&generation.0.to_be_bytes())
}

/// How many attempts race to replace a lost one with `recovery = "latency"`.
const HEDGES: u32 = 2;

/// How much longer than between tokens an engine may take to begin a resumed output.
const FIRST_FACTOR: u32 = 2;

/// How long a resumed attempt may wait at an agent: another one may begin it sooner.
const RESUME_PATIENCE: Duration = Duration::from_millis(1000);

/// The pause before busy targets are asked again to go on with a lost attempt.
const RESUME_BACKOFF: Duration = Duration::from_millis(100);
