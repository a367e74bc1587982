//! What other entries want.

use std::collections::BTreeMap;
use std::time::Duration;

use cw_types::HostId;
use cw_types::Time;
use cw_types::WorkspaceId;
use cw_wire::Demand;

/// The last message of one sender.
#[derive(Clone, Debug, PartialEq)]
struct Heard {
    at: Time,
    demand: Demand,
}

/// The last messages of all senders.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Others {
    heard: BTreeMap<HostId, Heard>,
}

impl Others {
    /// Takes in a message that was made at the time `at`, unless a newer one of its sender is known and not stale.
    pub(super) fn insert(&mut self, at: Time, stale: Duration, demand: Demand) {
        let is_old = self.heard.get(&demand.from).is_some_and(|heard| {
            heard.demand.sequence >= demand.sequence && at.since(heard.at) <= stale
        });
        if !is_old {
            self.heard.insert(demand.from.clone(), Heard { at, demand });
        }
    }

    /// Forgets senders that are no longer entries.
    pub(super) fn retain(&mut self, is_entry: impl Fn(&HostId) -> bool) {
        self.heard.retain(|host, _| is_entry(host));
    }

    /// Returns what others want of a workspace's quota, and how many entries that covers.
    ///
    /// An entry that says nothing of the workspace wants `floor`.
    pub(super) fn wanted(
        &self,
        now: Time,
        stale: Duration,
        workspace: &WorkspaceId,
        floor: f64,
    ) -> (f64, usize) {
        let fresh = self
            .heard
            .values()
            .filter(|heard| now.since(heard.at) <= stale);
        fresh.fold((0.0, 0), |(sum, count), heard| {
            let entries = heard.demand.entries;
            let floors = floor * f64::from(entries);
            let part = heard.demand.parts.get(workspace).copied();
            (sum + part.unwrap_or(floors), count + entries as usize)
        })
    }
}
