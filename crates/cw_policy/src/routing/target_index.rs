//! The live targets of a view, indexed once for all decisions that use the view.

use std::collections::BTreeMap;

use cw_types::AdapterName;
use cw_types::ModelName;
use cw_types::RouteTarget;
use cw_types::TargetId;
use cw_types::TargetKind;
use cw_types::Time;
use cw_types::VersionName;
use xxhash_rust::xxh3::xxh3_64;

use super::DispatchLog;
use super::RoutingCosts;
use super::candidate::Candidate;
use super::candidate::Group;
use super::candidate::Member;
use super::estimate::estimate;
use crate::Liveness;
use crate::TargetView;
use crate::View;

/// The live targets of a view, by what they can run.
#[derive(Clone, Debug, Default)]
pub struct TargetIndex {
    pub(super) candidates: Vec<Candidate>,
    pub(super) costs: RoutingCosts,
    models: BTreeMap<ModelName, BTreeMap<VersionName, Group>>,
    services: BTreeMap<String, Group>,
    adapters: BTreeMap<ModelName, BTreeMap<VersionName, Vec<AdapterName>>>,
    empty: Group,
}

impl TargetIndex {
    /// Indexes the live targets of `view`, with the default costs.
    pub fn new(view: &View) -> Self {
        let mut index = Self::default();
        for version in view.config.versions.values() {
            index
                .adapters
                .entry(version.model.clone())
                .or_default()
                .entry(version.version.clone())
                .or_default()
                .extend(version.adapters.iter().cloned());
        }
        for (id, target) in &view.targets {
            index.insert(id, target);
        }
        index.compute_averages();
        index
    }

    /// Replaces the costs by which targets are compared.
    #[must_use]
    pub fn with_costs(mut self, costs: RoutingCosts) -> Self {
        self.costs = costs;
        self
    }

    /// Returns about how many more attempts the targets of `to` can take now, or `None` when there
    /// are no such targets. It is at least one while any target accepts attempts, since the reports
    /// of load lag behind.
    pub fn spare_capacity(
        &self,
        now: Time,
        to: &RouteTarget,
        dispatches: &DispatchLog,
    ) -> Option<usize> {
        let group = self.group(to);
        let members = match group.alive.is_empty() {
            true => &group.suspect,
            false => &group.alive,
        };
        if members.is_empty() {
            return None;
        }
        let open = members
            .iter()
            .map(|member| &self.candidates[member.position])
            .filter(|candidate| dispatches.busy_until(&candidate.id) <= now);
        let spare =
            |candidate| estimate(now, candidate, dispatches, &self.costs, group).spare_capacity();
        let (any, sum) = open.fold((false, 0), |(_, sum), candidate| {
            (true, sum + spare(candidate))
        });
        Some(sum.max(usize::from(any)))
    }

    // ---- Groups ----

    fn insert(&mut self, id: &TargetId, view: &TargetView) {
        if !matches!(view.liveness, Liveness::Alive | Liveness::Suspect) {
            return;
        }
        let member = Member {
            id_hash: xxh3_64(id.as_str().as_bytes()),
            position: self.candidates.len(),
        };
        self.candidates.push(Candidate {
            id: id.clone(),
            zone: view.target.zone.clone(),
            region: view.target.region.clone(),
            load: view.load,
            reported_at: view.reported_at,
            alive_since: view.alive_since,
        });
        if let TargetKind::Service { service } = &view.target.kind {
            let group = self.services.entry(service.clone()).or_default();
            group.insert(member, view.liveness);
            return;
        }
        for (model, versions) in &view.versions {
            let groups = self.models.entry(model.clone()).or_default();
            for version in versions {
                let group = groups.entry(version.clone()).or_default();
                group.insert(member, view.liveness);
            }
        }
    }

    fn compute_averages(&mut self) {
        let candidates = &self.candidates;
        let models = self.models.values_mut().flat_map(BTreeMap::values_mut);
        for group in models.chain(self.services.values_mut()) {
            let times = group
                .alive
                .iter()
                .map(|member| candidates[member.position].alive_since);
            group.first_alive = times.min().unwrap_or_default();
            let loads = group
                .alive
                .iter()
                .map(|member| &candidates[member.position].load);
            let (busy, limit) = loads.fold((0, 0), |(busy, limit), load| {
                let outstanding = u64::from(load.running) + u64::from(load.waiting);
                (busy + outstanding, limit + u64::from(load.limit.max(1)))
            });
            group.utilization = busy as f64 / limit.max(1) as f64;
        }
    }

    /// Returns the targets that can run a request for `to`.
    pub(super) fn group(&self, to: &RouteTarget) -> &Group {
        let found = match to {
            RouteTarget::Service { service } => self.services.get(service),
            RouteTarget::Model {
                model,
                version,
                adapter,
            } => self
                .models
                .get(model)
                .and_then(|versions| versions.get(version))
                .filter(|_| self.has_adapter(model, version, adapter.as_ref())),
        };
        found.unwrap_or(&self.empty)
    }

    /// Returns the position among the candidates of a target if it is one of `members`.
    pub(super) fn find_position(&self, members: &[Member], target: &TargetId) -> Option<usize> {
        // Members are sorted by id, as the targets of a view are.
        members
            .binary_search_by(|member| self.candidates[member.position].id.cmp(target))
            .ok()
            .map(|found| members[found].position)
    }

    fn has_adapter(
        &self,
        model: &ModelName,
        version: &VersionName,
        adapter: Option<&AdapterName>,
    ) -> bool {
        let Some(adapter) = adapter else {
            return true;
        };
        self.adapters
            .get(model)
            .and_then(|versions| versions.get(version))
            .is_some_and(|adapters| adapters.contains(adapter))
    }
}

impl Group {
    fn insert(&mut self, member: Member, liveness: Liveness) {
        match liveness {
            Liveness::Alive => self.alive.push(member),
            _ => self.suspect.push(member),
        }
    }
}
