//! How much of their quotas workspaces use at entries.

use std::collections::BTreeMap;

use cw_macro::data;
use cw_types::HostId;
use cw_types::WorkspaceId;

/// How much of their quotas workspaces want at one entry, or at several that a relay sums up.
#[data]
pub struct Demand {
    /// The host of the entry, or of the relay.
    pub from: HostId,
    /// The number of the message: an older one is ignored.
    pub sequence: u64,
    /// How many entries the parts are summed over; the receiver is never one of them.
    pub entries: u32,
    /// The part of the whole quota that each workspace wants, 1 for all of it.
    pub parts: BTreeMap<WorkspaceId, f64>,
}
