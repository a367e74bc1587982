//! The limits of a queue.

use std::time::Duration;

use cw_types::ByteSize;

/// The limits of a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// The maximum number of waiting requests.
    pub max_requests: usize,
    /// The maximum memory of all waiting requests together.
    pub max_bytes: ByteSize,
    /// One start in this many goes to the oldest request of the ranks below the highest. A request
    /// there with `k` older ones is started within `lower_interval * (k + 1)` starts of its pool.
    pub lower_interval: u32,
    /// The shortest time after which a refused caller may retry.
    pub retry_min: Duration,
    /// The maximum time that the expected drain time of the queue adds to `retry_min`.
    pub retry_max: Duration,
}

impl Default for QueueLimits {
    fn default() -> Self {
        Self {
            max_requests: 1024,
            max_bytes: ByteSize::mib(64),
            lower_interval: 16,
            retry_min: Duration::from_secs(1),
            retry_max: Duration::from_secs(30),
        }
    }
}
