//! The targets that may be chosen for a request.

use cw_types::RegionId;
use cw_types::TargetId;
use cw_types::Time;
use cw_types::ZoneId;
use cw_wire::Load;

/// A target that may be chosen, with the load that it reported.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub(super) id: TargetId,
    pub(super) zone: ZoneId,
    pub(super) region: RegionId,
    pub(super) load: Load,
    pub(super) reported_at: Time,
    pub(super) alive_since: Time,
}

/// A candidate as a member of a group: its position among all candidates, and its id's hash.
#[derive(Clone, Copy, Debug)]
pub(super) struct Member {
    pub(super) id_hash: u64,
    pub(super) position: usize,
}

/// The targets that serve one model version or one plain service.
#[derive(Clone, Debug, Default)]
pub(super) struct Group {
    /// The targets that report.
    pub(super) alive: Vec<Member>,
    /// The targets whose reports are overdue.
    pub(super) suspect: Vec<Member>,
    /// The summed load of the alive targets as a fraction of their summed limits.
    pub(super) utilization: f64,
    /// The earliest time at which one of the alive targets became alive.
    pub(super) first_alive: Time,
}
