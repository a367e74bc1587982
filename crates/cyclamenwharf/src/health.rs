//! Whether a process wants work.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

/// Readiness, shared by the threads of one role.
#[derive(Debug, Default)]
pub struct Health {
    configured: AtomicBool,
    draining: AtomicBool,
}

impl Health {
    /// Says that a configuration is in force.
    pub fn set_configured(&self) {
        self.configured.store(true, Ordering::Release);
    }

    /// Says that the process takes no new work from now on.
    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Returns whether the process finishes what it has and takes nothing new.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Returns whether the balancer should send work.
    pub fn is_ready(&self) -> bool {
        self.configured.load(Ordering::Acquire) && !self.is_draining()
    }
}
