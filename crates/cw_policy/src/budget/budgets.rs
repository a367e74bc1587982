//! The budgets of all routes and targets.

use std::collections::BTreeMap;

use cw_types::RouteName;
use cw_types::TargetId;

use super::bucket::Bucket;

/// A send beyond a request's first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExtraSend {
    /// The same work again after a failure before it ran.
    Retry,
    /// Another target, after one refused.
    Redirect,
    /// A second attempt beside one that may still answer.
    Hedge,
}

/// How much may be sent beyond first tries, as parts of them.
///
/// The sum of the three parts of a route bounds its sends: after `n` first tries there were at
/// most `n * (1 + retry + redirect + hedge) + 3 * burst` in all.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Retries of a route.
    pub retry: f64,
    /// Redirects of a route.
    pub redirect: f64,
    /// Hedges of a route.
    pub hedge: f64,
    /// Further sends to a target, of any kind and route.
    pub target: f64,
    /// The most further sends that can be saved up, and what a new bucket holds.
    pub burst: f64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            retry: 0.05,
            redirect: 0.1,
            hedge: 0.05,
            target: 0.2,
            burst: 10.0,
        }
    }
}

impl BudgetSettings {
    fn ratio(&self, extra: ExtraSend) -> f64 {
        match extra {
            ExtraSend::Retry => self.retry,
            ExtraSend::Redirect => self.redirect,
            ExtraSend::Hedge => self.hedge,
        }
    }
}

/// The budgets of all routes and targets of an entry.
///
/// Replacing an attempt that was lost while it ran spends nothing here: a lost availability zone
/// must be replaced whole. Those are bounded by the most attempts of a generation and queue at the
/// entry like others.
#[derive(Clone, Debug, Default)]
pub struct Budgets {
    settings: BudgetSettings,
    routes: BTreeMap<RouteName, BTreeMap<ExtraSend, Bucket>>,
    targets: BTreeMap<TargetId, Bucket>,
}

impl Budgets {
    /// Returns budgets with these settings.
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records the first try of a request.
    pub fn record_first(&mut self, route: &RouteName, target: &TargetId) {
        let settings = self.settings;
        for extra in [ExtraSend::Retry, ExtraSend::Redirect, ExtraSend::Hedge] {
            self.bucket(route, extra)
                .fill(settings.ratio(extra), settings.burst);
        }
        self.target(target).fill(settings.target, settings.burst);
    }

    /// Returns whether a further send is allowed, and spends it if so.
    pub fn try_spend(&mut self, extra: ExtraSend, route: &RouteName, target: &TargetId) -> bool {
        let allowed = self.bucket(route, extra).has() && self.target(target).has();
        if allowed {
            self.bucket(route, extra).spend();
            self.target(target).spend();
        }
        allowed
    }

    /// Forgets the routes and targets that are no more.
    pub fn retain(
        &mut self,
        route: impl Fn(&RouteName) -> bool,
        target: impl Fn(&TargetId) -> bool,
    ) {
        self.routes.retain(|name, _| route(name));
        self.targets.retain(|id, _| target(id));
    }

    fn bucket(&mut self, route: &RouteName, extra: ExtraSend) -> &mut Bucket {
        let most = self.settings.burst;
        self.routes
            .entry(route.clone())
            .or_default()
            .entry(extra)
            .or_insert_with(|| Bucket::full(most))
    }

    fn target(&mut self, target: &TargetId) -> &mut Bucket {
        let most = self.settings.burst;
        self.targets
            .entry(target.clone())
            .or_insert_with(|| Bucket::full(most))
    }
}
