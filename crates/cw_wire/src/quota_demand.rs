//! The demand of workspaces on their quotas.

use std::collections::BTreeMap;

use cw_macro::data;
use cw_types::HostId;
use cw_types::WorkspaceId;

/// The share of its quota that each workspace wants at one entry, or at several entries whose
/// demand a relay adds up.
#[data]
pub struct QuotaDemand {
    /// The host of the entry, or of the relay.
    pub from: HostId,
    /// The sequence number of the message; the receiver ignores an older one.
    pub sequence: u64,
    /// The number of entries in the sum, which never includes the receiver.
    pub entries: u32,
    /// The fraction of its total quota that each workspace wants; 1 is the whole quota.
    pub parts: BTreeMap<WorkspaceId, f64>,
}
