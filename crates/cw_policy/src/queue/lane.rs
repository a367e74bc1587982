//! Requests that wait for the same targets.

use std::collections::BTreeMap;

use cw_types::AdapterName;
use cw_types::ModelName;
use cw_types::RouteTarget;
use cw_types::VersionName;

use super::Waiter;
use super::drain::Drain;
use super::flow::Flow;
use super::flow::Rank;
use super::waiting::Place;

/// What requests wait for: those of one lane can run on the same targets.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lane {
    /// A model, in a version, with an adapter or none.
    Model(ModelName, VersionName, Option<AdapterName>),
    /// A plain service.
    Service(String),
}

impl From<&RouteTarget> for Lane {
    fn from(to: &RouteTarget) -> Self {
        match to {
            RouteTarget::Model {
                model,
                version,
                adapter,
            } => Lane::Model(model.clone(), version.clone(), adapter.clone()),
            RouteTarget::Service { service } => Lane::Service(service.clone()),
        }
    }
}

impl From<&Lane> for RouteTarget {
    fn from(lane: &Lane) -> Self {
        match lane.clone() {
            Lane::Model(model, version, adapter) => RouteTarget::Model {
                model,
                version,
                adapter,
            },
            Lane::Service(service) => RouteTarget::Service { service },
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
    pub(super) fn insert(&mut self, waiter: Waiter) {
        self.ranks.entry(waiter.rank).or_default().insert(waiter);
    }

    /// Takes back that a request was started.
    pub(super) fn refund(&mut self, waiter: &Waiter) {
        self.drain.refund();
        if let Some(rank) = self.ranks.get_mut(&waiter.rank) {
            rank.refund(&waiter.workspace);
        }
    }

    pub(super) fn remove(&mut self, place: &Place) -> Option<Waiter> {
        let rank = self.ranks.get_mut(&place.rank)?;
        let waiter = rank.remove(&place.workspace, place.order);
        if rank.is_empty() {
            self.ranks.remove(&place.rank);
        }
        waiter
    }

    pub(super) fn is_empty(&self) -> bool {
        self.ranks.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.ranks.values().map(Rank::len).sum()
    }

    /// Takes the request that goes next; one in `lower` comes from below the highest rank.
    pub(super) fn take(&mut self, lower: u32) -> Option<Waiter> {
        self.starts = self.starts.wrapping_add(1);
        let highest = *self.ranks.keys().next_back()?;
        let oldest = if self.starts.is_multiple_of(lower.max(1)) {
            self.oldest_below(highest)
        } else {
            None
        };
        let number = oldest.as_ref().map_or(highest, |place| place.rank);
        let rank = self.ranks.get_mut(&number)?;
        let waiter = match oldest {
            Some(place) => rank.remove(&place.workspace, place.order),
            None => rank.take(),
        };
        if rank.is_empty() {
            self.ranks.remove(&number);
        }
        waiter
    }

    /// Returns how many requests surely go before a new one of this rank, workspace and deadline.
    ///
    /// Of the starts that go to lower ranks, the first may be the next one.
    pub(super) fn ahead(&self, waiter: &Waiter, lower: u32) -> usize {
        let own = self.ranks.get(&waiter.rank);
        let own = own.map_or(0, |rank| rank.ahead(waiter));
        let highest = self.ranks.keys().next_back().copied().unwrap_or_default();
        if waiter.rank >= highest {
            return own;
        }
        let higher = self.ranks.iter().filter(|(rank, _)| **rank > waiter.rank);
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
    pub(super) fn length_with(&self, waiter: &Waiter) -> f64 {
        let rank = self.ranks.get(&waiter.rank);
        rank.map_or(0.0, |rank| rank.length(&waiter.workspace))
            + 1.0 / f64::from(waiter.weight.max(1))
    }

    fn oldest_below(&self, highest: u8) -> Option<Place> {
        self.ranks
            .range(..highest)
            .filter_map(|(_, rank)| rank.oldest())
            .min_by_key(|waiter| (waiter.arrived, waiter.id))
            .map(Place::of)
    }
}
