//! Event counts over sliding windows, in a bounded number of buckets.

use std::collections::VecDeque;

use cw_macro::data;
use cw_types::Time;

use super::Window;

/// The number of good events and of all events.
#[data(Copy, Default, Eq)]
pub struct Counts {
    /// The number of events that meet the objective.
    pub good: u64,
    /// The number of all events.
    pub total: u64,
}

impl Counts {
    /// Returns the sum of both counts.
    #[must_use]
    pub fn plus(self, other: Counts) -> Counts {
        Counts {
            good: self.good + other.good,
            total: self.total + other.total,
        }
    }
}

#[derive(Clone, Debug)]
struct WindowBuckets {
    window: Window,
    /// The bucket numbers, counted from the clock's origin, and their counts, oldest first.
    buckets: VecDeque<(u64, Counts)>,
}

impl WindowBuckets {
    fn bucket(&self, now: Time) -> u64 {
        now.0 / self.window.bucket().as_micros() as u64
    }

    fn add(&mut self, now: Time, counts: Counts) {
        let bucket = self.bucket(now);
        match self.buckets.back_mut() {
            // A time before the newest bucket is counted in the newest bucket.
            Some((last, sum)) if *last >= bucket => *sum = sum.plus(counts),
            _ => self.buckets.push_back((bucket, counts)),
        }
        self.trim(bucket);
    }

    fn trim(&mut self, newest: u64) {
        let kept = self.window.length().as_micros() / self.window.bucket().as_micros();
        let oldest = newest.saturating_sub(kept as u64 - 1);
        while self.buckets.front().is_some_and(|&(b, _)| b < oldest) {
            self.buckets.pop_front();
        }
    }

    fn sum(&mut self, now: Time) -> Counts {
        self.trim(self.bucket(now));
        self.buckets
            .iter()
            .fold(Counts::default(), |sum, (_, counts)| sum.plus(*counts))
    }
}

/// The counts of one objective over each window.
#[derive(Clone, Debug)]
pub struct Series {
    windows: [WindowBuckets; 4],
}

impl Default for Series {
    fn default() -> Self {
        let windows = Window::ALL.map(|window| WindowBuckets {
            window,
            buckets: VecDeque::new(),
        });
        Self { windows }
    }
}

impl Series {
    /// Adds events that occur at `now`.
    pub fn record(&mut self, now: Time, counts: Counts) {
        for buckets in &mut self.windows {
            buckets.add(now, counts);
        }
    }

    /// Returns the counts of a window that ends at `now`, to the resolution of its buckets.
    pub fn counts(&mut self, now: Time, window: Window) -> Counts {
        self.windows
            .iter_mut()
            .find(|buckets| buckets.window == window)
            .map_or(Counts::default(), |buckets| buckets.sum(now))
    }
}
