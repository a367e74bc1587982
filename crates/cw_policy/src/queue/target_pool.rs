//! Requests that wait for the same targets.

use std::collections::BTreeMap;

use cw_types::AdapterName;
use cw_types::ModelName;
use cw_types::RouteTarget;
use cw_types::VersionName;

use super::QueuedRequest;
use super::drain_rate::Drain;
use super::flow::Flow;
use super::flow::Rank;
use super::request_queue::Place;

/// What requests wait for: those of one lane can run on the same targets.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TargetPool {
    /// A model, in a version, with an adapter or none.
    Model(ModelName, VersionName, Option<AdapterName>),
    /// A plain service.
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

/// The requests of one lane.
#[derive(Clone, Debug, Default)]
pub(super) struct Line {
    ranks: BTreeMap<u8, Rank>,
    starts: u32,
    pub(super) drain: Drain,
}

impl Line {
    pub(super) fn insert(&mut self, request: QueuedRequest) {
        self.ranks.entry(request.rank).or_default().insert(request);
    }

    /// Takes back that a request was started.
    pub(super) fn refund(&mut self, request: &QueuedRequest) {
        self.drain.refund();
        if let Some(rank) = self.ranks.get_mut(&request.rank) {
            rank.refund(&request.workspace);
        }
    }

    pub(super) fn remove(&mut self, place: &Place) -> Option<QueuedRequest> {
        let rank = self.ranks.get_mut(&place.rank)?;
        let request = rank.remove(&place.workspace, place.order);
        if rank.is_empty() {
            self.ranks.remove(&place.rank);
        }
        request
    }

    pub(super) fn is_empty(&self) -> bool {
        self.ranks.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.ranks.values().map(Rank::len).sum()
    }

    /// Takes the request that goes next; one in `lower` comes from below the highest rank.
    pub(super) fn take(&mut self, lower: u32) -> Option<QueuedRequest> {
        self.starts = self.starts.wrapping_add(1);
        let highest = *self.ranks.keys().next_back()?;
        let oldest = if self.starts.is_multiple_of(lower.max(1)) {
            self.oldest_below(highest)
        } else {
            None
        };
        let number = oldest.as_ref().map_or(highest, |place| place.rank);
        let rank = self.ranks.get_mut(&number)?;
        let request = match oldest {
            Some(place) => rank.remove(&place.workspace, place.order),
            None => rank.take(),
        };
        if rank.is_empty() {
            self.ranks.remove(&number);
        }
        request
    }

    /// Returns how many requests surely go before a new one of this rank, workspace and deadline.
    ///
    /// Of the starts that go to lower ranks, the first may be the next one.
    pub(super) fn ahead(&self, request: &QueuedRequest, lower: u32) -> usize {
        let own = self.ranks.get(&request.rank);
        let own = own.map_or(0, |rank| rank.ahead(request));
        let highest = self.ranks.keys().next_back().copied().unwrap_or_default();
        if request.rank >= highest {
            return own;
        }
        let higher = self.ranks.iter().filter(|(rank, _)| **rank > request.rank);
        let higher: usize = higher.map(|(_, rank)| rank.len()).sum();
        let below = self.ranks.range(..highest).map(|(_, rank)| rank.len());
        let by_age = below.sum::<usize>() * lower as usize;
        by_age.min(higher + own)
    }

    /// Returns the lowest rank that waits.
    pub(super) fn lowest(&self) -> Option<u8> {
        self.ranks.keys().next().copied()
    }

    /// Returns the longest flow of a rank, in requests per weight.
    pub(super) fn longest(&self, rank: u8) -> Option<&Flow> {
        self.ranks.get(&rank)?.longest()
    }

    /// Returns the length of a workspace's flow, in requests per weight, with one more request.
    pub(super) fn length_with(&self, request: &QueuedRequest) -> f64 {
        let rank = self.ranks.get(&request.rank);
        rank.map_or(0.0, |rank| rank.length(&request.workspace))
            + 1.0 / f64::from(request.weight.max(1))
    }

    fn oldest_below(&self, highest: u8) -> Option<Place> {
        self.ranks
            .range(..highest)
            .filter_map(|(_, rank)| rank.oldest())
            .min_by_key(|request| (request.arrived, request.id))
            .map(Place::of)
    }
}
