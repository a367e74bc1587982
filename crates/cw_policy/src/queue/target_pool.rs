//! The queue of the requests that wait for the same targets.

use std::collections::BTreeMap;

use cw_types::AdapterName;
use cw_types::ModelName;
use cw_types::RouteTarget;
use cw_types::VersionName;

use super::QueuedRequest;
use super::drain_rate::DrainRate;
use super::flow::Flow;
use super::flow::RankQueue;
use super::queue_position::QueuePosition;

/// The targets that requests wait for: requests of one pool can run on the same targets.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TargetPool {
    /// The targets of a model version, with an adapter or none.
    Model(ModelName, VersionName, Option<AdapterName>),
    /// The targets of a plain service.
    Service(String),
}

impl From<&RouteTarget> for TargetPool {
    fn from(to: &RouteTarget) -> Self {
        match to {
            RouteTarget::Model {
                model,
                version,
                adapter,
            } => TargetPool::Model(model.clone(), version.clone(), adapter.clone()),
            RouteTarget::Service { service } => TargetPool::Service(service.clone()),
        }
    }
}

impl From<&TargetPool> for RouteTarget {
    fn from(pool: &TargetPool) -> Self {
        match pool.clone() {
            TargetPool::Model(model, version, adapter) => RouteTarget::Model {
                model,
                version,
                adapter,
            },
            TargetPool::Service(service) => RouteTarget::Service { service },
        }
    }
}

/// The waiting requests of one pool.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolQueue {
    ranks: BTreeMap<u8, RankQueue>,
    starts: u32,
    pub(super) drain_rate: DrainRate,
}

impl PoolQueue {
    pub(super) fn insert(&mut self, request: QueuedRequest) {
        self.ranks.entry(request.rank).or_default().insert(request);
    }

    /// Reverts the charge for the start of a request that returned to the queue.
    pub(super) fn revert_start(&mut self, request: &QueuedRequest) {
        self.drain_rate.revert_start();
        if let Some(rank) = self.ranks.get_mut(&request.rank) {
            rank.revert_start(&request.workspace);
        }
    }

    pub(super) fn remove(&mut self, position: &QueuePosition) -> Option<QueuedRequest> {
        let rank = self.ranks.get_mut(&position.rank)?;
        let request = rank.remove(&position.workspace, position.key);
        if rank.is_empty() {
            self.ranks.remove(&position.rank);
        }
        request
    }

    pub(super) fn is_empty(&self) -> bool {
        self.ranks.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.ranks.values().map(RankQueue::len).sum()
    }

    /// Takes the next request to start; one in `lower_interval` is of a rank below the highest.
    pub(super) fn take_next(&mut self, lower_interval: u32) -> Option<QueuedRequest> {
        self.starts = self.starts.wrapping_add(1);
        let highest = *self.ranks.keys().next_back()?;
        let oldest = if self.starts.is_multiple_of(lower_interval.max(1)) {
            self.oldest_below(highest)
        } else {
            None
        };
        let rank = oldest.as_ref().map_or(highest, |position| position.rank);
        let rank_queue = self.ranks.get_mut(&rank)?;
        let request = match oldest {
            Some(position) => rank_queue.remove(&position.workspace, position.key),
            None => rank_queue.take_next(),
        };
        if rank_queue.is_empty() {
            self.ranks.remove(&rank);
        }
        request
    }

    /// Returns the least number of requests that start before a new one of this rank, workspace and
    /// deadline.
    ///
    /// The next start may already be one of those that go to lower ranks.
    pub(super) fn requests_ahead(&self, request: &QueuedRequest, lower_interval: u32) -> usize {
        let own = self.ranks.get(&request.rank);
        let own = own.map_or(0, |rank| rank.requests_ahead(request));
        let highest = self.ranks.keys().next_back().copied().unwrap_or_default();
        if request.rank >= highest {
            return own;
        }
        let higher = self.ranks.iter().filter(|(rank, _)| **rank > request.rank);
        let higher: usize = higher.map(|(_, rank)| rank.len()).sum();
        let below = self.ranks.range(..highest).map(|(_, rank)| rank.len());
        let by_age = below.sum::<usize>() * lower_interval as usize;
        by_age.min(higher + own)
    }

    /// Returns the lowest rank with a waiting request.
    pub(super) fn lowest_rank(&self) -> Option<u8> {
        self.ranks.keys().next().copied()
    }

    /// Returns the longest flow of a rank, by requests per weight.
    pub(super) fn longest(&self, rank: u8) -> Option<&Flow> {
        self.ranks.get(&rank)?.longest()
    }

    /// Returns the length of a workspace's flow, in requests per weight, with one more request.
    pub(super) fn length_with(&self, request: &QueuedRequest) -> f64 {
        let rank = self.ranks.get(&request.rank);
        rank.map_or(0.0, |rank| rank.length(&request.workspace))
            + 1.0 / f64::from(request.weight.max(1))
    }

    fn oldest_below(&self, highest: u8) -> Option<QueuePosition> {
        self.ranks
            .range(..highest)
            .filter_map(|(_, rank)| rank.oldest())
            .min_by_key(|request| (request.arrived, request.id))
            .map(QueuePosition::of)
    }
}
