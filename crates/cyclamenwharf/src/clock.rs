//! The present time.

use std::time::Instant;

use cw_types::Time;

/// The process's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            origin: Instant::now(),
        }
    }
}

impl Clock {
    /// Returns the present moment.
    pub fn now(&self) -> Time {
        Time::default() + self.origin.elapsed()
    }

    /// Returns the runtime's instant for a moment, to sleep until it.
    pub fn instant(&self, time: Time) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.origin + time.since(Time::default()))
    }
}
