//! Points in time on a monotonic clock.

use std::fmt;
use std::ops::Add;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A point in time on the monotonic clock of a process, in microseconds since an arbitrary origin.
///
/// Decision functions take the current time as an argument, which makes their runs reproducible.
/// Times of different processes are not comparable, so a `Time` is never sent to another process.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// Returns the duration since `earlier`, or zero if that is later than this time.
    pub const fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time `span` before this one, or the origin if that would be before the origin.
    #[must_use]
    pub fn before(self, span: Duration) -> Time {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_sub(micros))
    }

    /// Returns the duration until `later`, or zero if that is earlier than this time.
    pub const fn until(self, later: Time) -> Duration {
        later.since(self)
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, span: Duration) -> Time {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_add(micros))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}
