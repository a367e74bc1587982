//! An accepted request, from which the messages to its targets are built.

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

use super::claims::RequestClaim;
use super::sent_attempt::SentAttempt;

/// How a request's idempotency key is used.
#[derive(Clone, Debug)]
pub(crate) enum KeyUse {
    /// A repeated idempotent request joins the first one within this entry.
    Cached(String),
    /// A claim makes the request run at most once across all entries.
    Claimed(Arc<RequestClaim>),
}

/// An accepted request, from which the messages to its targets are built.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// The generation's id.
    pub(crate) generation: GenerationId,
    /// The workspace of the caller.
    pub(crate) workspace: WorkspaceId,
    /// The route that the request names.
    pub(crate) route: RouteName,
    /// The model or plain service that the route leads to, with the pinned version and adapter.
    pub(crate) destination: RouteTarget,
    /// The weight of the workspace.
    pub(crate) weight: u32,
    /// The route's priority.
    pub(crate) priority: PriorityName,
    /// The rank of the route's priority.
    pub(crate) rank: u8,
    /// The recovery mode for lost attempts.
    pub(crate) recovery: Recovery,
    /// The fingerprint, which is the same for equal requests of one workspace.
    pub(crate) fingerprint: Fingerprint,
    /// The plan that the generation's state machine starts from.
    pub(crate) plan: GenerationPlan,
    /// The work, without the output of earlier attempts.
    pub(crate) work: Work,
    /// The size of the request's body.
    pub(crate) body_size: ByteSize,
    /// The sampling seed from the caller's request.
    pub(crate) requested_seed: Option<u64>,
    /// How the idempotency key is used, if the request has one.
    pub(crate) key: Option<KeyUse>,
    /// The earlier attempt that this request joins.
    pub(crate) joined: Option<SentAttempt>,
}

impl Job {
    /// Sets how the idempotency key is used.
    #[must_use]
    pub(crate) fn with_key(mut self, key: KeyUse) -> Self {
        self.plan.claimed = matches!(key, KeyUse::Claimed(_));
        self.key = Some(key);
        self
    }

    /// Makes the request join an attempt that was dispatched for an earlier call.
    #[must_use]
    pub(crate) fn join(mut self, sent: SentAttempt) -> Self {
        self.generation = sent.id.generation;
        self.plan.running_target = Some(sent.target.clone());
        self.plan.running_attempt = sent.id.attempt;
        self.plan.next_attempt = takeover_attempt();
        self.joined = Some(sent);
        if let Work::Generate(work) = &mut self.work {
            work.sampling.seed = self.requested_seed.unwrap_or(derived_seed(self.generation));
        }
        self
    }

    /// Pins the model version to the one that an earlier call started with.
    #[must_use]
    pub(crate) fn pin_version(mut self, earlier: Option<VersionName>) -> Self {
        let Some(earlier) = earlier else {
            return self;
        };
        if let RouteTarget::Model { version, .. } = &mut self.destination {
            *version = earlier.clone();
        }
        if let Work::Generate(work) = &mut self.work {
            work.version = earlier;
        }
        self
    }

    /// Returns the claim for an attempt, still without an id.
    pub(crate) fn claim(&self, sent: &SentAttempt) -> Claim {
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

    /// Returns the message that dispatches an attempt, which starts after the tokens `so_far`.
    pub(crate) fn dispatch_message(
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
            id: self.attempt_id(attempt),
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
    pub(crate) fn attempt_id(&self, attempt: AttemptNo) -> AttemptId {
        AttemptId {
            generation: self.generation,
            attempt,
        }
    }

    /// Returns the limits for the generation's state machine.
    pub(crate) fn limits(&self, settings: &EntrySettings) -> GenerationLimits {
        let recovery = &settings.recovery;
        let (silence, stall, hedges) = match self.recovery {
            Recovery::Latency => (
                recovery.latency_silence,
                recovery.latency_stall,
                LATENCY_HEDGES,
            ),
            Recovery::Thrift => (recovery.thrift_silence, recovery.stall, 1),
        };
        GenerationLimits {
            link_timeout: silence,
            stall_timeout: stall,
            resume_timeout: stall * FIRST_TOKEN_FACTOR,
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

/// Returns a number for the next attempt of a generation that another entry started.
///
/// The number is random, so that two entries that take over the same generation do not give one
/// number to different attempts.
pub(crate) fn takeover_attempt() -> AttemptNo {
    AttemptNo(rand::random_range(TAKEOVER_ATTEMPTS))
}

/// The range of the first attempt number of an entry that takes over a generation.
///
/// It lies above the numbers of the first entry, and leaves room above it for as many attempts as
/// one entry makes.
const TAKEOVER_ATTEMPTS: std::ops::Range<u32> = 1 << 16..1 << 31;

/// Returns the sampling seed of a generation whose caller set none.
///
/// It is derived from the generation's id, so that an entry that takes over samples the same
/// tokens.
pub(crate) fn derived_seed(generation: GenerationId) -> u64 {
    xxh3_64(&generation.0.to_be_bytes())
}

/// How many attempts race to replace a lost one under `recovery = "latency"`.
const LATENCY_HEDGES: u32 = 2;

/// The stall limit before the first token of a resumed output, as a multiple of the limit between
/// tokens.
const FIRST_TOKEN_FACTOR: u32 = 2;

/// How long a resumed attempt may wait at an agent. It is short, because another agent may start
/// the attempt sooner.
const RESUME_PATIENCE: Duration = Duration::from_millis(1000);

/// The delay before busy targets are asked again to continue a lost attempt.
const RESUME_BACKOFF: Duration = Duration::from_millis(100);
