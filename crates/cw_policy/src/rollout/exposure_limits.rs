//! The requests that a bad version may get.

use std::time::Duration;

/// The requests that a bad version may get, from the operators' settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureLimits {
    /// The share of all requests of the service from the order to its deadline, from 0 to 1.
    pub share: f64,
    /// The number of requests beyond the share.
    pub slack: u64,
    /// The time after which nothing may be sent to a version that has shown itself to be bad.
    pub rollback: Duration,
}

impl Default for ExposureLimits {
    fn default() -> Self {
        Self {
            share: 0.1,
            slack: 50,
            rollback: Duration::from_secs(5),
        }
    }
}
