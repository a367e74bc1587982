//! Fault injection for the fake etcd.

use std::time::Duration;

/// Injected faults, which can change while the fake runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EtcdFaults {
    /// Whether every call fails with status 503.
    pub unavailable: bool,
    /// The additional delay of each call.
    pub delay: Duration,
    /// The number of next writes that take effect but get no response.
    pub lost_responses: u32,
    /// Whether watches send no events and no progress notifications.
    pub silent_watches: bool,
}
