//! The costs by which a decision compares targets.

use std::time::Duration;

/// The costs by which a decision compares targets; delays add up as time.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingCosts {
    /// The time to prefill one prompt token that is not cached.
    pub prefill: Duration,
    /// The assumed time from dispatch to end of an attempt, until one has ended.
    pub service_time: Duration,
    /// The extra delay of an attempt in a full batch over one in an empty batch.
    pub batch_delay: Duration,
    /// The cost of a target in another availability zone of the same region.
    pub zone_delay: Duration,
    /// The cost of a target in another region.
    pub region_delay: Duration,
    /// The time over which a target that became alive again ramps up to its full share.
    pub ramp_up: Duration,
    /// The rate at which a report loses its weight against the group's mean, per mean service time.
    pub report_decay: f64,
    /// How many attempts each of this entry's dispatches since a target's report counts for: other
    /// entries see the same report and send alike.
    pub dispatch_weight: f64,
    /// How far a target's utilization may exceed the group's mean, as a fraction of its limit, for
    /// its cache still to count.
    pub load_bound: f64,
}

impl Default for RoutingCosts {
    fn default() -> Self {
        Self {
            prefill: Duration::from_micros(100),
            service_time: Duration::from_secs(4),
            batch_delay: Duration::from_millis(300),
            zone_delay: Duration::from_millis(2),
            region_delay: Duration::from_millis(60),
            ramp_up: Duration::from_secs(10),
            report_decay: 3.0,
            dispatch_weight: 2.0,
            load_bound: 0.25,
        }
    }
}
