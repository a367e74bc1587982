//! The bounds of a queue.

use std::time::Duration;

use cw_types::ByteSize;

/// The bounds of a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// The most requests.
    pub max_requests: usize,
    /// The most bytes.
    pub max_bytes: ByteSize,
    /// One start in this many goes to a rank below the highest, to the request there that came
    /// first. A request with `k` others of lower ranks before it starts within `lower_interval * (k + 1)`
    /// starts of its lane.
    pub lower_interval: u32,
    /// The shortest time after which a refused caller is asked to call again.
    pub retry_min: Duration,
    /// The longest time that the drain of the queue adds to it.
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
