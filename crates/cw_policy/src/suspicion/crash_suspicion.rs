//! The limits and the levels of suspicion against a request.

use std::time::Duration;

/// The limits by which crashes are counted against a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspicionLimits {
    /// The number of crashes that confirm a request as their cause, if it is the only one that was
    /// in flight at all of them.
    pub confirming_crashes: usize,
    /// The number of such crashes from which a new call of the request is refused. A request that
    /// this entry itself has confirmed as the cause is refused before.
    ///
    /// The number is higher than that for a confirmation because another entry may know that the
    /// request has completed since, or that its output advanced between the crashes.
    pub refusing_crashes: usize,
    /// The number of crashes from which a request is refused although another one was in flight at
    /// all of them too. It bounds the crashes of two requests that always run together.
    pub undecided_crashes: usize,
    /// The number of targets whose crashes within [`SuspicionLimits::mass_window`] may be a mass
    /// failure, which no request causes. They are in one availability zone or in several ones.
    pub mass_targets: usize,
    /// The time within which the crashes of a mass failure occur.
    pub mass_window: Duration,
    /// How long a crash is kept.
    pub retention: Duration,
    /// The maximum number of crashes that are kept.
    pub max_crashes: usize,
    /// The maximum number of suspects of one crash; a crash with more of them is ignored.
    pub max_suspects: usize,
}

impl Default for SuspicionLimits {
    fn default() -> Self {
        Self {
            confirming_crashes: 2,
            refusing_crashes: 3,
            undecided_crashes: 6,
            mass_targets: 4,
            mass_window: Duration::from_secs(2),
            retention: Duration::from_secs(600),
            max_crashes: 512,
            max_suspects: 256,
        }
    }
}

/// The suspicion that a request crashes engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashSuspicion {
    /// No crash counts against it.
    Unsuspected,
    /// It was in flight at too few crashes to be confirmed, or another request was in flight at all
    /// of them too.
    Suspected {
        /// The crashes that count against it.
        crashes: usize,
    },
    /// It is the only request that was in flight at all of several crashes.
    Confirmed {
        /// The crashes that count against it.
        crashes: usize,
    },
}

impl CrashSuspicion {
    /// Returns how many crashes a new call of the request is allowed before the request is checked
    /// as their cause, at most `limit`.
    ///
    /// The first earlier crash does not count: the request may have been in flight by chance, and
    /// may have completed at another entry since. Each further one reduces the number by one, down
    /// to one.
    pub fn crashes_left(self, limit: u32) -> u32 {
        let earlier = match self {
            CrashSuspicion::Unsuspected => 0,
            CrashSuspicion::Suspected { crashes } | CrashSuspicion::Confirmed { crashes } => {
                crashes
            }
        };
        let counted = u32::try_from(earlier.saturating_sub(1)).unwrap_or(u32::MAX);
        limit.saturating_sub(counted).max(1)
    }
}
