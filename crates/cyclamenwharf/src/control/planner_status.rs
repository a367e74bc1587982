//! The status of the planner.

use cw_macro::data;
use cw_types::FencingNumber;
use cw_types::HostId;

/// The status of the planner, as far as this entry knows it.
#[data(Default, Eq)]
pub struct PlannerStatus {
    /// The host that holds the planner's lease, if known.
    pub holder: Option<HostId>,
    /// The fencing number of the lease.
    pub fencing: FencingNumber,
    /// The number of orders in progress if this entry is the holder, otherwise 0.
    pub orders: u32,
}
