//! How fast a lane drains.

use std::time::Duration;

use cw_types::Time;

/// How long starts are counted for one sample.
const WINDOW: Duration = Duration::from_millis(500);

/// The weight of the newest sample.
const SAMPLE_WEIGHT: f64 = 0.3;

/// The measured rate of starts while requests wait.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Drain {
    /// Starts a second, once measured.
    rate: Option<f64>,
    /// Since when starts are counted; none while nothing waits.
    since: Option<Time>,
    starts: u32,
}

impl Drain {
    /// Counts a start.
    pub(super) fn start(&mut self) {
        self.starts += 1;
    }

    /// Takes back a start that did not come about.
    pub(super) fn refund(&mut self) {
        self.starts = self.starts.saturating_sub(1);
    }

    /// Takes in that time has passed, and whether requests wait.
    pub(super) fn update(&mut self, now: Time, waits: bool) {
        if !waits {
            // Starts from an empty queue say nothing about its drain.
            self.since = None;
            self.starts = 0;
            return;
        }
        let since = *self.since.get_or_insert(now);
        let span = now.since(since);
        if span < WINDOW {
            return;
        }
        let sample = f64::from(self.starts) / span.as_secs_f64();
        let rate = self.rate.unwrap_or(sample);
        self.rate = Some(rate + SAMPLE_WEIGHT * (sample - rate));
        self.since = Some(now);
        self.starts = 0;
    }

    /// Returns how long `count` starts take, once the rate is known.
    pub(super) fn time(&self, count: usize) -> Option<Duration> {
        let rate = self.rate?;
        let seconds = count as f64 / rate.max(f64::MIN_POSITIVE);
        Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }
}
