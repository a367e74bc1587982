//! The settings of quota sharing.

use std::time::Duration;

use cw_macro::data;

/// Settings for sharing quotas among entries.
#[data]
pub struct QuotaSettings {
    /// The maximum age at which a demand counts, and so the maximum delay of its message.
    #[serde(rename = "stale")]
    pub max_age: Duration,
    /// The maximum growth of an entry's announced demand within that time, as a fraction of it.
    pub growth: f64,
    /// The minimum demand of an entry, as a fraction of an equal share.
    pub floor: f64,
    /// The burst capacity, as the time in which the rate of the quota provides it.
    pub burst: Duration,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self {
            max_age: Duration::from_secs(2),
            growth: 0.5,
            floor: 0.1,
            burst: Duration::from_secs(1),
        }
    }
}
