//! The choice of a target, and of another one that keeps a copy of the run.

use std::collections::BTreeSet;

use cw_types::ServiceName;
use cw_types::TargetId;
use cw_types::Time;
use cw_types::ZoneId;
use cw_wire::TargetHash;
use rand::Rng;
use rand::RngExt;

use super::Demand;
use super::Fleet;
use super::member::Member;

/// What one point of evidence against a target costs, in requests: one that went silent counts like
/// one with four requests more.
const STRIKE_COST: f64 = 2.0;

/// What a thousand tokens that have yet to be read cost, in requests: reading holds up all others
/// there, and each prompt waits for those before it.
const UNREAD_COST: f64 = 0.3;

/// What a copy of another engine's run costs, in requests: it takes memory but no steps.
const COPY_COST: f64 = 0.25;

/// What another availability zone costs, in requests: its bytes are charged and a little later.
const ZONE_COST: f64 = 0.2;

/// What a target without a free slot or free memory costs, in requests: more than any load.
const FULL_COST: f64 = 100.0;

/// The part of an engine's memory that is given away; the rest is for shared prompt parts.
const MEMORY_SHARE: f64 = 0.9;

/// What a target that another entry prefers costs, in requests: two entries that choose within the
/// same few milliseconds know nothing of each other's choice.
const FOREIGN_COST: f64 = 0.5;

/// What a target costs that its availability zone may have lost, in requests: more than it is worth
/// to be sure, less than being full.
const UNPROVEN_COST: f64 = 10.0;

/// The largest random part of a cost, in requests: entries with like views choose differently.
const JITTER: f64 = 0.4;

/// What a request needs of its target.
#[derive(Clone, Debug)]
pub struct Need<'a> {
    /// The service that answers.
    pub service: &'a ServiceName,
    /// The cache memory of one of its engines, in tokens; `None` for a plain service.
    pub memory: Option<u64>,
    /// What the request takes up.
    pub demand: Demand,
    /// The availability zone that asks.
    pub zone: &'a ZoneId,
    /// Targets that the request must not go to.
    pub excluded: &'a BTreeSet<TargetId>,
    /// Whether another engine is to keep a copy of the run.
    pub copy: bool,
    /// The target that has read the prompt before.
    pub read_at: Option<TargetHash>,
    /// Whether the other entries say what they have at the targets.
    pub peers: bool,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The target that runs it.
    pub target: TargetId,
    /// The target that keeps a copy of the run.
    pub copy: Option<TargetId>,
}

impl Fleet {
    /// Chooses a target, and one for the copy in another availability zone where there is one.
    ///
    /// Targets that could not be reached a moment ago are taken only when no other is left.
    pub fn place(&self, now: Time, need: &Need<'_>, rng: &mut impl Rng) -> Option<Placement> {
        let target = self
            .cheapest(now, need, rng, |member| {
                member.rest <= now && !member.replaced
            })
            .or_else(|| self.cheapest(now, need, rng, |_| true))?;
        let copy = need
            .copy
            .then(|| self.keeper(now, need, &target, rng))
            .flatten();
        Some(Placement { target, copy })
    }

    /// Chooses who keeps a copy of a run at `target`: another failure domain, with free memory.
    pub fn keeper(
        &self,
        now: Time,
        need: &Need<'_>,
        target: &TargetId,
        rng: &mut impl Rng,
    ) -> Option<TargetId> {
        let zone = &self.members.get(target)?.listing.zone;
        let fits = |member: &Member| {
            member.listing.id != *target
                && member.rest <= now
                && !member.replaced
                && !self.is_unproven(now, member)
                && has_memory(member, need)
        };
        self.cheapest(now, need, rng, |member| {
            fits(member) && member.listing.zone != *zone
        })
        .or_else(|| self.cheapest(now, need, rng, fits))
    }

    /// Returns the targets that a request may go to without doubt.
    pub(super) fn open<'a>(
        &'a self,
        now: Time,
        need: &'a Need<'_>,
    ) -> impl Iterator<Item = &'a Member> {
        self.allowed(need).filter(move |member| {
            member.rest <= now && !member.replaced && !self.is_unproven(now, member)
        })
    }

    fn allowed<'a>(&'a self, need: &'a Need<'_>) -> impl Iterator<Item = &'a Member> {
        self.members
            .values()
            .filter(|member| member.listing.service == *need.service && !member.listing.leaving)
            .filter(|member| !need.excluded.contains(&member.listing.id))
    }

    fn cheapest(
        &self,
        now: Time,
        need: &Need<'_>,
        rng: &mut impl Rng,
        open: impl Fn(&Member) -> bool,
    ) -> Option<TargetId> {
        self.allowed(need)
            .filter(|member| open(member))
            .map(|member| {
                let jitter = rng.random_range(0.0..JITTER);
                // Trying the one that has read the prompt costs a few milliseconds at most times,
                // reading it anew a second.
                let is_reader = need.read_at == Some(member.hash);
                let unproven = match self.is_unproven(now, member) && !is_reader {
                    true => UNPROVEN_COST,
                    false => 0.0,
                };
                let cost = cost(now, member, need) + unproven + jitter;
                (cost, &member.listing.id)
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, id)| id.clone())
    }
}

fn cost(now: Time, member: &Member, need: &Need<'_>) -> f64 {
    let peers = member.peers;
    let others = match need.peers {
        true => f64::from(peers.runs),
        false => member.foreign(now),
    };
    let busy = f64::from(member.runs) + others;
    let mut cost = busy
        + UNREAD_COST * (member.unread + peers.unread) as f64 / 1000.0
        + COPY_COST * f64::from(member.copies + peers.copies)
        + STRIKE_COST * member.strikes(now);
    if member.listing.zone != *need.zone {
        cost += ZONE_COST;
    }
    if !member.own {
        cost += FOREIGN_COST;
    }
    if need.read_at == Some(member.hash) {
        cost -= UNREAD_COST * need.demand.prompt as f64 / 1000.0;
    }
    let slots = f64::from(member.listing.slots.max(1));
    if busy >= slots || !has_memory(member, need) {
        cost += FULL_COST;
    }
    cost
}

fn has_memory(member: &Member, need: &Need<'_>) -> bool {
    let Some(memory) = need.memory else {
        return true;
    };
    let there = member.tokens.saturating_add(member.peers.tokens);
    let taken = there.saturating_add(need.demand.tokens());
    taken as f64 <= memory as f64 * MEMORY_SHARE
}
