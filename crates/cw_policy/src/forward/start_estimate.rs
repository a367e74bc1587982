//! Estimates how soon a target can start to answer a request.

use std::time::Duration;

use cw_types::TargetId;
use cw_types::Time;

use super::Fleet;
use super::Requirements;
use super::RunTimes;
use super::StandingQueues;
use super::member::Member;

/// The fraction of the objective within which a request must be estimated to start. The rest allows
/// for unknown load, such as requests that other entries send at the same moment. With 0.4,
/// requests that start in time after the loss of a zone were refused (`docs/platform-rounds.md`,
/// round 17).
const START_SHARE: f64 = 0.8;

/// The fraction of the objective that a request may wait for others while a queue is standing. A
/// standing queue only delays every request without raising throughput. With a smaller fraction,
/// engines idle between requests (`tests/forward/start_estimate.rs`, lasting overload).
const STANDING_WAIT_SHARE: f64 = 0.2;

/// Whether a request can start in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartEstimate {
    /// The request can start in time, as far as known.
    InTime,
    /// No target can start the request in time.
    Late {
        /// The shortest delay after which a target can start the request.
        after: Duration,
        /// The maximum allowed delay.
        limit: Duration,
    },
}

/// The work that precedes a new request at a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    /// The tokens to read until the request has been read, including its own.
    pub unread: u64,
    /// The cache memory that must be freed before the request can run, in tokens.
    pub excess: u64,
}

impl Fleet {
    /// Returns the work that would precede a request at a target now, none for an unknown target.
    pub fn backlog(
        &self,
        now: Time,
        id: &TargetId,
        requirements: &Requirements<'_>,
        times: &RunTimes,
    ) -> Backlog {
        self.members
            .get(id)
            .map_or_else(Backlog::default, |member| {
                backlog(now, member, requirements, times)
            })
    }

    /// Returns whether a request can start in time at some target, according to its `objective`.
    ///
    /// The estimate counts from now: the time that the caller took to send the request is not
    /// caused by the targets.
    pub fn estimate_start(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        times: &RunTimes,
        queues: &mut StandingQueues,
        objective: Duration,
    ) -> StartEstimate {
        let own_time = times.prompt_time(requirements.service, requirements.demand.prompt);
        let own_time = own_time.unwrap_or_default();
        let precedence = &requirements.precedence;
        let first = self
            .candidates(now, requirements)
            .map(|member| {
                let backlog = backlog(now, member, requirements, times);
                // The least of many estimates is too low by chance if fast targets count as fast.
                let slowness = member.slowness_factor(now).max(1.0);
                start_delay(served_before(backlog, requirements), requirements, times)
                    .mul_f64(slowness)
            })
            .min();
        let after = match first {
            Some(after) if !objective.is_zero() => after,
            _ => return StartEstimate::InTime,
        };
        let standing_limit = own_time + objective.mul_f64(STANDING_WAIT_SHARE);
        let limit = match queues.observe(
            now,
            requirements.service,
            precedence.queue(),
            after > standing_limit,
            objective,
        ) {
            true => standing_limit,
            false => objective.mul_f64(START_SHARE).max(standing_limit),
        };
        // The wait that is left free is room for the prompts of more urgent requests. The own prompt
        // takes its time in any case.
        let wait = limit.saturating_sub(own_time);
        let limit = limit - wait.mul_f64(precedence.reserve());
        match after <= limit {
            true => StartEstimate::InTime,
            false => StartEstimate::Late { after, limit },
        }
    }
}

/// Returns the work that would precede a request at a target.
fn backlog(
    now: Time,
    member: &Member,
    requirements: &Requirements<'_>,
    times: &RunTimes,
) -> Backlog {
    let prompt = requirements.demand.prompt;
    let own = match requirements.reader == Some(member.hash) {
        true => 0,
        false => prompt,
    };
    // The current prompt may have been read in part. It is assumed to be as long as this one.
    let read = times.tokens_within(requirements.service, now.since(member.reading_since));
    let read = read.unwrap_or_default().min(prompt);
    let tokens = member
        .tokens
        .saturating_add(member.peers.tokens)
        .saturating_add(requirements.demand.tokens());
    Backlog {
        unread: member.unread().saturating_sub(read).saturating_add(own),
        excess: requirements
            .memory
            .map_or(0, |memory| tokens.saturating_sub(memory)),
    }
}

/// Returns the part of a backlog that is served before the request, by its rank.
fn served_before(backlog: Backlog, requirements: &Requirements<'_>) -> Backlog {
    let prompt = requirements.demand.prompt;
    let own = backlog.unread.min(prompt);
    let precedence = &requirements.precedence;
    Backlog {
        unread: precedence.ahead(backlog.unread - own, prompt) + own,
        excess: precedence.excess(backlog.excess),
    }
}

/// Returns the estimated delay from sending a request to its start, from the mean times of past
/// runs.
fn start_delay(backlog: Backlog, requirements: &Requirements<'_>, times: &RunTimes) -> Duration {
    let reading = times.prompt_time(requirements.service, backlog.unread);
    let reading = reading.unwrap_or(Duration::ZERO);
    let (Some(memory), Some(run)) = (requirements.memory, times.run_time(requirements.service))
    else {
        return reading;
    };
    // The whole memory is freed once within the duration of a run.
    let freed = run.mul_f64(backlog.excess as f64 / memory.max(1) as f64);
    let own_time = times.prompt_time(requirements.service, requirements.demand.prompt);
    reading.max(freed + own_time.unwrap_or(Duration::ZERO))
}
