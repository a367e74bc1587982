//! How the planner is.

use cw_macro::data;
use cw_types::FencingNumber;
use cw_types::HostId;

/// How the planner is, as far as this entry knows.
#[data(Default, Eq)]
pub struct PlannerStatus {
    /// The host that holds the lease.
    pub holder: Option<HostId>,
    /// The fencing number of the lease.
    pub fencing: FencingNumber,
    /// Orders in progress, where this entry is the holder.
    pub orders: u32,
}
