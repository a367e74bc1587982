//! Budgets that all entries share, one for each service.

use std::collections::BTreeMap;

use cw_types::ServiceName;

use super::bucket::Bucket;

/// How much may be sent to a service beyond the first send of each request, over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedBudget {
    /// Further sends as a part of the requests.
    pub ratio: f64,
    /// Further sends beside those, in any window.
    pub slack: f64,
}

/// This entry's part of the budgets of all services.
///
/// Each bucket holds this entry's part of the slack and fills with its own requests, so the sum
/// over all entries keeps to the shared budget in any window, whatever the others know.
#[derive(Clone, Debug)]
pub struct ServiceBudgets {
    budget: SharedBudget,
    entries: u32,
    services: BTreeMap<ServiceName, Bucket>,
}

impl ServiceBudgets {
    /// Returns the part of one among `entries` entries.
    pub fn new(budget: SharedBudget, entries: u32) -> Self {
        Self {
            budget,
            entries: entries.max(1),
            services: BTreeMap::new(),
        }
    }

    /// Sets how many entries share the budgets. Slack that was saved up is cut, never raised.
    pub fn share(&mut self, entries: u32) {
        self.entries = entries.max(1);
        let most = self.most();
        for bucket in self.services.values_mut() {
            bucket.fill(0.0, most);
        }
    }

    /// Records the first send of a request.
    pub fn first(&mut self, service: &ServiceName) {
        let ratio = self.budget.ratio;
        let most = self.most();
        self.bucket(service).fill(ratio, most);
    }

    /// Returns whether a further send is allowed, and spends it if so.
    pub fn spend(&mut self, service: &ServiceName) -> bool {
        let bucket = self.bucket(service);
        let allowed = bucket.has();
        if allowed {
            bucket.spend();
        }
        allowed
    }

    /// Forgets the services that are no more.
    pub fn retain(&mut self, keep: impl Fn(&ServiceName) -> bool) {
        self.services.retain(|name, _| keep(name));
    }

    fn most(&self) -> f64 {
        (self.budget.slack / f64::from(self.entries)).max(1.0)
    }

    fn bucket(&mut self, service: &ServiceName) -> &mut Bucket {
        let most = self.most();
        self.services
            .entry(service.clone())
            .or_insert_with(|| Bucket::full(most))
    }
}
