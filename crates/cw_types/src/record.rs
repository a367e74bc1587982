//! The records that operators propose and accept.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use cw_macro::data;
use serde_json::Map;
use serde_json::Value;
use serde_with::serde_as;
use snafu::Snafu;

use crate::AdapterName;
use crate::HostId;
use crate::KeyHash;
use crate::ModelName;
use crate::PriorityName;
use crate::Rate;
use crate::RegionId;
use crate::SchemaVersion;
use crate::VersionName;
use crate::WorkspaceId;
use crate::ZoneId;
use crate::units::DurationText;

/// The kinds of records.
#[data(Copy, Eq, Hash, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum RecordKind {
    /// A [`Route`].
    Route,
    /// A [`Workspace`].
    Workspace,
    /// A [`Priority`].
    Priority,
    /// A [`ModelVersion`].
    ModelVersion,
    /// A [`Target`].
    Target,
    /// A [`Drain`].
    Drain,
    /// An [`Operator`].
    Operator,
}

impl fmt::Display for RecordKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RecordKind::Route => "route",
            RecordKind::Workspace => "workspace",
            RecordKind::Priority => "priority",
            RecordKind::ModelVersion => "model_version",
            RecordKind::Target => "target",
            RecordKind::Drain => "drain",
            RecordKind::Operator => "operator",
        })
    }
}

/// Text that names no kind of record, or no record.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("expected KIND/NAME with a known kind, found {text:?}"))]
pub struct RecordKeyError {
    /// The text found.
    pub text: String,
}

impl FromStr for RecordKind {
    type Err = RecordKeyError;

    fn from_str(text: &str) -> Result<Self, RecordKeyError> {
        match text {
            "route" => Ok(RecordKind::Route),
            "workspace" => Ok(RecordKind::Workspace),
            "priority" => Ok(RecordKind::Priority),
            "model_version" => Ok(RecordKind::ModelVersion),
            "target" => Ok(RecordKind::Target),
            "drain" => Ok(RecordKind::Drain),
            "operator" => Ok(RecordKind::Operator),
            _ => Err(RecordKeyError {
                text: text.to_owned(),
            }),
        }
    }
}

/// A record's kind and name, written `kind/name`.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct RecordKey {
    /// The kind.
    pub kind: RecordKind,
    /// The name, unique within its kind.
    pub name: String,
}

impl fmt::Display for RecordKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

impl FromStr for RecordKey {
    type Err = RecordKeyError;

    fn from_str(text: &str) -> Result<Self, RecordKeyError> {
        let error = || RecordKeyError {
            text: text.to_owned(),
        };
        let (kind, name) = text.split_once('/').ok_or_else(error)?;
        let kind = kind.parse().map_err(|_| error())?;
        if name.is_empty() {
            return Err(error());
        }
        Ok(Self {
            kind,
            name: name.to_owned(),
        })
    }
}

impl TryFrom<String> for RecordKey {
    type Error = RecordKeyError;

    fn try_from(text: String) -> Result<Self, RecordKeyError> {
        text.parse()
    }
}

impl From<RecordKey> for String {
    fn from(key: RecordKey) -> String {
        key.to_string()
    }
}

/// One record, as operators write it and as the snapshot keeps it.
///
/// The body stays whole, so a process that does not know a field loses nothing.
#[data]
pub struct Record {
    /// The kind.
    pub kind: RecordKind,
    /// The name, unique within its kind.
    pub name: String,
    /// The version of the body's schema.
    pub schema: SchemaVersion,
    /// The body: one of [`Route`], [`Workspace`], [`Priority`], [`ModelVersion`], [`Target`],
    /// [`Drain`], [`Operator`].
    pub body: Map<String, Value>,
}

impl Record {
    /// Returns the record's key.
    pub fn key(&self) -> RecordKey {
        RecordKey {
            kind: self.kind,
            name: self.name.clone(),
        }
    }
}

/// How a route trades resume latency against extra work.
#[data(Copy, Default, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Recovery {
    /// Short patience and hedged resumes: the first new token wins.
    #[default]
    Latency,
    /// Longer patience and one resume, to where the prefix is likely cached.
    Thrift,
}

/// What a route sends its callers to.
#[data(Eq)]
#[serde(rename_all = "snake_case")]
pub enum RouteTarget {
    /// Engines that serve this model, in this version.
    Model {
        /// The model.
        model: ModelName,
        /// The version.
        version: VersionName,
        /// The adapter, if any.
        #[serde(default)]
        adapter: Option<AdapterName>,
    },
    /// Plain services of this name.
    Service {
        /// The service's name, as in `/v1/services/NAME/`.
        service: String,
    },
}

/// Which targets answer which callers, and how. Its name is the model name that callers use.
#[serde_as]
#[data]
pub struct Route {
    /// Where requests go.
    pub to: RouteTarget,
    /// The workspaces that may use the route; empty for all.
    #[serde(default)]
    pub workspaces: BTreeSet<WorkspaceId>,
    /// The priority of its requests.
    pub priority: PriorityName,
    /// How a lost attempt is recovered.
    #[serde(default)]
    pub recovery: Recovery,
    /// Whether requests may run more than once; a caller may only make this stricter.
    #[serde(default = "yes")]
    pub idempotent: bool,
    /// How long a request may wait before its first token.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_patience")]
    pub patience: Duration,
}

fn yes() -> bool {
    true
}

fn default_patience() -> Duration {
    Duration::from_secs(10)
}

/// The limits of one workspace over all entries.
#[data]
#[serde(default)]
pub struct Quota {
    /// Generations in progress at once.
    pub concurrent: u32,
    /// Requests a second.
    pub requests: Rate,
    /// Tokens a second, prompt and output together.
    pub tokens: Rate,
}

impl Default for Quota {
    fn default() -> Self {
        Self {
            concurrent: 64,
            requests: Rate(50.0),
            tokens: Rate(20_000.0),
        }
    }
}

/// A customer of the operators.
#[data]
pub struct Workspace {
    /// The hashes of its valid API keys; two at once allow rotation.
    pub keys: Vec<KeyHash>,
    /// Its limits.
    #[serde(default)]
    pub quota: Quota,
    /// Its share when targets are scarce, relative to other workspaces.
    #[serde(default = "one")]
    pub weight: u32,
}

fn one() -> u32 {
    1
}

/// A class of requests.
#[data(Eq)]
pub struct Priority {
    /// A higher rank goes first, and is shed last.
    pub rank: u8,
}

/// One version of a model, which the planner loads onto targets.
#[serde_as]
#[data]
pub struct ModelVersion {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: VersionName,
    /// Where the weight store keeps its weights.
    pub weights: String,
    /// The adapters that go with it.
    #[serde(default)]
    pub adapters: BTreeSet<AdapterName>,
    /// How many targets should have it loaded.
    pub targets: u32,
    /// How long the previous version is kept after nothing is pinned to it.
    #[serde_as(as = "DurationText")]
    #[serde(default)]
    pub keep: Duration,
}

/// The two kinds of targets.
#[data(Eq)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// A model engine.
    Engine,
    /// A plain service of this name.
    Service {
        /// The service's name.
        service: String,
    },
}

/// One back end and the agent beside it.
#[data]
pub struct Target {
    /// Where its agent listens for entries.
    pub agent: SocketAddr,
    /// The host it runs on.
    pub host: HostId,
    /// The availability zone of that host.
    pub zone: ZoneId,
    /// The region of that zone.
    pub region: RegionId,
    /// What it is.
    pub kind: TargetKind,
    /// Whether it refuses an order with an old fencing number by itself.
    #[serde(default)]
    pub fenced: bool,
    /// The versions it is meant to hold from the start, by model.
    #[serde(default)]
    pub versions: BTreeMap<ModelName, BTreeSet<VersionName>>,
}

/// An operator's word that a target or host takes no new work. Its name is theirs.
#[data(Default, Eq)]
#[serde(default)]
pub struct Drain {
    /// Why, for other operators.
    pub reason: String,
}

/// What an operator may do; each role includes those before it.
#[data(Copy, Default, Eq, PartialOrd, Ord)]
#[serde(rename_all = "lowercase")]
pub enum OperatorRole {
    /// May see everything but secrets.
    #[default]
    Reader,
    /// May propose changes.
    Proposer,
    /// May accept and reject changes.
    Accepter,
}

/// A person or program that operates the system. Its name is the actor of audit entries.
#[data(Eq)]
pub struct Operator {
    /// The hashes of its valid keys; two at once allow rotation.
    pub keys: Vec<KeyHash>,
    /// What it may do.
    pub role: OperatorRole,
    /// Whether it may accept what it proposed itself.
    #[serde(default, rename = "alone")]
    pub self_approval: bool,
}
