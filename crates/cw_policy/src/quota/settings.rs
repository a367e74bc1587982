//! How quotas are shared.

use std::time::Duration;

use cw_macro::data;

/// How quotas are shared among entries.
#[data]
pub struct QuotaSettings {
    /// How old what is heard of others may be; the longest way of a message that counts.
    pub stale: Duration,
    /// How much the demand that an entry states may grow within that time, as a part of itself.
    pub growth: f64,
    /// The least demand of an entry, as a part of an equal share.
    pub floor: f64,
    /// How long requests and tokens may be saved up.
    pub burst: Duration,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self {
            stale: Duration::from_secs(2),
            growth: 0.5,
            floor: 0.1,
            burst: Duration::from_secs(1),
        }
    }
}
