//! What the parts of a forwarding entry share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use cw_policy::budget::ServiceBudgets;
use cw_policy::budget::SharedBudget;
use cw_policy::forward::Fleet;
use cw_policy::forward::FleetLimits;
use cw_policy::forward::ForwardConfig;
use cw_store::Dialect;
use cw_types::Time;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::Clock;
use crate::Health;

use super::ForwardSettings;
use super::metrics::ForwardMetrics;
use super::target_pool::TargetPool;

/// What an entry believes.
#[derive(Debug)]
pub(super) struct Beliefs {
    /// The configuration in force.
    pub(super) config: Option<Arc<ForwardConfig>>,
    /// The targets.
    pub(super) fleet: Fleet,
    /// What may be sent more than once.
    pub(super) budgets: ServiceBudgets,
    /// The source of chance in decisions.
    pub(super) rng: SmallRng,
}

/// What the parts of a forwarding entry share.
pub(super) struct Shared {
    pub(super) settings: ForwardSettings,
    pub(super) clock: Clock,
    pub(super) dialect: Arc<dyn Dialect>,
    pub(super) health: Health,
    pub(super) metrics: ForwardMetrics,
    pub(super) pool: TargetPool,
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
            fleet: Fleet::new(FleetLimits::default()),
            budgets: ServiceBudgets::new(budget, ENTRIES_ASSUMED),
            rng: SmallRng::seed_from_u64(rand::random()),
        };
        Self {
            settings,
            clock: Clock::default(),
            dialect,
            health: Health::default(),
            metrics,
            pool: TargetPool::default(),
            beliefs: Mutex::new(beliefs),
        }
    }

    pub(super) fn now(&self) -> Time {
        self.clock.now()
    }

    pub(super) fn beliefs(&self) -> MutexGuard<'_, Beliefs> {
        self.beliefs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn config(&self) -> Option<Arc<ForwardConfig>> {
        self.beliefs().config.clone()
    }
}

/// How many entries share the budgets until they are counted.
const ENTRIES_ASSUMED: u32 = 8;
