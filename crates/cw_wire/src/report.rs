//! Reports of agents and the batches that carry them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cw_macro::data;
use cw_types::Change;
use cw_types::HostId;
use cw_types::Incarnation;
use cw_types::ModelName;
use cw_types::Record;
use cw_types::RecordKey;
use cw_types::RecordKind;
use cw_types::Revision;
use cw_types::SchemaVersion;
use cw_types::Snapshot;
use cw_types::TargetId;
use cw_types::VersionName;

use crate::Demand;
use crate::Load;
use crate::LoadUpdate;

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

/// How many live attempts are pinned to each version of each model.
pub type Pins = BTreeMap<ModelName, BTreeMap<VersionName, u32>>;

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
    /// How many live attempts are pinned to each version.
    #[serde(default)]
    pub pinned: Pins,
    /// The crashes of the last minutes.
    pub crashes: Vec<CrashReport>,
    /// The configuration revision in force at the agent.
    pub revision: Revision,
}

/// What a relay tells an agent that reported to it.
#[data(Copy, Default, Eq)]
#[serde(default)]
pub struct ReportResponse {
    /// The configuration revision in force at the relay.
    pub revision: Revision,
    /// Whether operators drain the target or its host: it takes no new work.
    pub drained: bool,
}

/// A target that a relay has not heard from for a while.
#[data(Eq)]
pub struct SilentTarget {
    /// The relay.
    pub relay: HostId,
    /// The target.
    pub target: TargetId,
    /// The life that was last heard.
    pub incarnation: Incarnation,
    /// How long nothing has been heard.
    pub quiet: Duration,
}

/// One entry, as it tells of itself.
#[data(Eq)]
pub struct ProcessState {
    /// Its host.
    pub host: HostId,
    /// The number of this statement, which rises also over restarts.
    pub sequence: u64,
    /// How old the statement is.
    pub age: Duration,
    /// The configuration revision in force there.
    pub revision: Revision,
    /// The highest schema version that it reads of each kind of record.
    pub schemas: BTreeMap<RecordKind, SchemaVersion>,
}

/// Reports that a relay passes on, each with its age at the relay.
#[data]
pub struct ReportBatch {
    /// The host of the relay.
    pub relay: HostId,
    /// The number of the batch.
    pub sequence: u64,
    /// The configuration revision in force at the relay.
    pub revision: Revision,
    /// The reports and their ages.
    pub reports: Vec<(Duration, Report)>,
    /// Newer loads of targets whose reports were passed on before.
    #[serde(default)]
    pub loads: Vec<LoadUpdate>,
    /// Targets that report to this relay and have fallen silent.
    #[serde(default)]
    pub silent: Vec<SilentTarget>,
    /// Entries.
    #[serde(default)]
    pub processes: Vec<ProcessState>,
    /// Whether the relay passes on what other relays told it: such a batch goes no further.
    #[serde(default)]
    pub forwarded: bool,
    /// What workspaces want at other entries, and the ages.
    #[serde(default)]
    pub demands: Vec<(Duration, Demand)>,
}

/// Asks a peer for a newer configuration.
#[data(Copy, Eq)]
pub struct ConfigRequest {
    /// The revision that the asking process has.
    pub have: Revision,
}

/// The part of a configuration that changed between two revisions.
#[data]
pub struct ConfigDelta {
    /// The revision that it applies to.
    pub from: Revision,
    /// The revision that it makes.
    pub to: Revision,
    /// The records that were written, with the revision that wrote each.
    pub written: Vec<(Revision, Record)>,
    /// The records that were removed.
    pub removed: Vec<RecordKey>,
    /// The changes between the two.
    pub changes: Vec<Change>,
}

/// A peer's answer to a [`ConfigRequest`].
#[data]
#[serde(rename_all = "snake_case")]
pub enum ConfigResponse {
    /// The peer has nothing newer.
    Current(Revision),
    /// What changed.
    Delta(ConfigDelta),
    /// The whole.
    Whole(Snapshot),
}
