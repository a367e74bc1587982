//! The adaptive limit on concurrent attempts at one target.

use std::time::Duration;

/// The limit after a decrease, in percent of the running attempts.
const DECREASE_PERCENT: u32 = 85;
/// An increase adds 1 and the limit divided by this.
const INCREASE_DIVISOR: u32 = 16;
/// The weight of the earlier samples in the smoothed step time; the newest sample weighs 1.
const SMOOTHING_WEIGHT: u32 = 3;
/// The limit rises only while the step time is below this share of its limit, in percent.
const INCREASE_BELOW_PERCENT: u32 = 90;

/// A concurrency limit controlled by the time between tokens.
///
/// It increases additively and decreases multiplicatively (AIMD).
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    step_limit: Duration,
    floor: u32,
    ceiling: u32,
    reserved_slots: u32,
    limit: u32,
    /// The smoothed time between tokens, zero before the first sample.
    step: Duration,
}

impl AdaptiveLimit {
    /// Returns a limit between `floor` and `ceiling` that keeps the time between tokens within
    /// `step_limit`.
    pub fn new(step_limit: Duration, floor: u32, ceiling: u32) -> Self {
        Self {
            step_limit,
            floor: floor.min(ceiling),
            ceiling,
            reserved_slots: 0,
            limit: ceiling,
            step: Duration::ZERO,
        }
    }

    /// Sets how many slots are reserved for resumed attempts.
    ///
    /// The limit counts as reached once all other slots are taken.
    #[must_use]
    pub fn with_reserved_slots(mut self, reserved_slots: u32) -> Self {
        self.reserved_slots = reserved_slots;
        self
    }

    /// Returns the smoothed time between tokens.
    pub fn step(&self) -> Duration {
        self.step
    }

    /// Returns how many attempts may run at once.
    pub fn get(&self) -> u32 {
        self.limit
    }

    /// Adjusts the limit to one load sample of the engine.
    ///
    /// `step` is the time between tokens, `running` the number of attempts in the engine's batch
    /// and `queued` the number in the engine's own queue.
    pub fn observe(&mut self, step: Duration, running: u32, queued: u32) {
        if running == 0 {
            // The step time of an idle engine is left over from earlier load.
            return;
        }
        self.step = match self.step {
            Duration::ZERO => step,
            previous => (previous * SMOOTHING_WEIGHT + step) / (SMOOTHING_WEIGHT + 1),
        };
        let step = self.step;
        if step > self.step_limit {
            // Based on the running attempts, not on the limit, so that repeated samples of the same
            // load decrease it only once.
            self.set(self.limit.min(running * DECREASE_PERCENT / 100));
        } else if queued > 0 {
            // The engine is full: admitting more would only move the wait into its own queue.
            self.set(running);
        } else if step * 100 < self.step_limit * INCREASE_BELOW_PERCENT && self.is_reached(running)
        {
            // Latency below a limit that is not reached is no evidence that a higher one holds.
            self.set(self.limit + 1 + self.limit / INCREASE_DIVISOR);
        }
    }

    fn is_reached(&self, running: u32) -> bool {
        running + self.reserved_slots >= self.limit
    }

    fn set(&mut self, limit: u32) {
        self.limit = limit.clamp(self.floor, self.ceiling);
    }
}
