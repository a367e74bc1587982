//! The demands that other entries announce.

use std::collections::BTreeMap;
use std::time::Duration;

use cw_types::HostId;
use cw_types::Time;
use cw_types::WorkspaceId;
use cw_wire::QuotaDemand;

/// The last demand received from one sender.
#[derive(Clone, Debug, PartialEq)]
struct ReceivedDemand {
    at: Time,
    demand: QuotaDemand,
}

/// The last demands received from all senders.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct PeerDemands {
    demands: BTreeMap<HostId, ReceivedDemand>,
}

impl PeerDemands {
    /// Stores a demand announced at `at`, unless a newer one of its sender is known that is not
    /// stale.
    pub(super) fn insert(&mut self, at: Time, max_age: Duration, demand: QuotaDemand) {
        let is_outdated = self.demands.get(&demand.from).is_some_and(|received| {
            received.demand.sequence >= demand.sequence && at.since(received.at) <= max_age
        });
        if !is_outdated {
            self.demands
                .insert(demand.from.clone(), ReceivedDemand { at, demand });
        }
    }

    /// Removes the demands of senders that are no longer entries.
    pub(super) fn retain(&mut self, is_entry: impl Fn(&HostId) -> bool) {
        self.demands.retain(|host, _| is_entry(host));
    }

    /// Returns the sum of the demands for a workspace's quota, and the number of entries in it.
    ///
    /// An entry that does not name the workspace counts with `floor`.
    pub(super) fn total(
        &self,
        now: Time,
        max_age: Duration,
        workspace: &WorkspaceId,
        floor: f64,
    ) -> (f64, usize) {
        let fresh = self
            .demands
            .values()
            .filter(|received| now.since(received.at) <= max_age);
        fresh.fold((0.0, 0), |(sum, count), received| {
            let entries = received.demand.entries;
            let floors = floor * f64::from(entries);
            let fraction = received.demand.parts.get(workspace).copied();
            (sum + fraction.unwrap_or(floors), count + entries as usize)
        })
    }
}
