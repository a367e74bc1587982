//! How recent an entry's knowledge of the key-value service is, and when the entry has to ask the service itself.
//!
//! Few entries watch the service, and the others hear of changes from them. Any of the watching entries may be
//! cut off, slow, paused or killed, so nobody relies on them: what counts is the last moment as of which an entry
//! knows all changes. The watching entries tell how old their own last word of the service is, and an entry
//! whose knowledge grows too old asks the service. So a change is in force after a time that does not depend on any
//! other entry ([`FreshnessLimits::in_force_time`]).

use std::time::Duration;

use cw_types::Time;

/// The share of the time until a change must be in force that a question to the service may take.
const CHECK_SHARE: f64 = 0.175;

/// The share of that time for late timers, busy processors and the change itself.
const RESERVE_SHARE: f64 = 0.075;

/// The least age of the knowledge at which the entry asks the service, however long a read takes. What a watching
/// entry tells in a sound deployment is up to 1.2 s old: 1 s of a watch, and 0.2 s between two messages.
pub(super) const MIN_MAX_AGE: Duration = Duration::from_millis(1300);

/// What is reserved for a read, as a multiple of the time that the last ones took.
const READ_MARGIN: f64 = 1.2;

/// The share of the time of earlier reads that is kept if the last one was quicker.
const READ_TIME_DECAY: f64 = 0.5;

/// The number of times that the timeout of a check doubles while checks fail, as a service that is slow answers
/// none otherwise.
const MAX_DOUBLINGS: u32 = 2;

/// The parts of the key-value service that entries keep up with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    /// The single key that holds the configuration.
    Config,
    /// The keys of the target records, which share a prefix.
    Targets,
}

/// The steps until an acknowledged change is in force at an entry that the service answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessLimits {
    /// The age of the knowledge at which the entry asks the service.
    pub max_age: Duration,
    /// How long the service may take to answer, or leave a read without any byte if its answer takes longer.
    pub check_timeout: Duration,
    /// The time for late timers, busy processors and the change itself.
    pub reserve: Duration,
}

impl FreshnessLimits {
    /// Divides the time within which an acknowledged change must be in force.
    pub fn within(bound: Duration) -> Self {
        let check_timeout = bound.mul_f64(CHECK_SHARE);
        let reserve = bound.mul_f64(RESERVE_SHARE);
        Self {
            max_age: bound - check_timeout - reserve,
            check_timeout,
            reserve,
        }
    }

    /// Returns the time until an acknowledged change is in force, whatever other entries do.
    pub fn in_force_time(&self) -> Duration {
        self.max_age + self.check_timeout + self.reserve
    }
}

impl Default for FreshnessLimits {
    fn default() -> Self {
        Self::within(Duration::from_millis(2000))
    }
}

/// What an entry does next to keep up with the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreshnessStep {
    /// Nothing until this time, unless another entry tells of newer data.
    Rest(Time),
    /// Ask the service, and the other entries if it does not have what they know.
    Check,
}

/// How recent an entry's knowledge of one part of the service is.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    limits: FreshnessLimits,
    /// All changes that were acknowledged before this time are known.
    confirmed_at: Option<Time>,
    /// The same, as the service itself has told this entry.
    own_at: Option<Time>,
    /// No check begins before this time.
    rest_until: Time,
    failures: u32,
    /// How long reads of the service take, which depends on the size of the data and on the link.
    read_time: Duration,
}

impl Freshness {
    /// Creates the state of an entry that knows nothing yet.
    pub fn new(limits: FreshnessLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Records that the service has told this entry all changes that were acknowledged before `as_of`.
    pub fn confirm(&mut self, as_of: Time) {
        self.own_at = self.own_at.max(Some(as_of));
        self.confirm_told(as_of);
    }

    /// Records that another entry knew all changes that were acknowledged before `as_of`, and that they are
    /// known here too.
    pub fn confirm_told(&mut self, as_of: Time) {
        self.confirmed_at = self.confirmed_at.max(Some(as_of));
    }

    /// Records a check that has not brought the knowledge up to date. The next one begins after `pause`.
    pub fn record_failure(&mut self, now: Time, pause: Duration) {
        self.failures = self.failures.saturating_add(1);
        self.own_at = None;
        self.rest_until = now + pause;
    }

    /// Records how long a read of the service took.
    pub fn record_read_time(&mut self, time: Duration) {
        self.read_time = time.max(self.read_time.mul_f64(READ_TIME_DECAY));
    }

    /// Returns the age of the knowledge at which the entry asks the service. If its reads take longer than the
    /// timeout of a check, it asks earlier by the difference.
    pub fn max_age(&self) -> Duration {
        let read = self.read_time.mul_f64(READ_MARGIN);
        let excess = read.saturating_sub(self.limits.check_timeout);
        let least = MIN_MAX_AGE.min(self.limits.max_age);
        self.limits.max_age.saturating_sub(excess).max(least)
    }

    /// Records a check that has brought the knowledge up to date.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Forgets all confirmations, so that the service is asked at once: a watch of it has failed, or this entry is
    /// to watch it for the others and has no word of its own.
    pub fn expire(&mut self) {
        self.own_at = None;
        self.confirmed_at = None;
    }

    /// Postpones the next check, for which another entry is expected to tell how recent its knowledge is.
    pub fn rest(&mut self, until: Time) {
        self.rest_until = self.rest_until.max(until);
    }

    /// Returns how many checks in a row have failed.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns how long the service may leave the next check without any byte of an answer.
    pub fn check_timeout(&self) -> Duration {
        self.limits.check_timeout * 2_u32.pow(self.failures.min(MAX_DOUBLINGS))
    }

    /// Returns the age of what the service itself has told this entry, `None` if that is too old to count.
    pub fn own_age(&self, now: Time) -> Option<Duration> {
        let age = now.since(self.own_at?);
        (age < self.limits.max_age).then_some(age)
    }

    /// Returns how old the knowledge is at most, `None` if there is none.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Returns how long the knowledge is still recent enough.
    pub fn time_left(&self, now: Time) -> Duration {
        let due = self.confirmed_at.map(|at| at + self.max_age());
        due.map_or(Duration::ZERO, |due| now.until(due))
    }

    /// Returns the next step. `is_behind` says whether another entry has told of newer data.
    pub fn next_step(&self, now: Time, is_behind: bool) -> FreshnessStep {
        if now < self.rest_until {
            return FreshnessStep::Rest(self.rest_until);
        }
        match self.confirmed_at.map(|at| at + self.max_age()) {
            Some(due) if now < due && !is_behind => FreshnessStep::Rest(due),
            _ => FreshnessStep::Check,
        }
    }
}
