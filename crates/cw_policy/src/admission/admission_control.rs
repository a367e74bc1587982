//! Admission control of one target: attempts start, wait or are refused.

use std::collections::BTreeMap;
use std::time::Duration;

use cw_types::AttemptId;
use cw_types::ByteSize;
use cw_types::Time;
use cw_types::TokenCount;
use cw_wire::Load;

use super::AdaptiveLimit;
use super::FairQueue;
use super::Ticket;

/// The share of the engine's KV cache that running attempts may fill, in percent.
const CACHE_PERCENT: u64 = 95;
/// The shortest retry delay given to a refused caller.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The longest retry delay given to a refused caller.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);
/// The newest interval weighs one part in this many in the smoothed time between releases.
const SMOOTHING_DIVISOR: u32 = 8;

/// The limits of admission to one target.
#[derive(Clone, Debug)]
pub struct AdmissionLimits {
    /// The maximum number of attempts that run at once.
    pub max_running: u32,
    /// The maximum number of attempts that wait.
    pub max_waiting: u32,
    /// The maximum size of all waiting attempts together.
    pub queue_bytes: ByteSize,
    /// The number of slots reserved for resumed attempts.
    pub reserved_slots: u32,
    /// The time between tokens above which fewer attempts are admitted.
    pub step_limit: Duration,
}

impl Default for AdmissionLimits {
    fn default() -> Self {
        Self {
            max_running: 64,
            max_waiting: 32,
            queue_bytes: ByteSize::mib(16),
            reserved_slots: 4,
            step_limit: Duration::from_millis(78),
        }
    }
}

/// The outcome of submitting a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionOutcome {
    /// The attempt starts now.
    Start,
    /// The attempt waits; if the queue was full, it displaced a ticket of a lower class.
    Wait {
        /// The attempt that was removed from the queue.
        displaced: Option<AttemptId>,
    },
    /// The attempt is refused.
    Refuse {
        /// The delay after which the caller should retry.
        retry: Duration,
    },
}

/// Admission control of one target.
#[derive(Clone, Debug)]
pub struct AdmissionControl {
    limits: AdmissionLimits,
    limit: AdaptiveLimit,
    queue: FairQueue,
    running: BTreeMap<AttemptId, u64>,
    cached_tokens: u64,
    engine_load: Load,
    last_release: Option<Time>,
    release_interval: Duration,
    paused: bool,
}

impl AdmissionControl {
    /// Returns admission control with nothing running or waiting.
    pub fn new(limits: AdmissionLimits) -> Self {
        let floor = limits.reserved_slots + 1;
        let limit = AdaptiveLimit::new(limits.step_limit, floor, limits.max_running);
        let limit = limit.with_reserved_slots(limits.reserved_slots);
        Self {
            limits,
            limit,
            queue: FairQueue::default(),
            running: BTreeMap::new(),
            cached_tokens: 0,
            engine_load: Load::default(),
            last_release: None,
            release_interval: MIN_RETRY_DELAY,
            paused: false,
        }
    }

    /// Sets whether all starts are held back, which they are while the target may have crashed.
    pub fn set_paused(&mut self, paused: bool) {
        self.paused = paused;
    }

    /// Starts, queues or refuses a new ticket.
    pub fn submit(&mut self, now: Time, ticket: Ticket) -> AdmissionOutcome {
        if self.queue.is_empty() && self.has_room(&ticket) {
            self.add_running(&ticket);
            return AdmissionOutcome::Start;
        }
        let bytes = self.queue.bytes() + ticket.bytes;
        if ticket.deadline <= now || bytes > self.limits.queue_bytes.0 {
            return self.refuse();
        }
        if self.queue.len() < self.limits.max_waiting as usize {
            self.queue.push(ticket);
            return AdmissionOutcome::Wait { displaced: None };
        }
        let Some(displaced) = self.queue.displaced_by(&ticket) else {
            return self.refuse();
        };
        self.queue.remove(displaced);
        self.queue.push(ticket);
        AdmissionOutcome::Wait {
            displaced: Some(displaced),
        }
    }

    /// Removes the next ticket from the queue and starts it, if there is a slot for it.
    pub fn admit_next(&mut self) -> Option<AttemptId> {
        let resumed_only = self.free_slots() <= self.limits.reserved_slots;
        let ticket = self.queue.peek(resumed_only)?;
        if !self.has_room(ticket) {
            return None;
        }
        let ticket = self.queue.pop(resumed_only)?;
        self.add_running(&ticket);
        Some(ticket.id)
    }

    /// Removes a running or waiting attempt.
    pub fn release(&mut self, now: Time, id: AttemptId) {
        self.queue.remove(id);
        let Some(tokens) = self.running.remove(&id) else {
            return;
        };
        self.cached_tokens -= tokens;
        if let Some(previous) = self.last_release.replace(now) {
            let interval = now.since(previous);
            self.release_interval =
                (self.release_interval * (SMOOTHING_DIVISOR - 1) + interval) / SMOOTHING_DIVISOR;
        }
    }

    /// Adds output tokens of a running attempt to the expected use of the engine's KV cache.
    pub fn add_output(&mut self, id: AttemptId, tokens: u64) {
        if let Some(cached) = self.running.get_mut(&id) {
            *cached += tokens;
            self.cached_tokens += tokens;
        }
    }

    /// Adjusts the limit to a load sample of the engine.
    pub fn observe(&mut self, load: Load) {
        // Attempts that join at the next batch step are queued in one sample only; those that a
        // full engine cannot take are still queued in the next.
        let queued = load.waiting.min(self.engine_load.waiting);
        self.limit.observe(load.step, load.running, queued);
        self.engine_load = load;
    }

    /// Returns the waiting attempts whose deadline has passed.
    pub fn expired(&self, now: Time) -> Vec<AttemptId> {
        self.queue.expired(now)
    }

    /// Returns the target's load.
    pub fn load(&self, now: Time) -> Load {
        Load {
            running: self.running.len() as u32,
            waiting: self.queue.len() as u32 + self.engine_load.waiting,
            limit: self.limit.get(),
            step: self.limit.step(),
            age: now.since(Time::default()),
            ..self.engine_load
        }
    }

    /// Returns the delay after which a refused caller should retry.
    ///
    /// It is the time in which the attempts in the queue start, by the recent rate of releases.
    pub fn retry(&self) -> Duration {
        let ahead = self.queue.len() as u32 + 1;
        (self.release_interval * ahead).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
    }

    // ---- Capacity ----

    fn free_slots(&self) -> u32 {
        let running = self.running.len() as u32;
        self.limit.get().saturating_sub(running)
    }

    fn has_room(&self, ticket: &Ticket) -> bool {
        let reserved = match ticket.resumed {
            true => 0,
            false => self.limits.reserved_slots,
        };
        !self.paused && self.free_slots() > reserved && self.fits_cache(ticket.tokens)
    }

    fn fits_cache(&self, tokens: u64) -> bool {
        let TokenCount(capacity) = self.engine_load.capacity;
        // An attempt larger than the cache is admitted when it runs alone, or it never would be.
        let unbounded = capacity == 0 || self.running.is_empty();
        unbounded || (self.cached_tokens + tokens) * 100 <= capacity * CACHE_PERCENT
    }

    fn add_running(&mut self, ticket: &Ticket) {
        self.running.insert(ticket.id, ticket.tokens);
        self.cached_tokens += ticket.tokens;
    }

    fn refuse(&self) -> AdmissionOutcome {
        AdmissionOutcome::Refuse {
            retry: self.retry(),
        }
    }
}
