//! What an entry knows.

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

/// How sure an entry is that a target is there.
#[data(Copy, Default, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Liveness {
    /// Nothing has been heard of it yet, or it says that its engine is down.
    #[default]
    Down,
    /// It reports.
    Alive,
    /// It has not reported for a while.
    Suspect,
    /// It takes no new work.
    Leaving,
    /// It is not coming back in this life.
    Gone,
}

/// One target, as an entry sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetView {
    /// Its record.
    pub target: Target,
    /// Whether it is there.
    pub liveness: Liveness,
    /// Its agent's life.
    pub incarnation: Incarnation,
    /// Its load at the time of its report.
    pub load: Load,
    /// When that report was made, by this entry's clock.
    pub reported: Time,
    /// When it last became alive, by this entry's clock.
    pub returned: Time,
    /// The versions it holds ready.
    pub versions: BTreeMap<ModelName, BTreeSet<VersionName>>,
    /// The crashes of its engine in the last minutes.
    pub crashes: Vec<CrashReport>,
}

/// Another entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryPeer {
    /// Its host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Where it listens for its peers.
    pub peers: SocketAddr,
}

/// What an entry knows: an immutable picture, replaced as a whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// The configuration in force.
    pub config: Arc<Config>,
    /// The targets of that configuration.
    pub targets: BTreeMap<TargetId, TargetView>,
    /// The live entries, this one included.
    pub entries: Vec<EntryPeer>,
}
