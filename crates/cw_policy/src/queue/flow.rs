//! Start-time fair queueing between the workspaces of one rank.

use std::collections::BTreeMap;

use cw_types::GenerationId;
use cw_types::Time;
use cw_types::WorkspaceId;

use super::QueuedRequest;

/// The order of one workspace's requests: by deadline, then by id.
pub(super) type DeadlineKey = (Time, GenerationId);

/// The requests of one workspace within a rank.
#[derive(Clone, Debug)]
pub(super) struct Flow {
    /// The virtual start time of its next request.
    start_tag: f64,
    weight: u32,
    requests: BTreeMap<DeadlineKey, QueuedRequest>,
}

impl Flow {
    /// Returns the number of waiting requests divided by the weight.
    pub(super) fn length(&self) -> f64 {
        self.requests.len() as f64 / f64::from(self.weight)
    }

    /// Returns the last request of the workspace, which has the latest deadline.
    pub(super) fn last(&self) -> Option<&QueuedRequest> {
        self.requests.values().next_back()
    }
}

/// The waiting requests of one rank, with a flow for each workspace.
#[derive(Clone, Debug, Default)]
pub(super) struct RankQueue {
    /// The virtual time of the last start.
    virtual_time: f64,
    flows: BTreeMap<WorkspaceId, Flow>,
}

impl RankQueue {
    pub(super) fn insert(&mut self, request: QueuedRequest) {
        let start_tag = self.virtual_time;
        let weight = request.weight.max(1);
        let flow = self
            .flows
            .entry(request.workspace.clone())
            .or_insert_with(|| Flow {
                start_tag,
                weight,
                requests: BTreeMap::new(),
            });
        flow.weight = weight;
        if flow.requests.is_empty() {
            flow.start_tag = flow.start_tag.max(self.virtual_time);
        }
        flow.requests
            .insert((request.deadline, request.id), request);
    }

    pub(super) fn remove(
        &mut self,
        workspace: &WorkspaceId,
        key: DeadlineKey,
    ) -> Option<QueuedRequest> {
        let flow = self.flows.get_mut(workspace)?;
        flow.requests.remove(&key)
    }

    /// Reverts the charge to a workspace for one start.
    pub(super) fn revert_start(&mut self, workspace: &WorkspaceId) {
        if let Some(flow) = self.flows.get_mut(workspace) {
            flow.start_tag -= 1.0 / f64::from(flow.weight);
        }
    }

    /// Takes the first request of the flow with the lowest start tag.
    pub(super) fn take_next(&mut self) -> Option<QueuedRequest> {
        let (_, flow) = self
            .flows
            .iter_mut()
            .filter(|(_, flow)| !flow.requests.is_empty())
            .min_by(|a, b| a.1.start_tag.total_cmp(&b.1.start_tag))?;
        let now = flow.start_tag;
        flow.start_tag += 1.0 / f64::from(flow.weight);
        let (_, request) = flow.requests.pop_first()?;
        self.virtual_time = self.virtual_time.max(now);
        // An empty flow stays until virtual time reaches its start tag. Otherwise a workspace with
        // one request at a time would always be started first.
        self.flows
            .retain(|_, flow| !flow.requests.is_empty() || flow.start_tag > now);
        Some(request)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.flows.values().all(|flow| flow.requests.is_empty())
    }

    pub(super) fn len(&self) -> usize {
        self.flows.values().map(|flow| flow.requests.len()).sum()
    }

    /// Returns the least number of requests that start before a new one.
    ///
    /// These are the requests of its workspace with an earlier deadline and, in proportion to them
    /// by weight, those of the other workspaces, as far as these have requests.
    pub(super) fn requests_ahead(&self, request: &QueuedRequest) -> usize {
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
