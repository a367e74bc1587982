//! How soon a target can begin to answer.

use std::time::Duration;

use cw_types::TargetId;
use cw_types::Time;

use super::Fleet;
use super::Need;
use super::RunTimes;
use super::StandingQueues;
use super::member::Member;

/// The part of the objective within which a request should begin by what is known; the rest is for
/// what is not known, such as the requests that others send within the same moment. 0.4 refused what
/// begins in time after the loss of a zone (`docs/platform-rounds.md`, round 17).
const BEGIN_SHARE: f64 = 0.8;

/// The part of the objective that a request may wait for others where most had to wait so long of
/// late: a queue that stands helps nobody, it only makes each one later. With less, engines idle
/// between requests (`tests/forward/start_estimate.rs`, lasting overload).
const STANDING_WAIT: f64 = 0.2;

/// Whether a request can begin in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartEstimate {
    /// It can, or nothing is known that says otherwise.
    InTime,
    /// No target can.
    Late {
        /// The time after which the first can.
        after: Duration,
        /// The time within which it should have begun.
        limit: Duration,
    },
}

/// What a request would find at a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    /// The tokens to read until it has been read, its own among them.
    pub unread: u64,
    /// The cache memory that must be freed before it can run, in tokens.
    pub excess: u64,
}

impl Fleet {
    /// Returns what a request would find at a target now.
    pub fn backlog(&self, now: Time, id: &TargetId, need: &Need<'_>, pace: &RunTimes) -> Backlog {
        self.members
            .get(id)
            .map_or_else(Backlog::default, |member| backlog(now, member, need, pace))
    }

    /// Returns whether a request can begin in time at some target, by its `objective`. What its
    /// caller took to send it is not the targets' affair, and does not count.
    pub fn estimate_start(
        &self,
        now: Time,
        need: &Need<'_>,
        pace: &RunTimes,
        crowd: &mut StandingQueues,
        objective: Duration,
    ) -> StartEstimate {
        let own = pace.prompt_time(need.service, need.demand.prompt);
        let own = own.unwrap_or_default();
        let first = self
            .open(now, need)
            .map(|member| begins_after(backlog(now, member, need, pace), need, pace))
            .min();
        let after = match first {
            Some(after) if !objective.is_zero() => after,
            _ => return StartEstimate::InTime,
        };
        let standing = own + objective.mul_f64(STANDING_WAIT);
        let limit = match crowd.observe(now, need.service, after > standing, objective) {
            true => standing,
            false => objective.mul_f64(BEGIN_SHARE).max(standing),
        };
        match after <= limit {
            true => StartEstimate::InTime,
            false => StartEstimate::Late { after, limit },
        }
    }
}

fn backlog(now: Time, member: &Member, need: &Need<'_>, pace: &RunTimes) -> Backlog {
    let prompt = need.demand.prompt;
    let own = match need.read_at == Some(member.hash) {
        true => 0,
        false => prompt,
    };
    // The prompt that it reads now may have been read in part; prompts are taken to be alike.
    let read = pace.tokens_within(need.service, now.since(member.reading));
    let read = read.unwrap_or_default().min(prompt);
    let tokens = member
        .tokens
        .saturating_add(member.peers.tokens)
        .saturating_add(need.demand.tokens());
    Backlog {
        unread: member.unread().saturating_sub(read).saturating_add(own),
        excess: need
            .memory
            .map_or(0, |memory| tokens.saturating_sub(memory)),
    }
}

/// Returns how long after it is sent a request begins, as far as the pace of others tells.
fn begins_after(backlog: Backlog, need: &Need<'_>, pace: &RunTimes) -> Duration {
    let reading = pace.prompt_time(need.service, backlog.unread);
    let reading = reading.unwrap_or(Duration::ZERO);
    let (Some(memory), Some(run)) = (need.memory, pace.run_time(need.service)) else {
        return reading;
    };
    // All of the memory is freed once in the time of a run.
    let freed = run.mul_f64(backlog.excess as f64 / memory.max(1) as f64);
    let own = pace.prompt_time(need.service, need.demand.prompt);
    reading.max(freed + own.unwrap_or(Duration::ZERO))
}
