//! The limits that targets name, as forwarding entries tell them to each other.

use std::time::Duration;

use cw_macro::data;
use cw_types::Rate;

use crate::TargetHash;

/// What a target has reported of the requests that it takes from all entries together.
#[data(Copy)]
pub struct LimitNotice {
    /// The incarnation of the target.
    pub target: TargetHash,
    /// The limit in requests a second, `None` if it has none any more.
    pub rate: Option<Rate>,
    /// The time since it reported that.
    pub age: Duration,
}
