//! The decision itself.

use cw_types::Time;
use rand::Rng;
use rand::RngExt;

use super::Choice;
use super::DispatchLog;
use super::Policy;
use super::RouteRequest;
use super::TargetIndex;
use super::affinity_key::Key;
use super::cached_shares::Shares;
use super::estimate::estimate;
use super::shortlist::Shortlist;
use super::target_index::Candidate;
use super::target_index::Group;
use super::target_index::Member;

/// How many targets of the rendezvous order are weighed.
const WALK: usize = 4;

/// How many targets drawn at random are weighed beside them.
const DRAWS: usize = 4;

/// How many targets drawn at random are weighed when nothing is known of caches.
const DRAWS_ALONE: usize = 12;

/// The share of the prompt that the first of the rendezvous order is taken to have cached.
const ASSUMED: f64 = 0.8;

/// One decision in progress.
struct Decision<'a> {
    index: &'a TargetIndex,
    now: Time,
    request: &'a RouteRequest,
    dispatches: &'a DispatchLog,
    group: &'a Group,
    /// The utilisation beyond which a cache is not worth its queue.
    bound: f64,
}

impl TargetIndex {
    /// Chooses a target for `request`.
    ///
    /// A suspect target is chosen only when no other is left.
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
            bound: group.utilisation + self.costs.bound,
        };
        let alive = decision.among(&group.alive, policy, rng);
        match alive {
            Choice::NoTarget => decision.among(&group.suspect, policy, rng),
            choice => choice,
        }
    }
}

impl Decision<'_> {
    fn among(&self, members: &[Member], policy: Policy, rng: &mut impl Rng) -> Choice {
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
            Some(at) => Choice::Target(self.index.candidates[at].id.clone()),
            None => self.any(members),
        }
    }

    // -----------------------------------------------------------------------------------------

    /// Returns the cheapest of a short list, unless all of it is closed.
    fn affinity(&self, members: &[Member], rng: &mut impl Rng) -> Option<usize> {
        let mut list = Shortlist::new();
        let mut shares = Shares::default();
        if self.request.wants_cache() {
            self.prefer(members, &mut list, &mut shares);
        }
        let draws = if self.request.wants_cache() {
            DRAWS
        } else {
            DRAWS_ALONE
        };
        for _ in 0..draws {
            list.push(members[rng.random_range(0..members.len())].at);
        }
        list.iter()
            .filter(|&at| self.is_open(at))
            .map(|at| (self.cost(at, &shares), at))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, at)| at)
    }

    /// Lists the candidates that are known or likely to have a part of the prompt cached.
    fn prefer(&self, members: &[Member], list: &mut Shortlist, shares: &mut Shares) {
        for holder in self.dispatches.cache_index.holders(&self.request.blocks) {
            if let Some(at) = self.index.place(members, holder.target) {
                shares.add(at, holder.share);
            }
        }
        let order = Key::of(self.request).order(members, WALK);
        // A resumed attempt was here before, so what is known of its prompt is all there is.
        let guess = !self.request.resumed || shares.is_empty();
        if let Some(first) = order.iter().next().filter(|_| guess) {
            shares.add(first, ASSUMED);
        }
        order.iter().for_each(|at| list.push(at));
        shares.iter().for_each(|at| list.push(at));
    }

    /// Returns what it costs to send the attempt to a candidate, in seconds.
    fn cost(&self, at: usize, shares: &Shares) -> f64 {
        let candidate = &self.index.candidates[at];
        let costs = &self.index.costs;
        let estimate = estimate(self.now, candidate, self.dispatches, costs, self.group);
        let share = if estimate.utilisation > self.bound {
            0.0
        } else {
            shares.get(at)
        };
        let tokens = self.request.tokens.0 as f64 * (1.0 - share);
        let prefill = costs.prefill.as_secs_f64() * tokens;
        estimate.wait.as_secs_f64() + self.distance(candidate) + prefill
    }

    fn distance(&self, candidate: &Candidate) -> f64 {
        let costs = &self.index.costs;
        if candidate.region != self.request.region {
            costs.region.as_secs_f64()
        } else if candidate.zone != self.request.zone {
            costs.zone.as_secs_f64()
        } else {
            0.0
        }
    }

    // -----------------------------------------------------------------------------------------

    fn round_robin(&self, members: &[Member]) -> Option<usize> {
        let turn = usize::try_from(self.dispatches.turn()).unwrap_or_default();
        (0..members.len())
            .map(|step| members[(turn + step) % members.len()].at)
            .find(|&at| self.is_open(at))
    }

    fn least_reported(&self, members: &[Member]) -> Option<usize> {
        members
            .iter()
            .map(|member| member.at)
            .filter(|&at| self.is_open(at))
            .min_by_key(|&at| self.reported(at))
    }

    fn power_of_two(&self, members: &[Member], rng: &mut impl Rng) -> Option<usize> {
        (0..2)
            .map(|_| members[rng.random_range(0..members.len())].at)
            .filter(|&at| self.is_open(at))
            .min_by_key(|&at| self.reported(at))
    }

    fn reported(&self, at: usize) -> u32 {
        let load = &self.index.candidates[at].load;
        load.running.saturating_add(load.waiting)
    }

    /// Chooses the candidate with the shortest expected wait of all.
    fn any(&self, members: &[Member]) -> Choice {
        let mut best = None;
        let mut until = None;
        for member in members {
            let candidate = &self.index.candidates[member.at];
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

    // -----------------------------------------------------------------------------------------

    fn is_open(&self, at: usize) -> bool {
        let id = &self.index.candidates[at].id;
        !self.request.excluded.contains(id) && self.dispatches.busy_until(id) <= self.now
    }
}
