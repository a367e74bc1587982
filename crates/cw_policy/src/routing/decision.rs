//! The choice of one target among the candidates of an index.

use cw_types::Time;
use rand::Rng;
use rand::RngExt;

use super::Choice;
use super::DispatchLog;
use super::Policy;
use super::RouteRequest;
use super::TargetIndex;
use super::affinity_key::AffinityKey;
use super::cached_shares::CachedShares;
use super::candidate::Candidate;
use super::candidate::Group;
use super::candidate::Member;
use super::estimate::estimate;
use super::shortlist::Shortlist;

/// How many targets of the rendezvous order are compared.
const RENDEZVOUS_CANDIDATES: usize = 4;

/// How many targets drawn at random are compared with them.
const RANDOM_CANDIDATES: usize = 4;

/// How many targets drawn at random are compared when caches are not considered.
const RANDOM_CANDIDATES_ALONE: usize = 12;

/// The share of the prompt that the first target of the rendezvous order is assumed to have cached.
const ASSUMED_CACHED_SHARE: f64 = 0.8;

/// One decision in progress.
struct Decision<'a> {
    index: &'a TargetIndex,
    now: Time,
    request: &'a RouteRequest,
    dispatches: &'a DispatchLog,
    group: &'a Group,
    /// The utilization above which a cached prefix is not worth the wait for it.
    load_bound: f64,
}

impl TargetIndex {
    /// Chooses a target for `request`.
    ///
    /// A suspect target is chosen only when no alive one is left.
    pub fn choose(
        &self,
        now: Time,
        policy: Policy,
        request: &RouteRequest,
        dispatches: &DispatchLog,
        rng: &mut impl Rng,
    ) -> Choice {
        let group = self.group(&request.to);
        let decision = Decision {
            index: self,
            now,
            request,
            dispatches,
            group,
            load_bound: group.utilization + self.costs.load_bound,
        };
        let alive = decision.choose_among(&group.alive, policy, rng);
        match alive {
            Choice::NoTarget => decision.choose_among(&group.suspect, policy, rng),
            choice => choice,
        }
    }
}

impl Decision<'_> {
    fn choose_among(&self, members: &[Member], policy: Policy, rng: &mut impl Rng) -> Choice {
        if members.is_empty() {
            return Choice::NoTarget;
        }
        let chosen = match policy {
            Policy::Affinity => self.affinity(members, rng),
            Policy::RoundRobin => self.round_robin(members),
            Policy::LeastReported => self.least_reported(members),
            Policy::PowerOfTwo => self.power_of_two(members, rng),
        };
        match chosen {
            Some(position) => Choice::Target(self.index.candidates[position].id.clone()),
            None => self.least_wait(members),
        }
    }

    // ---- The default policy ----

    /// Returns the candidate of lowest cost in a short list, if any of them is open.
    fn affinity(&self, members: &[Member], rng: &mut impl Rng) -> Option<usize> {
        let mut list = Shortlist::new();
        let mut shares = CachedShares::default();
        if self.request.prefers_cache() {
            self.add_cache_candidates(members, &mut list, &mut shares);
        }
        let count = if self.request.prefers_cache() {
            RANDOM_CANDIDATES
        } else {
            RANDOM_CANDIDATES_ALONE
        };
        for _ in 0..count {
            list.push(members[rng.random_range(0..members.len())].position);
        }
        list.iter()
            .filter(|&position| self.is_open(position))
            .map(|position| (self.expected_cost(position, &shares), position))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, position)| position)
    }

    /// Lists the candidates that are known or likely to have a part of the prompt cached.
    fn add_cache_candidates(
        &self,
        members: &[Member],
        list: &mut Shortlist,
        shares: &mut CachedShares,
    ) {
        for holder in self.dispatches.cache_index.holders(&self.request.blocks) {
            if let Some(position) = self.index.find_position(members, holder.target) {
                shares.add(position, holder.share);
            }
        }
        let order = AffinityKey::of(self.request).order(members, RENDEZVOUS_CANDIDATES);
        // The prompt of a resumed attempt was dispatched before, so a holder that is known of it
        // needs no assumption beside it.
        let assumes_first = !self.request.resumed || shares.is_empty();
        if let Some(first) = order.iter().next().filter(|_| assumes_first) {
            shares.add(first, ASSUMED_CACHED_SHARE);
        }
        order.iter().for_each(|position| list.push(position));
        shares.iter().for_each(|position| list.push(position));
    }

    /// Returns the expected cost of a dispatch to a candidate, in seconds: the sum of wait, distance
    /// and prefill.
    fn expected_cost(&self, position: usize, shares: &CachedShares) -> f64 {
        let candidate = &self.index.candidates[position];
        let costs = &self.index.costs;
        let estimate = estimate(self.now, candidate, self.dispatches, costs, self.group);
        let share = if estimate.utilization > self.load_bound {
            0.0
        } else {
            shares.get(position)
        };
        let tokens = self.request.tokens.0 as f64 * (1.0 - share);
        let prefill = costs.prefill.as_secs_f64() * tokens;
        estimate.wait.as_secs_f64() + self.distance_cost(candidate) + prefill
    }

    fn distance_cost(&self, candidate: &Candidate) -> f64 {
        let costs = &self.index.costs;
        if candidate.region != self.request.region {
            costs.region_delay.as_secs_f64()
        } else if candidate.zone != self.request.zone {
            costs.zone_delay.as_secs_f64()
        } else {
            0.0
        }
    }

    // ---- The baselines ----

    fn round_robin(&self, members: &[Member]) -> Option<usize> {
        let dispatch_count = usize::try_from(self.dispatches.dispatch_count()).unwrap_or_default();
        (0..members.len())
            .map(|step| members[(dispatch_count + step) % members.len()].position)
            .find(|&position| self.is_open(position))
    }

    fn least_reported(&self, members: &[Member]) -> Option<usize> {
        members
            .iter()
            .map(|member| member.position)
            .filter(|&position| self.is_open(position))
            .min_by_key(|&position| self.reported_load(position))
    }

    fn power_of_two(&self, members: &[Member], rng: &mut impl Rng) -> Option<usize> {
        (0..2)
            .map(|_| members[rng.random_range(0..members.len())].position)
            .filter(|&position| self.is_open(position))
            .min_by_key(|&position| self.reported_load(position))
    }

    fn reported_load(&self, position: usize) -> u32 {
        let load = &self.index.candidates[position].load;
        load.running.saturating_add(load.waiting)
    }

    /// Chooses the open candidate with the shortest expected wait.
    ///
    /// When all are closed, returns the earliest time at which one may be tried again.
    fn least_wait(&self, members: &[Member]) -> Choice {
        let mut best = None;
        let mut until = None;
        for member in members {
            let candidate = &self.index.candidates[member.position];
            if self.request.excluded.contains(&candidate.id) {
                continue;
            }
            let busy = self.dispatches.busy_until(&candidate.id);
            if busy > self.now {
                until = Some(until.map_or(busy, |time: Time| time.min(busy)));
                continue;
            }
            let wait = estimate(
                self.now,
                candidate,
                self.dispatches,
                &self.index.costs,
                self.group,
            )
            .wait;
            if best.is_none_or(|(least, _)| wait < least) {
                best = Some((wait, candidate));
            }
        }
        match (best, until) {
            (Some((_, candidate)), _) => Choice::Target(candidate.id.clone()),
            (None, Some(until)) => Choice::Wait { until },
            (None, None) => Choice::NoTarget,
        }
    }

    // ---- Candidates ----

    /// Returns whether the request may be sent to a candidate now.
    fn is_open(&self, position: usize) -> bool {
        let id = &self.index.candidates[position].id;
        !self.request.excluded.contains(id) && self.dispatches.busy_until(id) <= self.now
    }
}
