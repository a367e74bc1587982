//! The quota demands that a relay sends and forwards.

use std::collections::BTreeMap;
use std::time::Duration;

use cw_types::HostId;
use cw_types::Time;
use cw_types::WorkspaceId;
use cw_wire::QuotaDemand;

/// The age from which a demand of another entry is no longer forwarded.
const MAX_DEMAND_AGE: Duration = Duration::from_secs(6);

/// The latest quota demands of an entry and of its group peers.
#[derive(Clone, Debug, Default)]
pub(super) struct Demands {
    own: Option<(Time, QuotaDemand)>,
    peers: BTreeMap<HostId, (Time, QuotaDemand)>,
}

impl Demands {
    /// Replaces the entry's own demand.
    pub(super) fn set_own(&mut self, now: Time, demand: QuotaDemand) {
        self.own = Some((now, demand));
    }

    /// Replaces the demand of a group peer. `made` is when the peer computed it.
    pub(super) fn set_peer(&mut self, made: Time, demand: QuotaDemand) {
        self.peers.insert(demand.from.clone(), (made, demand));
    }

    /// Returns the entry's own demand with its age, to send to the group peers.
    pub(super) fn own(&self, now: Time) -> Vec<(Duration, QuotaDemand)> {
        let aged = |(made, demand): &(Time, QuotaDemand)| (now.since(*made), demand.clone());
        self.own.iter().map(aged).collect()
    }

    /// Returns the total demand of the group, to send to entries of other groups.
    ///
    /// Its age is that of the oldest demand in it. The result is empty until the entry has a demand
    /// of its own.
    pub(super) fn group_total(&mut self, now: Time, sequence: u64) -> Vec<(Duration, QuotaDemand)> {
        self.peers
            .retain(|_, (made, _)| now.since(*made) < MAX_DEMAND_AGE);
        let Some((made, own)) = &self.own else {
            return Vec::new();
        };
        let mut oldest = *made;
        let mut total = QuotaDemand {
            sequence,
            ..own.clone()
        };
        for (made, demand) in self.peers.values() {
            oldest = oldest.min(*made);
            total.entries += demand.entries;
            add_parts(&mut total.parts, &demand.parts);
        }
        vec![(now.since(oldest), total)]
    }
}

fn add_parts(total: &mut BTreeMap<WorkspaceId, f64>, parts: &BTreeMap<WorkspaceId, f64>) {
    for (workspace, part) in parts {
        *total.entry(workspace.clone()).or_default() += part;
    }
}
