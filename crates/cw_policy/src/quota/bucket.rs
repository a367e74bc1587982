//! A token bucket with a variable rate.

use std::time::Duration;

use cw_types::Time;

/// A token bucket whose level may be negative.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Bucket {
    level: f64,
    filled_at: Time,
}

impl Bucket {
    /// Returns a bucket with this level at `now`.
    pub(super) fn new(now: Time, level: f64) -> Self {
        Self {
            level,
            filled_at: now,
        }
    }

    /// Refills the bucket at `rate` per second up to `capacity`.
    pub(super) fn fill(&mut self, now: Time, rate: f64, capacity: f64) {
        let elapsed = now.since(self.filled_at).as_secs_f64();
        self.level = (self.level + rate * elapsed).min(capacity);
        self.filled_at = now;
    }

    pub(super) fn spend(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Returns the time until the level reaches `amount` at `rate` per second.
    pub(super) fn time_until(&self, amount: f64, rate: f64) -> Duration {
        let seconds = (amount - self.level).max(0.0) / rate;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}
