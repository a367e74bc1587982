//! The budgets of the routes and targets of one entry.

use std::collections::BTreeMap;

use cw_types::RouteName;
use cw_types::TargetId;

use super::bucket::Bucket;

/// The kind of a send beyond a request's first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExtraSend {
    /// The same work again, after it failed without running.
    Retry,
    /// Another target, after one refused the work.
    Redirect,
    /// A second attempt while the first may still answer.
    Hedge,
}

/// The extra sends that are allowed, as ratios of the first sends.
///
/// The three ratios of a route bound its sends: `n` first sends lead to at most
/// `n * (1 + retry + redirect + hedge) + 3 * burst` sends in all.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// The ratio of retries of a route.
    pub retry: f64,
    /// The ratio of redirects of a route.
    pub redirect: f64,
    /// The ratio of hedges of a route.
    pub hedge: f64,
    /// The ratio of extra sends to a target, of all kinds and routes together.
    pub target: f64,
    /// The capacity of each bucket in extra sends; a new bucket is full.
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

/// The budgets of the routes and targets of one entry.
///
/// Replacing an attempt that was lost while it ran spends nothing, because all attempts of a lost
/// availability zone must be replaced. Such replacements are bounded by the maximum number of
/// attempts of a generation, and queue at the entry like other attempts.
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

    /// Records the first send of a request.
    pub fn record_first(&mut self, route: &RouteName, target: &TargetId) {
        let settings = self.settings;
        for extra in [ExtraSend::Retry, ExtraSend::Redirect, ExtraSend::Hedge] {
            self.route_bucket(route, extra)
                .fill(settings.ratio(extra), settings.burst);
        }
        self.target_bucket(target)
            .fill(settings.target, settings.burst);
    }

    /// Returns whether an extra send is allowed, and spends a token of its route and of its target if
    /// so.
    pub fn try_spend(&mut self, extra: ExtraSend, route: &RouteName, target: &TargetId) -> bool {
        let allowed =
            self.route_bucket(route, extra).has_token() && self.target_bucket(target).has_token();
        if allowed {
            self.route_bucket(route, extra).spend();
            self.target_bucket(target).spend();
        }
        allowed
    }

    /// Removes the budgets of all routes and targets for which the functions return `false`.
    pub fn retain(
        &mut self,
        route: impl Fn(&RouteName) -> bool,
        target: impl Fn(&TargetId) -> bool,
    ) {
        self.routes.retain(|name, _| route(name));
        self.targets.retain(|id, _| target(id));
    }

    fn route_bucket(&mut self, route: &RouteName, extra: ExtraSend) -> &mut Bucket {
        let capacity = self.settings.burst;
        self.routes
            .entry(route.clone())
            .or_default()
            .entry(extra)
            .or_insert_with(|| Bucket::full(capacity))
    }

    fn target_bucket(&mut self, target: &TargetId) -> &mut Bucket {
        let capacity = self.settings.burst;
        self.targets
            .entry(target.clone())
            .or_insert_with(|| Bucket::full(capacity))
    }
}
