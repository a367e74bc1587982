//! Learns how the work of a service is divided among the ranks of its requests.

use std::collections::BTreeMap;
use std::time::Duration;

use cw_types::ServiceName;
use cw_types::Time;

use super::rank::Rank;

/// The time constant with which past demand is forgotten. It spans several of the objectives that
/// callers have, so that a rank of rare requests is not forgotten between two of them.
const MEMORY: Duration = Duration::from_secs(20);

/// The part of a service's work that was asked for at other ranks than one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RankShares {
    /// The share of the work at more urgent ranks.
    pub above: f64,
    /// The share of the work at less urgent ranks.
    pub below: f64,
}

/// The work of one service by rank, as of the last update.
#[derive(Clone, Debug, Default)]
struct ServiceDemand {
    updated: Time,
    work: BTreeMap<Rank, f64>,
}

impl ServiceDemand {
    fn decay(&mut self, now: Time) {
        let age = now.since(self.updated).as_secs_f64() / MEMORY.as_secs_f64();
        let factor = (-age).exp();
        self.work.values_mut().for_each(|work| *work *= factor);
        self.updated = self.updated.max(now);
    }
}

/// The work that callers asked this entry for in the recent past, by service and rank.
#[derive(Clone, Debug, Default)]
pub struct RankDemand {
    services: BTreeMap<ServiceName, ServiceDemand>,
}

impl RankDemand {
    /// Records that a request of `rank` asks for `work`, in tokens.
    pub fn record(&mut self, now: Time, service: &ServiceName, rank: Rank, work: u64) {
        let demand = self.services.entry(service.clone()).or_default();
        demand.decay(now);
        *demand.work.entry(rank).or_default() += work.max(1) as f64;
    }

    /// Returns the shares of the ranks above and below `rank`.
    pub fn shares(&self, service: &ServiceName, rank: Rank) -> RankShares {
        let Some(demand) = self.services.get(service) else {
            return RankShares::default();
        };
        let all: f64 = demand.work.values().sum();
        let above = demand.work.range(..rank).map(|(_, work)| work);
        // The sum of no number is a negative zero, which reads badly in the log.
        let above = above.fold(0.0, |sum, work| sum + work);
        let own = demand.work.get(&rank).copied().unwrap_or_default();
        match all > 0.0 {
            true => RankShares {
                above: above / all,
                below: ((all - above - own) / all).max(0.0),
            },
            false => RankShares::default(),
        }
    }

    /// Drops the demand of the services for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&ServiceName) -> bool) {
        self.services.retain(|name, _| keep(name));
    }
}
