//! A token bucket whose rate changes.

use std::time::Duration;

use cw_types::Time;

/// A token bucket that may be in debt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Bucket {
    level: f64,
    at: Time,
}

impl Bucket {
    /// Returns a bucket that holds `level` now.
    pub(super) fn new(now: Time, level: f64) -> Self {
        Self { level, at: now }
    }

    /// Fills at `rate` a second up to `most`.
    pub(super) fn fill(&mut self, now: Time, rate: f64, most: f64) {
        let span = now.since(self.at).as_secs_f64();
        self.level = (self.level + rate * span).min(most);
        self.at = now;
    }

    pub(super) fn spend(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Returns how long it takes until `amount` is there.
    pub(super) fn time(&self, amount: f64, rate: f64) -> Duration {
        let seconds = (amount - self.level).max(0.0) / rate;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}
