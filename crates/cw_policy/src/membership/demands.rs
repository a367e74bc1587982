//! The demands on quotas on their way.

use std::collections::BTreeMap;
use std::time::Duration;

use cw_types::HostId;
use cw_types::Time;
use cw_types::WorkspaceId;
use cw_wire::Demand;

/// How old a demand may be and still be passed on.
const FRESH: Duration = Duration::from_secs(6);

/// The demands of an entry and of the others in its group.
#[derive(Clone, Debug, Default)]
pub(super) struct Demands {
    own: Option<(Time, Demand)>,
    near: BTreeMap<HostId, (Time, Demand)>,
}

impl Demands {
    /// Takes the entry's own demand.
    pub(super) fn on_own(&mut self, now: Time, demand: Demand) {
        self.own = Some((now, demand));
    }

    /// Takes the demand of another entry of the group.
    pub(super) fn on_near(&mut self, made: Time, demand: Demand) {
        self.near.insert(demand.from.clone(), (made, demand));
    }

    /// Returns the own demand, for the group.
    pub(super) fn own(&self, now: Time) -> Vec<(Duration, Demand)> {
        let aged = |(made, demand): &(Time, Demand)| (now.since(*made), demand.clone());
        self.own.iter().map(aged).collect()
    }

    /// Returns the sum of the group's demands, for the entries of other groups.
    pub(super) fn sum(&mut self, now: Time, sequence: u64) -> Vec<(Duration, Demand)> {
        self.near.retain(|_, (made, _)| now.since(*made) < FRESH);
        let Some((made, own)) = &self.own else {
            return Vec::new();
        };
        let mut oldest = *made;
        let mut sum = Demand {
            sequence,
            ..own.clone()
        };
        for (made, demand) in self.near.values() {
            oldest = oldest.min(*made);
            sum.entries += demand.entries;
            add(&mut sum.parts, &demand.parts);
        }
        vec![(now.since(oldest), sum)]
    }
}

fn add(sum: &mut BTreeMap<WorkspaceId, f64>, parts: &BTreeMap<WorkspaceId, f64>) {
    for (workspace, part) in parts {
        *sum.entry(workspace.clone()).or_default() += part;
    }
}
