//! Selects the target of a request, and another one that keeps a copy of the run.

use std::collections::BTreeSet;
use std::time::Duration;

use cw_types::Incarnation;
use cw_types::ServiceName;
use cw_types::TargetId;
use cw_types::Time;
use cw_types::ZoneId;
use cw_wire::SoftwareHash;
use cw_wire::TargetHash;
use rand::Rng;
use rand::RngExt;

use super::Demand;
use super::Fleet;
use super::Precedence;
use super::SoftwareFilter;
use super::entry_ranking::Nearness;
use super::member::Member;

/// The cost of one point of a target's penalty, in requests. A target that went silent costs as
/// much as one with four more requests.
const PENALTY_COST: f64 = 2.0;

/// The cost of a thousand unread tokens, in requests. Reading a prompt delays all other requests of
/// the target, and each prompt waits for those before it.
const UNREAD_COST: f64 = 0.3;

/// The cost of a copy of another engine's run, in requests. It uses memory but no generation steps.
const COPY_COST: f64 = 0.25;

/// The cost of another availability zone, in requests. Traffic between zones is charged and
/// slightly slower.
const ZONE_COST: f64 = 0.2;

/// The cost of a target without a free slot or free memory, in requests. It exceeds that of any
/// load.
const FULL_COST: f64 = 100.0;

/// The fraction of an engine's memory that is available to requests. The rest is reserved for
/// shared prompt prefixes.
const MEMORY_SHARE: f64 = 0.9;

/// The cost of a target that another entry is nearer to, in requests. Two entries that place requests
/// within the same few milliseconds do not know of each other's choice.
const NOT_NEAREST_COST: f64 = 0.5;

/// The cost of a target that enough other entries are nearer to, in requests. This entry hears late of
/// their prompts there, and an empty target that all entries choose until they hear of each other has a
/// queue of many seconds. It exceeds the load of a target that reads a prompt and runs some requests.
const FAR_COST: f64 = 4.0;

/// The cost of a target that may have been lost with its availability zone, in requests. It is
/// high enough to avoid such a target in most cases, and lower than [`FULL_COST`].
const ZONE_SUSPECT_COST: f64 = 10.0;

/// The cost of a target that has just started or was lost, for a request beyond its pace, in requests. It
/// exceeds the load of a target that is in use, and is lower than [`FULL_COST`], so that a request is not
/// refused because of it.
const PACE_COST: f64 = 10.0;

/// The cost of beginning a stream at the only target with its software version, in requests. The stream ends
/// with that target.
const LONE_COST: f64 = 3.0;

/// The cost of beginning a stream at a software version whose targets are leaving while those of another one stay,
/// in requests. Fewer and fewer targets can take it over.
const RETIRING_COST: f64 = 1.0;

/// The cost, to a request of the first rank among several, of a target that has not answered this
/// entry within its objective, in requests. A refusal there costs an extra send; less than a prompt
/// that is being read elsewhere.
const UNPROVEN_COST: f64 = 2.0;

/// The upper bound of the random part of a cost, in requests. It makes entries with similar views
/// choose different targets.
const JITTER: f64 = 0.4;

/// The requirements of a request on its target.
#[derive(Clone, Debug)]
pub struct Requirements<'a> {
    /// The service that the request is for.
    pub service: &'a ServiceName,
    /// The cache memory of one engine of the service in tokens, `None` for a service without
    /// engines.
    pub memory: Option<u64>,
    /// The resources that the request uses.
    pub demand: Demand,
    /// The availability zone of this entry.
    pub zone: &'a ZoneId,
    /// The targets that the request must not be sent to.
    pub excluded: &'a BTreeSet<TargetId>,
    /// Whether another engine should keep a copy of the run.
    pub wants_copy: bool,
    /// The software that began the stream, which only goes on at it. `None` for what may begin anywhere.
    pub software: Option<SoftwareHash>,
    /// The software that what may begin anywhere is restricted to.
    pub filter: SoftwareFilter,
    /// The target that has already read the prompt, if known.
    pub reader: Option<TargetHash>,
    /// Whether the load that other entries report is known. Otherwise the targets' own reports are
    /// used.
    pub peers_known: bool,
    /// The precedence over other requests of the service.
    pub precedence: Precedence,
    /// The latency objective of the request.
    pub objective: Duration,
}

/// The targets selected for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The target that runs the request.
    pub target: TargetId,
    /// The incarnation of the target at the time of the choice.
    pub incarnation: Incarnation,
    /// The software of this incarnation.
    pub software: SoftwareHash,
    /// The target that keeps a copy of the run, if there is one.
    pub keeper: Option<TargetId>,
}

impl Fleet {
    /// Selects a target, and one for the copy, preferably in another availability zone.
    ///
    /// Targets in backoff are used only when there is no other.
    pub fn place(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        rng: &mut impl Rng,
    ) -> Option<Placement> {
        let target = self
            .cheapest(now, requirements, rng, |member| {
                member.backoff_until <= now && !member.replaced
            })
            .or_else(|| self.cheapest(now, requirements, rng, |_| true))?;
        let keeper = requirements
            .wants_copy
            .then(|| self.select_keeper(now, requirements, &target, rng))
            .flatten();
        self.placement(target, keeper)
    }

    /// Returns whether a request may still be sent to the target of a placement: the directory lists the same incarnation
    /// with the same software, and it has not begun to leave.
    pub fn is_still_open(&self, placement: &Placement) -> bool {
        let member = self.members.get(&placement.target);
        member.is_some_and(|member| {
            !member.listing.leaving
                && member.listing.incarnation() == placement.incarnation
                && member.software == placement.software
        })
    }

    /// Returns the placement of a request at a target that the directory lists, as it is now.
    pub fn placement(&self, target: TargetId, keeper: Option<TargetId>) -> Option<Placement> {
        let member = self.members.get(&target)?;
        Some(Placement {
            incarnation: member.listing.incarnation(),
            software: member.software,
            target,
            keeper,
        })
    }

    /// Selects the target that keeps a copy of a run at `target`. It has the same software and free memory, and is
    /// in another availability zone if possible.
    pub fn select_keeper(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        target: &TargetId,
        rng: &mut impl Rng,
    ) -> Option<TargetId> {
        let source = self.members.get(target)?;
        let zone = &source.listing.zone;
        let fits = |member: &Member| {
            member.listing.id != *target
                && member.software == source.software
                && member.backoff_until <= now
                && !member.replaced
                && !self.is_zone_suspect(now, member)
                && has_memory(member, requirements)
        };
        self.cheapest(now, requirements, rng, |member| {
            fits(member) && member.listing.zone != *zone
        })
        .or_else(|| self.cheapest(now, requirements, rng, fits))
    }

    /// Returns the eligible targets that are neither in backoff nor suspected.
    pub(super) fn candidates<'a>(
        &'a self,
        now: Time,
        requirements: &'a Requirements<'_>,
    ) -> impl Iterator<Item = &'a Member> {
        self.eligible(now, requirements).filter(move |member| {
            member.backoff_until <= now && !member.replaced && !self.is_zone_suspect(now, member)
        })
    }

    /// Returns the targets of the service that are neither leaving nor excluded, and that take a
    /// request of this entry now.
    fn eligible<'a>(
        &'a self,
        now: Time,
        requirements: &'a Requirements<'_>,
    ) -> impl Iterator<Item = &'a Member> {
        self.members
            .values()
            .filter(|member| requirements.may_run_at(member))
            .filter(move |member| member.has_slot(now))
    }

    /// Returns whether a target that is at its limit may be sent a request later.
    pub(super) fn is_candidate(
        &self,
        now: Time,
        member: &Member,
        requirements: &Requirements<'_>,
    ) -> bool {
        requirements.may_run_at(member) && member.backoff_until <= now && !member.replaced
    }

    /// Returns the eligible target with the lowest cost among those that `accept` selects.
    fn cheapest(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        rng: &mut impl Rng,
        accept: impl Fn(&Member) -> bool,
    ) -> Option<TargetId> {
        let doubtful = self.doubtful_zones(now, requirements);
        self.eligible(now, requirements)
            .filter(|member| accept(member))
            .map(|member| {
                let jitter = rng.random_range(0.0..JITTER);
                // Trying the target that has read the prompt usually costs a few milliseconds, even
                // if it is down, while reading the prompt elsewhere costs a second.
                let is_reader = requirements.reader == Some(member.hash);
                let is_suspect =
                    self.is_zone_suspect(now, member) || doubtful.contains(&member.listing.zone);
                let suspicion = match is_suspect && !is_reader {
                    true => ZONE_SUSPECT_COST,
                    false => 0.0,
                };
                let future = self.software_cost(member, requirements);
                let cost = cost(now, member, requirements) + suspicion + future + jitter;
                (cost, &member.listing.id)
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, id)| id.clone())
    }
}

impl Fleet {
    /// Returns the zones of targets that were lost a moment ago and that the request was sent to. A zone is known to be
    /// lost only after several losses, and this request has seen one of them.
    fn doubtful_zones(&self, now: Time, requirements: &Requirements<'_>) -> BTreeSet<&ZoneId> {
        let excluded = requirements.excluded.iter();
        excluded
            .filter_map(|id| self.members.get(id))
            .filter(|member| member.is_lately_lost(now))
            .map(|member| &member.listing.zone)
            .collect()
    }

    /// Returns the cost of beginning a stream at a software version that may not last as long as the stream.
    fn software_cost(&self, member: &Member, requirements: &Requirements<'_>) -> f64 {
        let history = self.software.get(requirements.service);
        let Some(history) = history.filter(|history| history.is_mixed()) else {
            return 0.0;
        };
        if !requirements.wants_copy || requirements.software.is_some() {
            return 0.0;
        }
        let mut cost = 0.0;
        if history.size(member.software).active < 2 {
            cost += LONE_COST;
        }
        if history.is_retiring(member.software) {
            cost += RETIRING_COST;
        }
        cost
    }
}

impl Requirements<'_> {
    /// Returns whether the request may run at a target, whenever the target takes it. Each choice of a target asks
    /// this, also the one after a wait.
    fn may_run_at(&self, member: &Member) -> bool {
        let listing = &member.listing;
        listing.service == *self.service
            && !listing.leaving
            && !self.excluded.contains(&listing.id)
            && self.fits_software(member.software)
    }

    /// Returns whether a target with this software may take the request.
    fn fits_software(&self, software: SoftwareHash) -> bool {
        match self.software {
            Some(required) => required == software,
            None => self.filter.accepts(software),
        }
    }
}

/// Returns the cost of sending a request to a target, in requests.
fn cost(now: Time, member: &Member, requirements: &Requirements<'_>) -> f64 {
    let peers = member.peers;
    // Requests without a prompt take milliseconds, so those in the messages of other entries have ended.
    // All entries would choose the target that had the fewest then.
    let others = match requirements.peers_known && requirements.demand.prompt > 0 {
        true => f64::from(peers.runs),
        false => member.other_requests(now),
    };
    let requests = f64::from(member.runs) + others;
    // The own request counts too, so that it goes to the faster one of two idle targets.
    let own = match requirements.reader == Some(member.hash) {
        true => 0,
        false => requirements.demand.prompt,
    };
    let unread = UNREAD_COST * (member.unread + peers.unread + own) as f64 / 1000.0;
    let mut cost = member.slowness_factor(now) * (1.0 + requests + unread)
        + COPY_COST * f64::from(member.copies + peers.copies)
        + PENALTY_COST * member.penalty(now);
    if member.listing.zone != *requirements.zone {
        cost += ZONE_COST;
    }
    cost += match member.nearness {
        Nearness::Nearest => 0.0,
        Nearness::Near => NOT_NEAREST_COST,
        Nearness::Far => FAR_COST,
    };
    if !member.is_in_pace(now, requirements.demand) && requirements.reader != Some(member.hash) {
        cost += PACE_COST;
    }
    let is_proven = now.since(member.responded_at) <= requirements.objective;
    if requirements.precedence.is_first() && !is_proven {
        cost += UNPROVEN_COST;
    }
    let slots = f64::from(member.listing.slots.max(1));
    if requests >= slots || !has_memory(member, requirements) {
        cost += FULL_COST;
    }
    cost
}

/// Returns whether the target has enough free cache memory for the request.
fn has_memory(member: &Member, requirements: &Requirements<'_>) -> bool {
    let Some(memory) = requirements.memory else {
        return true;
    };
    let used = member.tokens.saturating_add(member.peers.tokens);
    let needed = used.saturating_add(requirements.demand.tokens());
    needed as f64 <= memory as f64 * MEMORY_SHARE
}
