//! The messages of the admin API.

use std::collections::BTreeMap;

use cw_macro::data;
use schemars::JsonSchema;
use serde_json::Value;

/// A configuration record.
#[data(JsonSchema)]
pub struct RecordMessage {
    /// The kind: `route`, `workspace`, `priority`, `model_version`, `target`, `drain`, `operator`.
    pub kind: String,
    /// The name, unique within its kind.
    pub name: String,
    /// The schema version of the body; the newest one if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schema: Option<u32>,
    /// The fields of the record.
    #[serde(default)]
    pub body: BTreeMap<String, Value>,
    /// The revision that last changed the record, if it is in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
}

/// One edit of a change.
#[data(JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum EditMessage {
    /// Writes a record.
    Put(RecordMessage),
    /// Removes the record with this key, written `kind/name`.
    Remove(String),
}

/// A request to propose a change.
#[data(JsonSchema)]
pub struct ProposeMessage {
    /// The id of the change, which must never be used for another one. A call with the same id and
    /// edits may be repeated.
    pub id: String,
    /// The reason for the change, shown to other operators.
    #[serde(default)]
    pub reason: String,
    /// The edits of the change.
    pub edits: Vec<EditMessage>,
}

/// A path that contains a change.
#[data(JsonSchema)]
pub struct ChangePath {
    /// The id of the change.
    pub id: String,
}

/// The status of a proposal.
#[data(Copy, Eq, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum ProposalStatus {
    /// It is not decided yet.
    Pending,
    /// Its acceptance is in progress or was interrupted; the call that accepts it may be repeated.
    Accepting,
    /// It was accepted.
    Accepted,
    /// It was rejected.
    Rejected,
}

/// A proposal.
#[data(JsonSchema)]
pub struct ProposalMessage {
    /// The id of the change.
    pub id: String,
    /// The operator who proposed it.
    pub proposer: String,
    /// When it was proposed, in seconds since the Unix epoch.
    pub proposed_at: u64,
    /// The reason for the change.
    pub reason: String,
    /// Whether the proposal is undecided, being accepted, accepted or rejected.
    pub status: ProposalStatus,
    /// The operator who accepted or rejected it, or who is accepting it.
    pub decided_by: Option<String>,
    /// The edits of the change.
    pub edits: Vec<EditMessage>,
}

/// One record before and after a change.
#[data(JsonSchema)]
pub struct DiffMessage {
    /// The record, as `kind/name`.
    pub key: String,
    /// The record in force, if it exists.
    pub before: Option<RecordMessage>,
    /// The record after the change, if it would exist.
    pub after: Option<RecordMessage>,
}

/// A proposal and its effect.
#[data(JsonSchema)]
pub struct ReviewMessage {
    /// The proposal under review.
    pub proposal: ProposalMessage,
    /// The records that it would change.
    pub differences: Vec<DiffMessage>,
    /// The reason why its acceptance would be refused now, if any: a conflict, a breakage, a schema
    /// that some process cannot read, or the role of the caller.
    pub refusal: Option<String>,
}

/// An accepted change.
#[data(JsonSchema)]
pub struct ChangeMessage {
    /// The id of the change.
    pub id: String,
    /// The revision that it created.
    pub revision: u64,
    /// The operator who proposed it.
    pub proposer: String,
    /// The operator who accepted it.
    pub accepter: String,
    /// The records that it changed, as `kind/name`.
    pub touched: Vec<String>,
    /// When it was accepted, in seconds since the Unix epoch.
    pub accepted_at: u64,
}

/// A filter of records.
#[data(Default, JsonSchema)]
pub struct RecordsQuery {
    /// The kind; all kinds if absent.
    pub kind: Option<String>,
    /// The name; all names if absent.
    pub name: Option<String>,
}

/// A filter of changes.
#[data(Default, JsonSchema)]
pub struct HistoryQuery {
    /// The record that they changed, as `kind/name`; all changes if absent.
    pub key: Option<String>,
}

/// A request to propose the restoration of an earlier body of a record, as a new revision.
#[data(JsonSchema)]
pub struct RollMessage {
    /// The id of the new change.
    pub id: String,
    /// The record, as `kind/name`.
    pub key: String,
    /// The revision whose body is to be restored.
    pub revision: u64,
    /// The reason for the change.
    #[serde(default)]
    pub reason: String,
}

/// The state of an entry.
#[data(JsonSchema)]
pub struct ProcessMessage {
    /// The id of the host that the entry runs on.
    pub host: String,
    /// The configuration revision in force at the entry.
    pub revision: u64,
    /// The age of its last announcement, in milliseconds.
    pub age_ms: u64,
    /// The newest schema version that it can read, by record kind.
    pub schemas: BTreeMap<String, u32>,
}

/// The state of a target.
#[data(JsonSchema)]
pub struct TargetMessage {
    /// The id of the target, as its agent reports it.
    pub id: String,
    /// The id of the host that the target runs on.
    pub host: String,
    /// The availability zone.
    pub zone: String,
    /// `down`, `alive`, `suspect`, `leaving` or `gone`.
    pub liveness: String,
    /// The number of attempts that are running.
    pub running: u32,
    /// The newest configuration revision that its agent knows of.
    pub revision: u64,
    /// The loaded versions, by model.
    pub versions: BTreeMap<String, Vec<String>>,
    /// Whether a record drains the target or its host.
    pub drained: bool,
}

/// The status of the planner.
#[data(JsonSchema)]
pub struct PlannerMessage {
    /// The host that holds the lease, as far as this entry knows.
    pub holder: Option<String>,
    /// The fencing number of the lease.
    pub fencing: u64,
    /// The number of orders in progress if this entry is the holder, otherwise 0.
    pub orders: u32,
}

/// The status of the system, as seen by one entry.
#[data(JsonSchema)]
pub struct StatusMessage {
    /// The host of the entry that sent the response.
    pub host: String,
    /// The configuration revision in force at the entry.
    pub revision: u64,
    /// The lowest revision in force at any live entry.
    pub everywhere: u64,
    /// The reason why the snapshot in the key-value service is not applied, if so.
    pub alarm: Option<String>,
    /// The live entries.
    pub processes: Vec<ProcessMessage>,
    /// The targets that have a record.
    pub targets: Vec<TargetMessage>,
    /// The status of the planner.
    pub planner: PlannerMessage,
}
