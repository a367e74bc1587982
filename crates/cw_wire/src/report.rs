//! Reports of agents, the batches that relays forward, and configuration updates between peers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
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

use crate::Load;
use crate::LoadUpdate;
use crate::QuotaDemand;
use crate::TargetHash;

/// A hash that identifies a request whichever attempt of its caller carries it: of the workspace, the
/// model and the prompt, or of the workspace, the path and the body of a forwarded request.
#[data(Copy, Default, Eq, Hash, PartialOrd, Ord)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Whether a target accepts work.
#[data(Copy, Default, Eq)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// The engine has not started yet or has stopped.
    #[default]
    Down,
    /// The target accepts work.
    Up,
    /// The target accepts no new work and finishes the work that it has.
    Leaving,
}

/// A crash of an engine whose agent kept running.
#[data(Eq)]
pub struct CrashReport {
    /// The sequence number of the crash within the incarnation of the agent.
    pub sequence: u64,
    /// The fingerprints of the attempts in flight at the crash.
    pub suspects: Vec<Fingerprint>,
}

/// The number of live attempts that are pinned to each version of each model.
pub type Pins = BTreeMap<ModelName, BTreeMap<VersionName, u32>>;

/// The state of a target, sent by its agent.
#[data]
pub struct Report {
    /// The target whose state this is.
    pub target: TargetId,
    /// The host that the target runs on.
    pub host: HostId,
    /// The incarnation of the agent; a report of an earlier incarnation is ignored.
    pub incarnation: Incarnation,
    /// The sequence number of the report within the incarnation; an older report is ignored.
    pub sequence: u64,
    /// Whether the target accepts work.
    pub state: TargetState,
    /// The load of the target.
    pub load: Load,
    /// The versions that are loaded and ready.
    pub versions: BTreeMap<ModelName, BTreeSet<VersionName>>,
    /// The number of live attempts that are pinned to each version.
    #[serde(default)]
    pub pinned: Pins,
    /// The crashes of the last few minutes.
    pub crashes: Vec<CrashReport>,
    /// The configuration revision in force at the agent.
    pub revision: Revision,
}

impl Report {
    /// Returns the hash that identifies the incarnation that made the report.
    pub fn hash(&self) -> TargetHash {
        TargetHash::of_incarnation(&self.target, self.incarnation)
    }
}

/// The response of a relay to the report of an agent.
#[data(Copy, Default, Eq)]
#[serde(default)]
pub struct ReportResponse {
    /// The configuration revision in force at the relay.
    pub revision: Revision,
    /// Whether the target or its host is drained, so that the target accepts no new work.
    pub drained: bool,
}

/// A target from which a relay has recently received no report.
#[data(Eq)]
pub struct SilentTarget {
    /// The host of the relay that misses the reports.
    pub relay: HostId,
    /// The target whose reports are missing.
    pub target: TargetId,
    /// The incarnation of the last report.
    pub incarnation: Incarnation,
    /// The time since the last report.
    pub quiet: Duration,
}

/// The state of an entry, announced by the entry itself.
#[data(Eq)]
pub struct ProcessState {
    /// The host of the entry.
    pub host: HostId,
    /// The sequence number of the announcement, which also increases across restarts.
    pub sequence: u64,
    /// The age of the announcement.
    pub age: Duration,
    /// The configuration revision in force at the entry.
    pub revision: Revision,
    /// The newest schema version that the entry can read, for each record kind.
    pub schemas: BTreeMap<RecordKind, SchemaVersion>,
}

/// Reports that a relay forwards, each with its age at the relay.
#[data]
pub struct ReportBatch {
    /// The host of the relay.
    pub relay: HostId,
    /// The sequence number of the batch.
    pub sequence: u64,
    /// The configuration revision in force at the relay.
    pub revision: Revision,
    /// The reports and their ages.
    pub reports: Vec<(Duration, Report)>,
    /// Newer loads of targets whose reports were forwarded earlier.
    #[serde(default)]
    pub loads: Vec<LoadUpdate>,
    /// Targets that report to this relay and have stopped doing so.
    #[serde(default)]
    pub silent: Vec<SilentTarget>,
    /// The states of entries.
    #[serde(default)]
    pub processes: Vec<ProcessState>,
    /// Whether the batch carries what other relays sent to this relay. Such a batch is not
    /// forwarded again.
    #[serde(default)]
    pub forwarded: bool,
    /// The quota demands at other entries and their ages.
    #[serde(default)]
    pub demands: Vec<(Duration, QuotaDemand)>,
}

/// A request to a peer for a newer configuration.
#[data(Copy, Eq)]
pub struct ConfigRequest {
    /// The revision that the requesting process has.
    pub have: Revision,
}

/// The difference between two revisions of a configuration.
#[data]
pub struct ConfigDelta {
    /// The revision to which the delta applies.
    pub from: Revision,
    /// The revision that results.
    pub to: Revision,
    /// The records that were written, each with the revision that wrote it.
    pub written: Vec<(Revision, Record)>,
    /// The keys of the records that were removed.
    pub removed: Vec<RecordKey>,
    /// The accepted changes between the two revisions.
    pub changes: Vec<Change>,
}

/// The response of a peer to a [`ConfigRequest`].
#[data]
#[serde(rename_all = "snake_case")]
pub enum ConfigResponse {
    /// The peer has no newer revision than this one.
    Current(Revision),
    /// The difference from the revision of the request.
    Delta(ConfigDelta),
    /// The complete snapshot.
    Whole(Snapshot),
}
