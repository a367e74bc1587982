//! How many attempts a target can run within its time between tokens.

use std::time::Duration;

/// The share of the running attempts that a decrease leaves, in percent.
const DECREASE_PERCENT: u32 = 85;
/// The part of the limit that an increase adds, beside 1, as a divisor.
const INCREASE_DIVISOR: u32 = 16;
/// The weight of the earlier readings in the smoothed time between tokens; the newest has 1.
const SMOOTHING: u32 = 3;
/// The share of the wanted time between tokens below which the limit rises, in percent.
const HEADROOM_PERCENT: u32 = 90;

/// A limit by additive increase and multiplicative decrease on the time between tokens.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    target: Duration,
    floor: u32,
    ceiling: u32,
    reserve: u32,
    limit: u32,
    step: Duration,
}

impl AdaptiveLimit {
    /// Returns a limit between `floor` and `ceiling` that keeps within `target` between tokens.
    pub fn new(target: Duration, floor: u32, ceiling: u32) -> Self {
        Self {
            target,
            floor: floor.min(ceiling),
            ceiling,
            reserve: 0,
            limit: ceiling,
            step: Duration::ZERO,
        }
    }

    /// Sets how many slots ordinary attempts never take: without them the limit is reached.
    #[must_use]
    pub fn with_reserve(mut self, reserve: u32) -> Self {
        self.reserve = reserve;
        self
    }

    /// Returns the smoothed time between tokens.
    pub fn step(&self) -> Duration {
        self.step
    }

    /// Returns the most attempts that may run now.
    pub fn get(&self) -> u32 {
        self.limit
    }

    /// Adjusts the limit to one reading of the engine.
    ///
    /// `step` is the time between tokens, `running` how many attempts shared the engine and
    /// `queued` how many more the engine itself kept waiting.
    pub fn observe(&mut self, step: Duration, running: u32, queued: u32) {
        if running == 0 {
            // An idle engine's last step says nothing.
            return;
        }
        self.step = match self.step {
            Duration::ZERO => step,
            before => (before * SMOOTHING + step) / (SMOOTHING + 1),
        };
        let step = self.step;
        if step > self.target {
            // A share of what runs, not of the limit: the same late reading decreases it once.
            self.set(self.limit.min(running * DECREASE_PERCENT / 100));
        } else if queued > 0 {
            // The engine has no room for them: letting more in would only hide the queue.
            self.set(running);
        } else if step * 100 < self.target * HEADROOM_PERCENT && self.is_reached(running) {
            // A limit that is not reached says nothing about a higher one.
            self.set(self.limit + 1 + self.limit / INCREASE_DIVISOR);
        }
    }

    fn is_reached(&self, running: u32) -> bool {
        running + self.reserve >= self.limit
    }

    fn set(&mut self, limit: u32) {
        self.limit = limit.clamp(self.floor, self.ceiling);
    }
}
