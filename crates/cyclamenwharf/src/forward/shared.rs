//! What the parts of a forwarding entry share.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use cw_policy::budget::ServiceBudgets;
use cw_policy::budget::SharedBudget;
use cw_policy::forward::DirectoryLog;
use cw_policy::forward::Fleet;
use cw_policy::forward::FleetLimits;
use cw_policy::forward::ForwardConfig;
use cw_policy::forward::PromptLocationLimits;
use cw_policy::forward::PromptLocations;
use cw_policy::forward::Roster;
use cw_policy::forward::RunTimes;
use cw_policy::forward::StandingQueues;
use cw_store::Dialect;
use cw_types::HostId;
use cw_types::TargetId;
use cw_types::Time;
use log::info;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::Notify;

use crate::Clock;
use crate::Health;

use super::ForwardSettings;
use super::metrics::ForwardMetrics;
use super::target_pool::TargetPool;

/// How many entries share the budgets until one of them is registered or heard, which takes a second
/// as a rule: between those of the deployments that are known, 4 and 23.
const ENTRIES_ASSUMED: u32 = 8;

/// What an entry believes.
#[derive(Debug)]
pub(super) struct Beliefs {
    /// The configuration in force.
    pub(super) config: Option<Arc<ForwardConfig>>,
    /// The configuration as it was read.
    pub(super) document: Option<Bytes>,
    /// The targets' entries as the key-value service holds them.
    pub(super) listings: BTreeMap<TargetId, Bytes>,
    /// The targets.
    pub(super) fleet: Fleet,
    /// What is known of the directory's changes.
    pub(super) log: DirectoryLog,
    /// The newest version of the configuration that another entry has told.
    pub(super) told: u64,
    /// Where this entry's prompts were read.
    pub(super) own_prompts: PromptLocations,
    /// Where other entries' prompts were read, and those of earlier lives.
    pub(super) heard_prompts: PromptLocations,
    /// How long prompts take.
    pub(super) pace: RunTimes,
    /// Whether requests have to wait for each other.
    pub(super) crowd: StandingQueues,
    /// What may be sent more than once.
    pub(super) budgets: ServiceBudgets,
    /// The other entries.
    pub(super) roster: Roster,
    /// The source of chance in decisions.
    pub(super) rng: SmallRng,
}

impl Beliefs {
    /// Returns the version of the configuration in force, 0 without one.
    pub(super) fn version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version())
    }
}

/// What the parts of a forwarding entry share.
pub(super) struct Shared {
    pub(super) settings: ForwardSettings,
    pub(super) clock: Clock,
    pub(super) dialect: Arc<dyn Dialect>,
    pub(super) health: Health,
    pub(super) metrics: ForwardMetrics,
    pub(super) pool: TargetPool,
    /// Tells that the other entries should hear at once what this one has where.
    pub(super) news: Notify,
    /// Tells that another entry knows more of the directory.
    pub(super) heard: Notify,
    beliefs: Mutex<Beliefs>,
}

impl Shared {
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
        let beliefs = Beliefs {
            config: None,
            document: None,
            listings: BTreeMap::new(),
            fleet: Fleet::new(FleetLimits {
                lapse: settings.lapse,
                ..FleetLimits::default()
            }),
            log: DirectoryLog::default(),
            told: 0,
            own_prompts: PromptLocations::new(PromptLocationLimits::default()),
            heard_prompts: PromptLocations::new(PromptLocationLimits::default()),
            pace: RunTimes::default(),
            crowd: StandingQueues::default(),
            budgets: ServiceBudgets::new(budget, ENTRIES_ASSUMED),
            roster: Roster::default(),
            rng: SmallRng::seed_from_u64(rand::random()),
        };
        Self {
            settings,
            clock: Clock::default(),
            dialect,
            health: Health::default(),
            metrics,
            pool: TargetPool::default(),
            news: Notify::new(),
            heard: Notify::new(),
            beliefs: Mutex::new(beliefs),
        }
    }

    pub(super) fn now(&self) -> Time {
        self.clock.now()
    }

    pub(super) fn beliefs(&self) -> MutexGuard<'_, Beliefs> {
        self.beliefs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in which other entries are registered.
    pub(super) fn set_entries(&self, registered: BTreeMap<HostId, SocketAddr>) {
        let now = self.now();
        let mut beliefs = self.beliefs();
        let before = beliefs.roster.others(now);
        beliefs.roster.set_registered(registered);
        let others = beliefs.roster.others(now);
        if before != others {
            info!(others = others.len(); "the other entries have changed");
        }
        self.recount(now, &mut beliefs);
    }

    /// Divides among the entries that are there now what all of them share.
    pub(super) fn recount(&self, now: Time, beliefs: &mut Beliefs) {
        let others = beliefs.roster.others(now);
        let count = u32::try_from(others.len() + 1).unwrap_or(u32::MAX);
        beliefs.budgets.set_entries(count);
        self.metrics.entries.set(i64::from(count));
        let hosts = others.into_keys();
        beliefs.fleet.set_entries(&self.settings.host, hosts);
    }

    /// Returns the other entries, and where they hear this one.
    pub(super) fn entries(&self) -> BTreeMap<HostId, SocketAddr> {
        let now = self.now();
        self.beliefs().roster.others(now)
    }

    pub(super) fn config(&self) -> Option<Arc<ForwardConfig>> {
        self.beliefs().config.clone()
    }
}
