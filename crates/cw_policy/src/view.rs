//! The state that an entry knows: its configuration, targets and peers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use cw_macro::data;
use cw_types::Config;
use cw_types::HostId;
use cw_types::Incarnation;
use cw_types::ModelName;
use cw_types::RegionId;
use cw_types::Target;
use cw_types::TargetId;
use cw_types::Time;
use cw_types::VersionName;
use cw_types::ZoneId;
use cw_wire::CrashReport;
use cw_wire::Load;

/// The liveness of a target, as an entry assesses it.
#[data(Copy, Default, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Liveness {
    /// The target has not reported yet, or it reports that its engine is down.
    #[default]
    Down,
    /// The target reports.
    Alive,
    /// The target has missed reports.
    Suspect,
    /// The target accepts no new work.
    Leaving,
    /// The target counts as lost: it has been silent for long, and relays or the host list confirm
    /// it.
    Gone,
}

/// The state of a target, as known to an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetView {
    /// The target's record in the configuration.
    pub target: Target,
    /// The liveness of the target.
    pub liveness: Liveness,
    /// The incarnation of the target's agent.
    pub incarnation: Incarnation,
    /// The load at the time of the last report.
    pub load: Load,
    /// The time at which the last report was made, on this entry's clock.
    pub reported_at: Time,
    /// The time at which the target last became alive, on this entry's clock.
    pub alive_since: Time,
    /// The loaded versions of each model.
    pub versions: BTreeMap<ModelName, BTreeSet<VersionName>>,
    /// The crashes of the target's engine over the last minutes.
    pub crashes: Vec<CrashReport>,
}

/// An entry that other processes connect to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryPeer {
    /// The host of the entry.
    pub host: HostId,
    /// The availability zone of the host.
    pub zone: ZoneId,
    /// The region of the host.
    pub region: RegionId,
    /// The address at which the entry listens for peer connections.
    pub peer_address: SocketAddr,
}

/// An immutable snapshot of the state that an entry knows; it is replaced as a whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// The configuration in force.
    pub config: Arc<Config>,
    /// The targets of that configuration.
    pub targets: BTreeMap<TargetId, TargetView>,
    /// The live entries, including this one.
    pub entries: Vec<EntryPeer>,
}
