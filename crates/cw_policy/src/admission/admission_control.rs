//! Which attempts start, wait or are refused at one target.

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

/// The share of the engine's cache that running attempts may need, in percent.
const CACHE_PERCENT: u64 = 95;
/// The shortest pause that a refused caller is told to make.
const RETRY_MIN: Duration = Duration::from_millis(100);
/// The longest pause that a refused caller is told to make.
const RETRY_MAX: Duration = Duration::from_secs(5);
/// The weight of a new reading in the smoothed time between starts, as a divisor.
const SMOOTHING: u32 = 8;

/// Bounds on admission.
#[derive(Clone, Debug)]
pub struct AdmissionLimits {
    /// The most attempts that run at once.
    pub max_running: u32,
    /// The most attempts that wait.
    pub max_waiting: u32,
    /// The most bytes of attempts that wait.
    pub queue_bytes: ByteSize,
    /// Slots that only resumed attempts may take.
    pub reserved_slots: u32,
    /// The time between tokens to keep within.
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

/// What becomes of a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionOutcome {
    /// It starts now.
    Start,
    /// It waits for its turn; a ticket of a lower class may have lost its place to it.
    Wait {
        /// The attempt that no longer waits.
        displaced: Option<AttemptId>,
    },
    /// It is refused.
    Busy {
        /// When it is worth asking again.
        retry: Duration,
    },
}

/// Admission to one target.
#[derive(Clone, Debug)]
pub struct AdmissionControl {
    limits: AdmissionLimits,
    limit: AdaptiveLimit,
    queue: FairQueue,
    running: BTreeMap<AttemptId, u64>,
    held: u64,
    engine: Load,
    released: Option<Time>,
    pace: Duration,
    paused: bool,
}

impl AdmissionControl {
    /// Returns admission with nothing running.
    pub fn new(limits: AdmissionLimits) -> Self {
        let floor = limits.reserved_slots + 1;
        let limit = AdaptiveLimit::new(limits.step_limit, floor, limits.max_running);
        let limit = limit.with_reserve(limits.reserved_slots);
        Self {
            limits,
            limit,
            queue: FairQueue::default(),
            running: BTreeMap::new(),
            held: 0,
            engine: Load::default(),
            released: None,
            pace: RETRY_MIN,
            paused: false,
        }
    }

    /// Starts nothing, and lets everything wait, while it is not known whether the target lives.
    pub fn set_paused(&mut self, paused: bool) {
        self.paused = paused;
    }

    /// Decides about a new ticket.
    pub fn submit(&mut self, now: Time, ticket: Ticket) -> AdmissionOutcome {
        if self.queue.is_empty() && self.has_room(&ticket) {
            self.run(&ticket);
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
        let Some(last) = self.queue.displaced_by(&ticket) else {
            return self.refuse();
        };
        self.queue.remove(last);
        self.queue.push(ticket);
        AdmissionOutcome::Wait {
            displaced: Some(last),
        }
    }

    /// Takes the next ticket that may start, if there is one.
    pub fn admit_next(&mut self) -> Option<AttemptId> {
        let reserved = self.free() <= self.limits.reserved_slots;
        let ticket = self.queue.peek(reserved)?;
        if !self.has_room(ticket) {
            return None;
        }
        let ticket = self.queue.pop(reserved)?;
        self.run(&ticket);
        Some(ticket.id)
    }

    /// Removes an attempt, whether it runs or waits.
    pub fn release(&mut self, now: Time, id: AttemptId) {
        self.queue.remove(id);
        let Some(tokens) = self.running.remove(&id) else {
            return;
        };
        self.held -= tokens;
        if let Some(before) = self.released.replace(now) {
            let pace = now.since(before);
            self.pace = (self.pace * (SMOOTHING - 1) + pace) / SMOOTHING;
        }
    }

    /// Counts output of a running attempt, which fills the engine's cache.
    pub fn grow(&mut self, id: AttemptId, tokens: u64) {
        if let Some(held) = self.running.get_mut(&id) {
            *held += tokens;
            self.held += tokens;
        }
    }

    /// Takes in a reading of the engine's load.
    pub fn observe(&mut self, engine: Load) {
        // What waits for the next step of a batch is seen once; a full engine shows it again.
        let queued = engine.waiting.min(self.engine.waiting);
        self.limit.observe(engine.step, engine.running, queued);
        self.engine = engine;
    }

    /// Returns the attempts that have waited too long.
    pub fn expired(&self, now: Time) -> Vec<AttemptId> {
        self.queue.expired(now)
    }

    /// Returns the target's load.
    pub fn load(&self, now: Time) -> Load {
        Load {
            running: self.running.len() as u32,
            waiting: self.queue.len() as u32 + self.engine.waiting,
            limit: self.limit.get(),
            step: self.limit.step(),
            age: now.since(Time::default()),
            ..self.engine
        }
    }

    /// Returns when a refused caller should ask again, by the rate at which attempts end.
    pub fn retry(&self) -> Duration {
        let ahead = self.queue.len() as u32 + 1;
        (self.pace * ahead).clamp(RETRY_MIN, RETRY_MAX)
    }

    // ---- Room

    fn free(&self) -> u32 {
        let running = self.running.len() as u32;
        self.limit.get().saturating_sub(running)
    }

    fn has_room(&self, ticket: &Ticket) -> bool {
        let kept = match ticket.resumed {
            true => 0,
            false => self.limits.reserved_slots,
        };
        !self.paused && self.free() > kept && self.fits(ticket.tokens)
    }

    fn fits(&self, tokens: u64) -> bool {
        let TokenCount(capacity) = self.engine.capacity;
        // An attempt larger than the cache must still run some time.
        let unknown = capacity == 0 || self.running.is_empty();
        unknown || (self.held + tokens) * 100 <= capacity * CACHE_PERCENT
    }

    fn run(&mut self, ticket: &Ticket) {
        self.running.insert(ticket.id, ticket.tokens);
        self.held += ticket.tokens;
    }

    fn refuse(&self) -> AdmissionOutcome {
        AdmissionOutcome::Busy {
            retry: self.retry(),
        }
    }
}
