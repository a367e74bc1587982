//! Counts over sliding windows, in a bounded number of buckets.

use std::collections::VecDeque;

use cw_macro::data;
use cw_types::Time;

use super::Window;

/// Good events among all events.
#[data(Copy, Default, Eq)]
pub struct Counts {
    /// Events within the objective.
    pub good: u64,
    /// All events.
    pub total: u64,
}

impl Counts {
    /// Returns the sum of both.
    #[must_use]
    pub fn plus(self, other: Counts) -> Counts {
        Counts {
            good: self.good + other.good,
            total: self.total + other.total,
        }
    }
}

#[derive(Clone, Debug)]
struct Ring {
    window: Window,
    /// Bucket numbers, counted from the clock's origin, and what fell into them; oldest first.
    buckets: VecDeque<(u64, Counts)>,
}

impl Ring {
    fn bucket(&self, now: Time) -> u64 {
        now.0 / self.window.bucket().as_micros() as u64
    }

    fn add(&mut self, now: Time, counts: Counts) {
        let bucket = self.bucket(now);
        match self.buckets.back_mut() {
            // A clock that seems to go back adds to the newest bucket.
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

/// The counts of one objective over every window.
#[derive(Clone, Debug)]
pub struct Series {
    rings: [Ring; 4],
}

impl Default for Series {
    fn default() -> Self {
        let rings = Window::ALL.map(|window| Ring {
            window,
            buckets: VecDeque::new(),
        });
        Self { rings }
    }
}

impl Series {
    /// Records events at the present moment.
    pub fn record(&mut self, now: Time, counts: Counts) {
        for ring in &mut self.rings {
            ring.add(now, counts);
        }
    }

    /// Returns the events of a window that ends now, to the window's bucket.
    pub fn counts(&mut self, now: Time, window: Window) -> Counts {
        self.rings
            .iter_mut()
            .find(|ring| ring.window == window)
            .map_or(Counts::default(), |ring| ring.sum(now))
    }
}
