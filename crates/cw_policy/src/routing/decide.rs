//! The decision itself.

use cw_types::Time;
use rand::Rng;
use rand::RngExt;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Choice;
use super::Index;
use super::Ledger;
use super::Policy;
use super::RouteRequest;
use super::estimate::estimate;
use super::index::Candidate;
use super::index::Group;
use super::index::Member;
use super::shortlist::Shortlist;

/// How many targets of the rendezvous order are weighed.
const WALK: usize = 4;

/// How many targets drawn at random are weighed beside them.
const DRAWS: usize = 4;

/// How many targets drawn at random are weighed when nothing is known of caches.
const DRAWS_ALONE: usize = 12;

/// How much of the prompt makes the affinity, in bytes: more than most workspaces begin all their
/// prompts with, so that their work is spread, and less than a conversation.
const AFFINITY_BYTES: u32 = 8192;

/// The share of the prompt that the first of the rendezvous order is taken to have cached.
const ASSUMED: f64 = 0.5;

/// The most candidates whose caches are known for one prompt.
const SHARES_MAX: usize = 5;

/// Candidates and the shares of the prompt that they are expected to have cached.
type Shares = [Option<(usize, f64)>; SHARES_MAX];

/// One decision in progress.
struct Decision<'a> {
    index: &'a Index,
    now: Time,
    request: &'a RouteRequest,
    ledger: &'a Ledger,
    group: &'a Group,
    /// The utilisation beyond which a cache is not worth its queue.
    bound: f64,
}

impl Index {
    /// Chooses a target for `request`.
    ///
    /// A suspect target is chosen only when no other is left.
    pub fn choose(
        &self,
        now: Time,
        policy: Policy,
        request: &RouteRequest,
        ledger: &Ledger,
        rng: &mut impl Rng,
    ) -> Choice {
        let group = self.group(&request.to);
        let decision = Decision {
            index: self,
            now,
            request,
            ledger,
            group,
            bound: (group.utilisation * self.costs.bound).max(self.costs.bound - 1.0),
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
        if self.request.wants_cache() {
            let key = self.key();
            for member in members {
                let weight = xxh3_64_with_seed(&member.seed.to_le_bytes(), key);
                list.offer(weight, member.at, WALK);
            }
        }
        let shares = self.shares(members, list.iter().next());
        for &(at, _) in shares.iter().flatten() {
            list.push(at);
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

    /// Returns the shares of the prompt that some candidates are expected to have cached.
    fn shares(&self, members: &[Member], first: Option<usize>) -> Shares {
        let mut shares = [None; SHARES_MAX];
        if !self.request.wants_cache() {
            return shares;
        }
        let holders = self.ledger.overlap.holders(&self.request.blocks);
        let known = holders.filter_map(|holder| {
            let at = self.index.place(members, holder.target)?;
            Some((at, holder.share))
        });
        // The last one is found only where nothing is known of the first in order.
        let assumed = first.map(|at| (at, ASSUMED));
        for (slot, share) in shares.iter_mut().zip(known.chain(assumed)) {
            *slot = Some(share);
        }
        shares
    }

    /// Returns what it costs to send the attempt to a candidate, in seconds.
    fn cost(&self, at: usize, shares: &Shares) -> f64 {
        let candidate = &self.index.candidates[at];
        let costs = &self.index.costs;
        let estimate = estimate(self.now, candidate, self.ledger, costs, self.group);
        let known = shares.iter().flatten().find(|share| share.0 == at);
        let share = known
            .filter(|_| estimate.utilisation <= self.bound)
            .map_or(0.0, |share| share.1);
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

    /// Returns the hash by which all entries order the targets for this prompt alike.
    ///
    /// A block's hash covers the workspace, the version and all blocks before it.
    fn key(&self) -> u64 {
        let blocks = &self.request.blocks;
        let count = blocks.partition_point(|block| block.end <= AFFINITY_BYTES);
        let deepest = blocks.get(count.saturating_sub(1));
        let workspace = || xxh3_64(self.request.workspace.as_str().as_bytes());
        deepest.map_or_else(workspace, |block| block.hash)
    }

    // -----------------------------------------------------------------------------------------

    fn round_robin(&self, members: &[Member]) -> Option<usize> {
        let turn = usize::try_from(self.ledger.turn()).unwrap_or_default();
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
            let busy = self.ledger.busy_until(&candidate.id);
            if busy > self.now {
                until = Some(until.map_or(busy, |time: Time| time.min(busy)));
                continue;
            }
            let wait = estimate(
                self.now,
                candidate,
                self.ledger,
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
        !self.request.excluded.contains(id) && self.ledger.busy_until(id) <= self.now
    }
}
