//! The context that all parts of a forwarding entry share.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use cw_policy::budget::ServiceBudgets;
use cw_policy::budget::SharedBudget;
use cw_policy::forward::CrashTracker;
use cw_policy::forward::DirectoryLog;
use cw_policy::forward::EntryList;
use cw_policy::forward::Fleet;
use cw_policy::forward::FleetLimits;
use cw_policy::forward::ForwardConfig;
use cw_policy::forward::Freshness;
use cw_policy::forward::FreshnessLimits;
use cw_policy::forward::PromptLocationLimits;
use cw_policy::forward::PromptLocations;
use cw_policy::forward::RankDemand;
use cw_policy::forward::RunTimes;
use cw_policy::forward::StandingQueues;
use cw_policy::forward::StreamLife;
use cw_policy::forward::StreamOrigins;
use cw_policy::forward::Topic;
use cw_policy::rollout::ExposureLimits;
use cw_policy::rollout::Rollouts;
use cw_policy::rollout::RunLength;
use cw_store::BodyMemory;
use cw_store::Dialect;
use cw_store::HttpClient;
use cw_store::StoreRevision;
use cw_types::HostId;
use cw_types::ServiceName;
use cw_types::TargetId;
use cw_types::Time;
use cw_wire::RolloutState;
use cw_wire::SoftwareHash;
use cw_wire::StreamHash;
use log::info;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::Clock;
use crate::Health;

use super::ForwardSettings;
use super::body_shares::BodyShares;
use super::connection_pool::ConnectionPool;
use super::forward_metrics::ForwardMetrics;

/// The number of entries that share the budgets until the registry has been read or another entry
/// has sent a message, which usually takes a second. It lies between the sizes of the known
/// deployments, 4 and 23.
const ENTRIES_ASSUMED: u32 = 8;

/// The timeout of a question that a request waits for. Entries are milliseconds apart, and another one is asked next.
const KEEPER_TIMEOUT: Duration = Duration::from_millis(150);

/// The number of entries that are asked what began a stream beside those that were told at once.
const MORE_ORIGIN_SOURCES: usize = 3;

/// The mutable state of a forwarding entry.
#[derive(Debug)]
pub(super) struct ForwardState {
    /// The active configuration.
    pub(super) config: Option<Arc<ForwardConfig>>,
    /// The active configuration in encoded form.
    pub(super) config_bytes: Option<Bytes>,
    /// The records of the targets, as stored in the key-value service.
    pub(super) listings: BTreeMap<TargetId, Bytes>,
    /// The targets that the directory lists, with their state as seen by this entry.
    pub(super) fleet: Fleet,
    /// The number of changes of the software versions that have been signalled.
    pub(super) software_changes: u64,
    /// The revision as of which the configuration was last read from the key-value service.
    pub(super) config_revision: Option<StoreRevision>,
    /// How recent the knowledge of the configuration is.
    config_freshness: Freshness,
    /// How recent the knowledge of the targets is.
    targets_freshness: Freshness,
    /// The directory changes that this entry knows of.
    pub(super) directory_log: DirectoryLog,
    /// The address of the entry that announced directory changes which are missing here.
    pub(super) directory_source: Option<SocketAddr>,
    /// The targets that have read the prompts of this entry.
    pub(super) own_prompts: PromptLocations,
    /// The targets that have read the prompts of other entries, or those from before a restart.
    pub(super) peer_prompts: PromptLocations,
    /// The software that began each stream.
    pub(super) origins: StreamOrigins,
    /// How long callers may take up the streams that have begun.
    pub(super) stream_life: StreamLife,
    /// The streams that began since the last message to other entries.
    pub(super) begun_streams: Vec<StreamHash>,
    /// The durations of prompts and runs.
    pub(super) run_times: RunTimes,
    /// The share of requests that have to wait for others.
    pub(super) standing_queues: StandingQueues,
    /// The work that callers asked for by rank.
    pub(super) rank_demand: RankDemand,
    /// The requests that crash the targets that run them.
    pub(super) crashes: CrashTracker,
    /// The roll-outs of services between versions.
    pub(super) rollouts: Rollouts,
    /// How long the runs of services with a roll-out last.
    pub(super) run_lengths: BTreeMap<ServiceName, RunLength>,
    /// The services whose roll-outs have ended so long ago that no choice depends on them.
    pub(super) settled_rollouts: BTreeSet<ServiceName>,
    /// The states that this entry has decided on for all, and that have to be written before they are in force.
    pub(super) rollout_writes: BTreeMap<ServiceName, RolloutState>,
    /// The ends of roll-outs that a newer order has replaced, and whose status is not written yet.
    pub(super) replaced_rollouts: Vec<RolloutState>,
    /// The targets that were sent prompts since the last message to other entries.
    pub(super) prompted_targets: BTreeSet<TargetId>,
    /// The targets that a `LossCheck` is checking.
    pub(super) checked_targets: BTreeSet<TargetId>,
    /// The budgets for repeated sends.
    pub(super) budgets: ServiceBudgets,
    /// The other entries.
    pub(super) entry_list: EntryList,
    /// The random number generator for decisions.
    pub(super) rng: SmallRng,
}

impl ForwardState {
    /// Returns how recent the knowledge of a part of the key-value service is.
    pub(super) fn freshness(&mut self, topic: Topic) -> &mut Freshness {
        match topic {
            Topic::Config => &mut self.config_freshness,
            Topic::Targets => &mut self.targets_freshness,
        }
    }

    /// Returns whether no target with this software takes requests. An entry that has just started does not know
    /// the targets yet.
    pub(super) fn is_version_gone(&self, software: SoftwareHash) -> bool {
        self.directory_log.newest() > 0 && self.fleet.service_with(software).is_none()
    }

    /// Records the era of the key-value service, by a revision that the service or another entry has told.
    pub(super) fn record_era(&mut self, now: Time, revision: StoreRevision) {
        let (before, era) = (self.fleet.store_era(), revision.era());
        self.origins.record_era(era);
        if self.fleet.record_store_era(now, era) {
            info!(
                before = before.0,
                era = era.0;
                "the key-value service has come back from an older copy"
            );
        }
    }

    /// Returns whether another entry has a newer configuration in force than this one.
    pub(super) fn is_config_behind(&self) -> bool {
        self.config_version() < self.fleet.newest_config()
    }

    /// Returns the version of the active configuration, 0 without one.
    pub(super) fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version())
    }
}

/// The context that all parts of a forwarding entry share.
pub(super) struct ForwardContext {
    pub(super) settings: ForwardSettings,
    pub(super) clock: Clock,
    pub(super) dialect: Arc<dyn Dialect>,
    pub(super) health: Health,
    pub(super) metrics: ForwardMetrics,
    pub(super) pool: ConnectionPool,
    /// The memory that the bodies of all requests of callers may take.
    pub(super) caller_memory: BodyMemory,
    /// The memory that what other entries send may take.
    pub(super) peer_memory: BodyMemory,
    /// Triggers a message to the other entries.
    pub(super) peer_update: Notify,
    /// Triggers a message to the entries near the targets that were sent prompts, and to those that are told of
    /// streams at once.
    pub(super) prompt_update: Notify,
    /// Signals that there is new evidence against requests that crash targets.
    pub(super) crashes_changed: Notify,
    /// Signals that a roll-out has been ordered or has changed.
    pub(super) rollouts_changed: Notify,
    /// Signals that the state of a roll-out has to be written.
    pub(super) rollout_write: Notify,
    /// Signals that the set of software versions has changed, or that a request has streams of two versions.
    pub(super) software_changed: Notify,
    /// Cancelled when the process is about to end, so that requests without an answer are refused.
    pub(super) stopping: CancellationToken,
    /// Signals that another entry has newer directory data.
    pub(super) directory_behind: Notify,
    /// The client for questions that requests wait for: trials, and what began a stream.
    pub(super) keepers: HttpClient,
    state: Mutex<ForwardState>,
}

impl ForwardContext {
    pub(super) fn new(
        settings: ForwardSettings,
        dialect: Arc<dyn Dialect>,
        metrics: ForwardMetrics,
    ) -> Self {
        let budget = SharedBudget {
            ratio: settings.budget.ratio,
            slack: settings.budget.slack,
            window: settings.budget.window,
        };
        let exposure = ExposureLimits {
            share: settings.rollout.share,
            slack: settings.rollout.slack,
            rollback: settings.rollout.rollback,
        };
        let config_limits = FreshnessLimits::within(settings.in_force);
        let target_limits = settings.drain_limits().knowledge;
        let state = ForwardState {
            config: None,
            config_bytes: None,
            software_changes: 0,
            config_revision: None,
            config_freshness: Freshness::new(config_limits),
            targets_freshness: Freshness::new(target_limits),
            listings: BTreeMap::new(),
            fleet: Fleet::new(FleetLimits {
                record_ttl: settings.lapse,
                find_pace: settings.find_pace,
                ..FleetLimits::default()
            }),
            directory_log: DirectoryLog::default(),
            directory_source: None,
            own_prompts: PromptLocations::new(PromptLocationLimits::default()),
            peer_prompts: PromptLocations::new(PromptLocationLimits::default()),
            origins: StreamOrigins::default(),
            stream_life: StreamLife::default(),
            begun_streams: Vec::new(),
            run_times: RunTimes::default(),
            standing_queues: StandingQueues::default(),
            rank_demand: RankDemand::default(),
            crashes: CrashTracker::default(),
            rollouts: Rollouts::new(exposure),
            run_lengths: BTreeMap::new(),
            settled_rollouts: BTreeSet::new(),
            rollout_writes: BTreeMap::new(),
            replaced_rollouts: Vec::new(),
            prompted_targets: BTreeSet::new(),
            checked_targets: BTreeSet::new(),
            budgets: ServiceBudgets::new(budget, ENTRIES_ASSUMED),
            entry_list: EntryList::default(),
            rng: SmallRng::seed_from_u64(rand::random()),
        };
        let memory = BodyShares::of(settings.memory);
        let peer_memory = BodyMemory::new(memory.peers);
        Self {
            settings,
            clock: Clock::default(),
            dialect,
            health: Health::default(),
            metrics,
            pool: ConnectionPool::new(BodyMemory::new(memory.targets)),
            caller_memory: BodyMemory::new(memory.callers),
            peer_update: Notify::new(),
            prompt_update: Notify::new(),
            crashes_changed: Notify::new(),
            rollouts_changed: Notify::new(),
            rollout_write: Notify::new(),
            software_changed: Notify::new(),
            stopping: CancellationToken::new(),
            directory_behind: Notify::new(),
            keepers: HttpClient::default()
                .with_timeout(KEEPER_TIMEOUT)
                .with_memory(&peer_memory),
            peer_memory,
            state: Mutex::new(state),
        }
    }

    pub(super) fn now(&self) -> Time {
        self.clock.now()
    }

    pub(super) fn state(&self) -> MutexGuard<'_, ForwardState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates the list of registered entries.
    pub(super) fn set_registered(&self, registered: BTreeMap<HostId, SocketAddr>) {
        let now = self.now();
        let mut state = self.state();
        let before = state.entry_list.others(now);
        state.entry_list.set_registered(now, registered);
        let others = state.entry_list.others(now);
        if before != others {
            info!(others = others.len(); "the list of other entries has changed");
            self.peer_update.notify_one();
        }
        self.update_entries(now, &mut state);
    }

    /// Divides the shared budgets and the preferred targets among the current entries.
    pub(super) fn update_entries(&self, now: Time, state: &mut ForwardState) {
        let others = state.entry_list.others(now);
        let count = u32::try_from(others.len() + 1).unwrap_or(u32::MAX);
        state.budgets.set_entries(count);
        self.metrics.entries.set(i64::from(count));
        let hosts = others.into_keys();
        state.fleet.set_entries(&self.settings.host, hosts);
    }

    /// Returns whether other entries are known.
    pub(super) fn has_other_entries(&self) -> bool {
        !self.state().entry_list.is_empty()
    }

    /// Returns up to `count` of the other entries, selected at random, with their addresses.
    pub(super) fn sample_entries(&self, count: usize) -> Vec<(HostId, SocketAddr)> {
        let now = self.now();
        let mut state = self.state();
        let others = state.entry_list.others(now).into_iter();
        others.sample(&mut state.rng, count)
    }

    /// Returns up to `count` of the entries that have a newer configuration in force than this one, selected
    /// at random, with their addresses.
    pub(super) fn sample_config_sources(&self, count: usize) -> Vec<(HostId, SocketAddr)> {
        let now = self.now();
        let mut state = self.state();
        let state = &mut *state;
        let version = state.config_version() + 1;
        let mut others = state.entry_list.others(now);
        let sources = state.fleet.entries_with_config(version);
        let sources = sources.filter_map(|host| others.remove_entry(host));
        sources.sample(&mut state.rng, count)
    }

    /// Returns the entries that may know which software began a stream, with their addresses: those that were told
    /// at once, and some others, which heard of it later or know that there was one version only.
    pub(super) fn origin_sources(&self, stream: StreamHash) -> Vec<(HostId, SocketAddr)> {
        let others = self.sample_entries(MORE_ORIGIN_SOURCES);
        let now = self.now();
        let state = self.state();
        let mut addresses = state.entry_list.others(now);
        let keepers = state.fleet.stream_keepers(stream).into_iter();
        let keepers = keepers.filter_map(|host| addresses.remove_entry(host));
        let mut sources: Vec<_> = keepers.collect();
        sources.extend(
            others
                .into_iter()
                .filter(|(host, _)| addresses.contains_key(host)),
        );
        sources
    }

    pub(super) fn config(&self) -> Option<Arc<ForwardConfig>> {
        self.state().config.clone()
    }
}
