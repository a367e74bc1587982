//! The monotonic clock of the process.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use cw_types::Incarnation;
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
    /// Returns the current time.
    pub fn now(&self) -> Time {
        Time::default() + self.origin.elapsed()
    }

    /// Converts `time` to an instant of the async runtime, for timers.
    pub fn instant(&self, time: Time) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.origin + time.since(Time::default()))
    }
}

/// Returns a new incarnation number for this process.
///
/// The number is the wall clock time in microseconds, because hosts have no persistent storage for
/// a counter.
pub(crate) fn new_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let micros = since.unwrap_or_default().as_micros();
    Incarnation(u64::try_from(micros).unwrap_or(u64::MAX))
}
