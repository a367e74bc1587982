//! Configuration records, which operators propose and accept.

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
use crate::DurationText;
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

/// The kind of a record.
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

/// The error for text that is not a record kind or a record key.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("expected KIND/NAME with a known kind, found {text:?}"))]
pub struct RecordKeyError {
    /// The rejected text.
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

/// The key of a record: its kind and name, written as `kind/name`.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct RecordKey {
    /// The kind, which is the part of the written key before the slash.
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

/// A record in the form that operators write and the snapshot stores.
///
/// The body is kept as JSON, so a process preserves the fields that it does not know.
#[data]
pub struct Record {
    /// The kind, which decides the schema of the body.
    pub kind: RecordKind,
    /// The name, unique within its kind.
    pub name: String,
    /// The version of the body's schema.
    pub schema: SchemaVersion,
    /// The body, according to the kind: a [`Route`], [`Workspace`], [`Priority`],
    /// [`ModelVersion`], [`Target`], [`Drain`] or [`Operator`].
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

/// How a route weighs fast recovery of a lost attempt against additional work for the targets.
#[data(Copy, Default, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Recovery {
    /// A short timeout and hedged resumes: several targets resume the generation, and the first to
    /// send a new token continues it.
    #[default]
    Latency,
    /// A longer timeout and a single resume, on a target that probably has the prefix cached.
    Thrift,
}

/// The destination of the requests of a route.
#[data(Eq)]
#[serde(rename_all = "snake_case")]
pub enum RouteTarget {
    /// The engines that serve a model version.
    Model {
        /// The model that the route leads to.
        model: ModelName,
        /// The version that new generations of the route are pinned to.
        version: VersionName,
        /// The adapter, if any.
        #[serde(default)]
        adapter: Option<AdapterName>,
    },
    /// The plain services of one name.
    Service {
        /// The name of the service, as in the path `/v1/services/NAME/`.
        service: String,
    },
}

/// A route, which assigns targets to callers. Its name is the model name that callers use.
#[serde_as]
#[data]
pub struct Route {
    /// The destination of the requests.
    pub to: RouteTarget,
    /// The workspaces that may use the route; an empty set allows all.
    #[serde(default)]
    pub workspaces: BTreeSet<WorkspaceId>,
    /// The priority of its requests.
    pub priority: PriorityName,
    /// How a lost attempt is recovered.
    #[serde(default)]
    pub recovery: Recovery,
    /// Whether requests may be executed more than once. A caller may forbid it for a request, but
    /// not allow it.
    #[serde(default = "default_idempotent")]
    pub idempotent: bool,
    /// The maximum wait of a request for its first token.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_patience")]
    pub patience: Duration,
}

fn default_idempotent() -> bool {
    true
}

fn default_patience() -> Duration {
    Duration::from_secs(10)
}

/// The limits of one workspace, summed over all entries.
#[data]
#[serde(default)]
pub struct Quota {
    /// The maximum number of concurrent generations.
    pub concurrent: u32,
    /// The maximum request rate.
    pub requests: Rate,
    /// The maximum token rate, prompt and output tokens together.
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

/// A customer of the operators, whose callers authenticate with its API keys.
#[data]
pub struct Workspace {
    /// The hashes of the valid API keys. Two valid keys at a time allow rotation.
    pub keys: Vec<KeyHash>,
    /// The limits on concurrent generations, requests and tokens; the default quota if absent.
    #[serde(default)]
    pub quota: Quota,
    /// The share of the targets under contention, relative to the weights of other workspaces.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}

/// A priority class of requests.
#[data(Eq)]
pub struct Priority {
    /// The rank: requests of a higher rank are served first and shed last.
    pub rank: u8,
}

/// A model version, which the planner loads onto targets.
#[serde_as]
#[data]
pub struct ModelVersion {
    /// The model that this is a version of.
    pub model: ModelName,
    /// The name of the version within its model.
    pub version: VersionName,
    /// The location of the weights in the weight store.
    pub weights: String,
    /// The adapters of this version.
    #[serde(default)]
    pub adapters: BTreeSet<AdapterName>,
    /// The number of targets that should have the version loaded.
    pub targets: u32,
    /// How long the previous version stays loaded after the last generation pinned to it ends.
    #[serde_as(as = "DurationText")]
    #[serde(default)]
    pub keep: Duration,
}

/// The kind of a target.
#[data(Eq)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service {
        /// The name of the service.
        service: String,
    },
}

/// A back end, together with the agent that runs next to it.
#[data]
pub struct Target {
    /// The address at which the agent accepts connections from entries.
    pub agent: SocketAddr,
    /// The host that the target runs on.
    pub host: HostId,
    /// The availability zone of that host.
    pub zone: ZoneId,
    /// The region of that zone.
    pub region: RegionId,
    /// Whether it is an engine or a plain service.
    pub kind: TargetKind,
    /// Whether the target itself rejects orders with an outdated fencing number.
    #[serde(default)]
    pub fenced: bool,
    /// The versions that the target is expected to have loaded from the start, by model.
    #[serde(default)]
    pub versions: BTreeMap<ModelName, BTreeSet<VersionName>>,
}

/// A drain: the target or host of the same name receives no new work.
#[data(Default, Eq)]
#[serde(default)]
pub struct Drain {
    /// The reason, as information for other operators.
    pub reason: String,
}

/// The permissions of an operator; each role includes the ones before it.
#[data(Copy, Default, Eq, PartialOrd, Ord)]
#[serde(rename_all = "lowercase")]
pub enum OperatorRole {
    /// May read everything except secrets.
    #[default]
    Reader,
    /// May propose changes.
    Proposer,
    /// May accept and reject changes.
    Accepter,
}

/// A person or program that operates the system. The name of the record is the actor in audit
/// entries.
#[data(Eq)]
pub struct Operator {
    /// The hashes of the valid keys. Two valid keys at a time allow rotation.
    pub keys: Vec<KeyHash>,
    /// The role, which decides whether the operator may only read or also propose, accept and
    /// reject changes.
    pub role: OperatorRole,
    /// Whether the operator may accept its own proposals.
    #[serde(default, rename = "alone")]
    pub self_approval: bool,
}
