//! What all entries have seen of a roll-out.

use std::collections::BTreeMap;
use std::time::Duration;

use cw_types::HostId;
use cw_types::Incarnation;
use cw_types::Time;
use cw_wire::RolloutEvidence;
use cw_wire::RouteHash;
use cw_wire::SideEvidence;

use super::side_totals::SideTotals;

/// The maximum number of incarnations of entries whose evidence is kept. It is several times the number of entries
/// of a large deployment, so that restarts do not push out evidence.
const MAX_INCARNATIONS: usize = 2048;

/// How long the runs of an entry count that sends no messages. Messages go out several times a second; those of an
/// entry that has ended would keep the roll-out waiting.
const RUNS_TTL: Duration = Duration::from_secs(3);

/// The evidence about both sides.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct RouteTotals {
    pub(super) old: SideTotals,
    pub(super) new: SideTotals,
}

impl RouteTotals {
    /// Adds what others have seen.
    pub(super) fn merge(&mut self, other: &Self) {
        self.old.merge(&other.old);
        self.new.merge(&other.new);
    }
}

/// What all other entries have seen of a roll-out.
#[derive(Clone, Debug, Default)]
pub(super) struct EvidenceTable {
    latest: BTreeMap<(HostId, Incarnation), (Time, RolloutEvidence)>,
}

impl EvidenceTable {
    /// Records what an incarnation of an entry has seen. Its counts only rise, so a message that was held up is
    /// known by them.
    pub(super) fn receive(
        &mut self,
        now: Time,
        host: &HostId,
        incarnation: Incarnation,
        evidence: &RolloutEvidence,
    ) {
        let key = (host.clone(), incarnation);
        let is_new = !self.latest.contains_key(&key);
        if is_new && self.latest.len() >= MAX_INCARNATIONS {
            return;
        }
        let known = self.latest.entry(key).or_default();
        if event_count(&known.1) <= event_count(evidence) {
            *known = (now, evidence.clone());
        }
    }

    /// Returns the evidence of all entries by route.
    pub(super) fn totals(&self, own: &RolloutEvidence) -> BTreeMap<RouteHash, RouteTotals> {
        let mut totals: BTreeMap<RouteHash, RouteTotals> = BTreeMap::new();
        let others = self.latest.values().map(|(_, evidence)| evidence);
        for route in others.chain([own]).flat_map(|evidence| &evidence.routes) {
            let total = totals.entry(route.route).or_default();
            total.old.add(&route.old);
            total.new.add(&route.new);
        }
        totals
    }

    /// Returns the number of runs at old versions, of entries whose messages arrive.
    pub(super) fn runs_old(&self, now: Time, own: &RolloutEvidence) -> u64 {
        let recent = self.latest.values();
        let recent = recent.filter(|(at, _)| now.since(*at) <= RUNS_TTL);
        let others: u64 = recent
            .map(|(_, evidence)| u64::from(evidence.runs_old))
            .sum();
        others + u64::from(own.runs_old)
    }

    /// Returns when the last message of another entry arrived.
    pub(super) fn heard_at(&self) -> Option<Time> {
        self.latest.values().map(|(at, _)| *at).max()
    }
}

/// Returns the number of events in the evidence of one entry.
fn event_count(evidence: &RolloutEvidence) -> u64 {
    let side = |side: &SideEvidence| {
        let ends = u64::from(side.answers) + u64::from(side.failures) + u64::from(side.losses);
        let firsts: u64 = side.firsts.counts().iter().copied().map(u64::from).sum();
        u64::from(side.sends) + ends + firsts
    };
    let routes = evidence.routes.iter();
    routes
        .map(|route| side(&route.old) + side(&route.new))
        .sum()
}
