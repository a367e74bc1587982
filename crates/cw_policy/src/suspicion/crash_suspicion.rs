//! The limits and the levels of suspicion against a request.

use std::time::Duration;

/// The limits by which crashes are counted against a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspicionLimits {
    /// How many crashes confirm a request as the cause that alone was in flight at all of them.
    pub confirming_crashes: usize,
    /// How many such crashes refuse a new call whose request this entry did not confirm itself.
    ///
    /// Another entry may know that the request has completed since, or that its output went on
    /// between the crashes.
    pub refusing_crashes: usize,
    /// How many targets that crash within [`SuspicionLimits::mass_window`] are a mass failure,
    /// which no request causes.
    pub mass_targets: usize,
    /// The time within which the crashes of a mass failure occur.
    pub mass_window: Duration,
    /// How long a crash is kept.
    pub retention: Duration,
    /// The most crashes that are kept.
    pub max_crashes: usize,
    /// The most suspects of one crash; a crash with more of them is ignored.
    pub max_suspects: usize,
}

impl Default for SuspicionLimits {
    fn default() -> Self {
        Self {
            confirming_crashes: 2,
            refusing_crashes: 3,
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
    /// It was in flight at crashes that are too few, or at all of which another request was too.
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
    /// Returns how many more crashes a new call of the request is allowed, of `limit`, before the
    /// request is checked as their cause.
    ///
    /// The first earlier crash does not count: the request may have been in flight by chance, and
    /// may have completed at another entry since. Each further one reduces the limit, to one at
    /// least.
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
