//! The measured drain rate of a target pool's queue.

use std::time::Duration;

use cw_types::Time;

/// The shortest time over which starts are counted for one sample.
const SAMPLE_WINDOW: Duration = Duration::from_millis(500);

/// The weight of the newest sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.3;

/// The measured rate of starts while requests wait.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct DrainRate {
    /// The starts per second, once measured.
    rate: Option<f64>,
    /// When the present sample began, or `None` while no request waits.
    since: Option<Time>,
    starts: u32,
}

impl DrainRate {
    /// Counts a start.
    pub(super) fn record_start(&mut self) {
        self.starts += 1;
    }

    /// Reverts the count of a start whose request returned to the queue.
    pub(super) fn revert_start(&mut self) {
        self.starts = self.starts.saturating_sub(1);
    }

    /// Ends the present sample if it is long enough, or discards it if `waits` is false, that is if
    /// no request waits.
    pub(super) fn update(&mut self, now: Time, waits: bool) {
        if !waits {
            // The drain rate shows only while requests wait: starts from an empty queue follow the
            // rate of arrivals.
            self.since = None;
            self.starts = 0;
            return;
        }
        let since = *self.since.get_or_insert(now);
        let span = now.since(since);
        if span < SAMPLE_WINDOW {
            return;
        }
        let sample = f64::from(self.starts) / span.as_secs_f64();
        let rate = self.rate.unwrap_or(sample);
        self.rate = Some(rate + SAMPLE_WEIGHT * (sample - rate));
        self.since = Some(now);
        self.starts = 0;
    }

    /// Returns the expected time of `count` starts, once the rate is measured.
    pub(super) fn time_for(&self, count: usize) -> Option<Duration> {
        let rate = self.rate?;
        let seconds = count as f64 / rate.max(f64::MIN_POSITIVE);
        Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }
}
