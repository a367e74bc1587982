//! What the rank of a request means for the decisions on it.

use std::ops::Range;
use std::time::Duration;

use super::rank::Rank;
use super::rank::RankPlace;
use super::rank_demand::RankShares;

/// The room kept free for more urgent requests, as a multiple of their share of the recent work.
/// The few of them that an entry gets come in clusters, and after a loss each needs several sends.
const RESERVE_FACTOR: f64 = 4.0;

/// The largest share of the room that a rank leaves free for those above it. The rest is more than
/// the quarter of the service that every rank is owed.
const MAX_RESERVE: f64 = 0.25;

/// The fraction of the objective that a request of the first rank waits for a target. What is left
/// after it still suffices to read a prompt on an idle target.
const FIRST_WAIT_SHARE: f64 = 0.3;

/// The middle of the range of the delay after which callers are told to come back. The first rank
/// comes back before it, all others after it.
const RETURN_MIDDLE: f64 = 0.5;

/// The precedence of a request over others of its service. The default is that of a service with
/// one rank, for which nothing is kept free and nothing is passed by.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Precedence {
    /// The rank of the request.
    pub rank: Rank,
    /// The place of the rank among those of the service.
    pub place: RankPlace,
    /// The recent work at other ranks.
    pub shares: RankShares,
}

impl Precedence {
    /// Returns the rank whose standing queue the request belongs to. Where routes do not differ there is one queue for
    /// all.
    pub(super) fn queue(&self) -> Rank {
        match self.place {
            RankPlace::Only => Rank::default(),
            RankPlace::First | RankPlace::Behind => self.rank,
        }
    }

    /// Returns the share of the room that the request leaves free for more urgent ones.
    pub fn reserve(&self) -> f64 {
        match self.place {
            RankPlace::Behind => (self.shares.above * RESERVE_FACTOR).min(MAX_RESERVE),
            RankPlace::Only | RankPlace::First => 0.0,
        }
    }

    /// Returns the amount of `room`, counted in whole sends, that the request leaves free. It is
    /// at least one as long as more urgent requests come, or a small reserve would hold nothing.
    pub fn kept(&self, room: f64) -> f64 {
        match self.reserve() > 0.0 {
            true => (room * self.reserve()).max(1.0).min(room * MAX_RESERVE),
            false => 0.0,
        }
    }

    /// Returns the work of `queued` that is served before the request. Engines serve more urgent
    /// requests first, except that a prompt of about `prompt` tokens is being read already.
    pub(super) fn ahead(&self, queued: u64, prompt: u64) -> u64 {
        match self.place {
            RankPlace::Only => queued,
            RankPlace::First | RankPlace::Behind => {
                let share = (queued as f64 * (1.0 - self.shares.below)) as u64;
                share.max(prompt.min(queued))
            }
        }
    }

    /// Returns the share of memory demand beyond an engine's memory that delays the request.
    /// Engines take the memory of less urgent runs.
    pub(super) fn excess(&self, excess: u64) -> u64 {
        match self.place {
            RankPlace::Only => excess,
            RankPlace::First | RankPlace::Behind => {
                (excess as f64 * (1.0 - self.shares.below)) as u64
            }
        }
    }

    /// Returns whether the request goes on while less urgent ones are refused for a standing queue.
    pub fn is_first(&self) -> bool {
        self.place == RankPlace::First
    }

    /// Returns the time that a request waits for a target, out of that of a request without rank.
    pub fn longest_wait(&self, objective: Duration, usual: Duration) -> Duration {
        match self.place {
            RankPlace::First => objective.mul_f64(FIRST_WAIT_SHARE).max(usual),
            RankPlace::Only | RankPlace::Behind => usual,
        }
    }

    /// Returns the part of `range` from which the delay of a refused caller is drawn.
    pub fn return_range(&self, range: Range<f64>) -> Range<f64> {
        let middle = range.start + (range.end - range.start) * RETURN_MIDDLE;
        match self.place {
            RankPlace::Only => range,
            RankPlace::First => range.start..middle,
            RankPlace::Behind => middle..range.end,
        }
    }
}
