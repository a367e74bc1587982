//! Fair queueing between workspaces.

use std::collections::BTreeMap;

use cw_types::GenerationId;
use cw_types::Time;
use cw_types::WorkspaceId;

use super::QueuedRequest;

/// The order of one workspace's requests.
pub(super) type Order = (Time, GenerationId);

/// The requests of one workspace within a rank.
#[derive(Clone, Debug)]
pub(super) struct Flow {
    /// The virtual time at which its next request may start.
    start: f64,
    weight: u32,
    requests: BTreeMap<Order, QueuedRequest>,
}

impl Flow {
    /// Returns how many requests wait, per weight.
    pub(super) fn length(&self) -> f64 {
        self.requests.len() as f64 / f64::from(self.weight)
    }

    /// Returns the request that would go last.
    pub(super) fn last(&self) -> Option<&QueuedRequest> {
        self.requests.values().next_back()
    }
}

/// The requests of one rank: start-time fair queueing between workspaces.
#[derive(Clone, Debug, Default)]
pub(super) struct Rank {
    /// The virtual time of the last start.
    virtual_time: f64,
    flows: BTreeMap<WorkspaceId, Flow>,
}

impl Rank {
    pub(super) fn insert(&mut self, request: QueuedRequest) {
        let start = self.virtual_time;
        let weight = request.weight.max(1);
        let flow = self
            .flows
            .entry(request.workspace.clone())
            .or_insert_with(|| Flow {
                start,
                weight,
                requests: BTreeMap::new(),
            });
        flow.weight = weight;
        if flow.requests.is_empty() {
            flow.start = flow.start.max(self.virtual_time);
        }
        flow.requests
            .insert((request.deadline, request.id), request);
    }

    pub(super) fn remove(
        &mut self,
        workspace: &WorkspaceId,
        order: Order,
    ) -> Option<QueuedRequest> {
        let flow = self.flows.get_mut(workspace)?;
        flow.requests.remove(&order)
    }

    /// Takes back the charge for a start.
    pub(super) fn refund(&mut self, workspace: &WorkspaceId) {
        if let Some(flow) = self.flows.get_mut(workspace) {
            flow.start -= 1.0 / f64::from(flow.weight);
        }
    }

    /// Takes the first request of the workspace that is due.
    pub(super) fn take(&mut self) -> Option<QueuedRequest> {
        let (_, flow) = self
            .flows
            .iter_mut()
            .filter(|(_, flow)| !flow.requests.is_empty())
            .min_by(|a, b| a.1.start.total_cmp(&b.1.start))?;
        let now = flow.start;
        flow.start += 1.0 / f64::from(flow.weight);
        let (_, request) = flow.requests.pop_first()?;
        self.virtual_time = self.virtual_time.max(now);
        // An empty flow stays until its last start is paid for, or else a workspace with one
        // request at a time would always go first.
        self.flows
            .retain(|_, flow| !flow.requests.is_empty() || flow.start > now);
        Some(request)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.flows.values().all(|flow| flow.requests.is_empty())
    }

    pub(super) fn len(&self) -> usize {
        self.flows.values().map(|flow| flow.requests.len()).sum()
    }

    /// Returns how many requests surely go before a new one.
    ///
    /// Those of its workspace with an earlier deadline do, and for each of them, and for itself,
    /// the other workspaces get their shares, as far as they have requests.
    pub(super) fn ahead(&self, request: &QueuedRequest) -> usize {
        let own = self.flows.get(&request.workspace).map_or(0, |flow| {
            flow.requests
                .range(..(request.deadline, request.id))
                .count()
        });
        let rounds = own as f64 / f64::from(request.weight.max(1));
        let others: usize = self
            .flows
            .iter()
            .filter(|(workspace, _)| **workspace != request.workspace)
            .map(|(_, flow)| {
                let turns = (rounds * f64::from(flow.weight)) as usize;
                flow.requests.len().min(turns)
            })
            .sum();
        own + others
    }

    pub(super) fn longest(&self) -> Option<&Flow> {
        self.flows
            .values()
            .max_by(|a, b| a.length().total_cmp(&b.length()))
    }

    pub(super) fn length(&self, workspace: &WorkspaceId) -> f64 {
        self.flows.get(workspace).map_or(0.0, Flow::length)
    }

    pub(super) fn oldest(&self) -> Option<&QueuedRequest> {
        self.flows
            .values()
            .flat_map(|flow| flow.requests.values())
            .min_by_key(|request| (request.arrived, request.id))
    }
}
