//! Reports of agents and the batches that carry them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cw_macro::data;
use cw_types::HostId;
use cw_types::Incarnation;
use cw_types::ModelName;
use cw_types::Revision;
use cw_types::TargetId;
use cw_types::VersionName;

use crate::Demand;
use crate::Load;

/// A hash of what a request asks: workspace, model and prompt.
#[data(Copy, Default, Eq, Hash, PartialOrd, Ord)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

/// Whether a target takes work.
#[data(Copy, Default, Eq)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// The engine is not there yet, or no longer.
    #[default]
    Down,
    /// The target takes work.
    Up,
    /// The target takes no new work and finishes what it has.
    Leaving,
}

/// An engine's crash under a living agent.
#[data(Eq)]
pub struct CrashReport {
    /// The number of the crash within the agent's incarnation.
    pub sequence: u64,
    /// The fingerprints of the attempts in flight.
    pub suspects: Vec<Fingerprint>,
}

/// The state of one target, sent by its agent.
#[data]
pub struct Report {
    /// The target.
    pub target: TargetId,
    /// The host it runs on.
    pub host: HostId,
    /// The agent's life: a report of an earlier life is ignored.
    pub incarnation: Incarnation,
    /// The number of the report within that life: an older report is ignored.
    pub sequence: u64,
    /// Whether it takes work.
    pub state: TargetState,
    /// Its load.
    pub load: Load,
    /// The versions it holds ready.
    pub versions: BTreeMap<ModelName, BTreeSet<VersionName>>,
    /// The crashes of the last minutes.
    pub crashes: Vec<CrashReport>,
    /// The configuration revision in force at the agent.
    pub revision: Revision,
}

/// Reports that a relay passes on, each with its age at the relay.
#[data]
pub struct Batch {
    /// The host of the relay.
    pub relay: HostId,
    /// The number of the batch.
    pub sequence: u64,
    /// The configuration revision in force at the relay.
    pub revision: Revision,
    /// The reports and their ages.
    pub reports: Vec<(Duration, Report)>,
    /// What workspaces want at other entries, and the ages.
    #[serde(default)]
    pub demands: Vec<(Duration, Demand)>,
}
