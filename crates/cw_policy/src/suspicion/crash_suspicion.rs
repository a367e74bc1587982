//! Bounds of suspicion, and its outcome.

use std::time::Duration;

/// Bounds of suspicion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspicionLimits {
    /// How many crashes make a request guilty that alone was in flight at all of them.
    pub crashes: usize,
    /// How many such crashes make a request guilty that this entry did not find guilty itself.
    ///
    /// Another entry may know that the request has run to its end since, or that its output went on
    /// between the crashes.
    pub foreign: usize,
    /// How many targets that crash within [`SuspicionLimits::window`] are taken for a loss that no
    /// request caused.
    pub mass: usize,
    /// See [`SuspicionLimits::mass`].
    pub window: Duration,
    /// How long a crash is remembered.
    pub memory: Duration,
    /// The most crashes that are remembered.
    pub capacity: usize,
    /// The most suspects of one crash that are remembered.
    pub suspects: usize,
}

impl Default for SuspicionLimits {
    fn default() -> Self {
        Self {
            crashes: 2,
            foreign: 3,
            mass: 4,
            window: Duration::from_secs(2),
            memory: Duration::from_secs(600),
            capacity: 512,
            suspects: 256,
        }
    }
}

/// What is held against a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashSuspicion {
    /// Nothing.
    Unsuspected,
    /// It was in flight at this many crashes, and others were too.
    Suspected {
        /// The crashes.
        crashes: usize,
    },
    /// It alone was in flight at several crashes, or this entry has found it guilty before.
    Confirmed {
        /// The crashes.
        crashes: usize,
    },
}

impl CrashSuspicion {
    /// Returns after how many more crashes a new call of the request is judged, of `limit`.
    ///
    /// One earlier crash says nothing: the request may have been there by chance, and may have
    /// run to its end at another entry since. More of them count for the new call too.
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
