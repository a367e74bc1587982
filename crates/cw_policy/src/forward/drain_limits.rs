//! How long requests may still reach a target after the directory has acknowledged that it is leaving.

use std::time::Duration;

use super::FreshnessLimits;
use super::freshness::MIN_MAX_AGE;
use super::record_trust::shortest_outage;

/// The share of the time to drain in which the bytes of a request reach the target after the last look at its state. They
/// share the link of a small host with others.
const TRANSFER_SHARE: f64 = 0.1;

/// The steps from the acknowledgement that a target is draining or gone until the last request reaches it.
///
/// Between the choice of a target and the first byte of a request lie connections and questions that take up to a second.
/// They are no steps of the sum, because the state of the target is looked at again right before the bytes go
/// ([`Fleet::is_still_open`](super::Fleet::is_still_open)). Neither is the grace for records that may have expired in an outage: the
/// knowledge never gets so old that an outage could be hidden in its age.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainLimits {
    /// The steps until this entry knows that the target is leaving.
    pub knowledge: FreshnessLimits,
    /// The time from the last look at the target until the whole request has reached it.
    pub transfer: Duration,
}

impl DrainLimits {
    /// Divides the time in which a leaving target still takes requests. `record_ttl` is the time for which the directory
    /// lists a target that has stopped.
    pub fn within(bound: Duration, record_ttl: Duration) -> Self {
        let transfer = bound.mul_f64(TRANSFER_SHARE);
        let knowledge = (bound - transfer).min(shortest_outage(record_ttl));
        Self {
            knowledge: FreshnessLimits::within(knowledge),
            transfer,
        }
    }

    /// Returns whether the settings leave so little time that entries ask the directory although others watch it for all.
    pub fn is_tight(&self) -> bool {
        self.knowledge.max_age < MIN_MAX_AGE
    }

    /// Returns the time until the last request has reached a target that is leaving, whatever other entries do.
    pub fn last_send_time(&self) -> Duration {
        self.knowledge.max_age
            + self.knowledge.check_timeout
            + self.knowledge.reserve
            + self.transfer
    }
}
