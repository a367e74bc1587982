//! The readiness of a process.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

/// The readiness flags of one role, shared by its threads.
#[derive(Debug, Default)]
pub struct Health {
    configured: AtomicBool,
    draining: AtomicBool,
}

impl Health {
    /// Records that a configuration is active.
    pub fn set_configured(&self) {
        self.configured.store(true, Ordering::Release);
    }

    /// Stops accepting new work.
    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Returns whether the process only finishes the work that it has already accepted.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Returns whether the load balancer may send requests.
    pub fn is_ready(&self) -> bool {
        self.configured.load(Ordering::Acquire) && !self.is_draining()
    }
}
