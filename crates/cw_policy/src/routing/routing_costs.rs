//! What the parts of a decision weigh.

use std::time::Duration;

/// What the parts of a decision weigh, as time.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingCosts {
    /// The time to process one prompt token that is not cached.
    pub prefill: Duration,
    /// How long an attempt holds its place, until some have ended.
    pub hold: Duration,
    /// The delay that a full target's batch adds over an empty one's.
    pub batch: Duration,
    /// The cost of another availability zone of the same region.
    pub zone: Duration,
    /// The cost of another region.
    pub region: Duration,
    /// The time over which a target that returned takes up its whole share.
    pub ramp: Duration,
    /// How fast a report loses its weight against the mean, in units of an attempt's hold.
    pub fade: f64,
    /// How many attempts one counts for that this entry sent since a target's report: other
    /// entries see the same report and send alike.
    pub peers: f64,
    /// How far over the mean a target may be, in units of its limit, and still be preferred for its
    /// cache.
    pub bound: f64,
}

impl Default for RoutingCosts {
    fn default() -> Self {
        Self {
            prefill: Duration::from_micros(100),
            hold: Duration::from_secs(4),
            batch: Duration::from_millis(300),
            zone: Duration::from_millis(2),
            region: Duration::from_millis(60),
            ramp: Duration::from_secs(10),
            fade: 3.0,
            peers: 2.0,
            bound: 0.25,
        }
    }
}
