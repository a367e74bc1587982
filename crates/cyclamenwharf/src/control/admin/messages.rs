//! The messages of the operators' interface.

use std::collections::BTreeMap;

use cw_macro::data;
use schemars::JsonSchema;
use serde_json::Value;

/// A record.
#[data(JsonSchema)]
pub struct RecordMessage {
    /// The kind: `route`, `workspace`, `priority`, `model_version`, `target`, `drain`, `operator`.
    pub kind: String,
    /// The name, unique within its kind.
    pub name: String,
    /// The version of the body's schema; the newest one where it is left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schema: Option<u32>,
    /// The body.
    #[serde(default)]
    pub body: BTreeMap<String, Value>,
    /// The revision that last touched it, where it is in force.
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

/// Proposes a change.
#[data(JsonSchema)]
pub struct ProposeMessage {
    /// The id of the change, unique for all time; a call with the same id may be repeated.
    pub id: String,
    /// Why, for other operators.
    #[serde(default)]
    pub reason: String,
    /// What is to change.
    pub edits: Vec<EditMessage>,
}

/// Names a change in a path.
#[data(JsonSchema)]
pub struct ChangePath {
    /// The id of the change.
    pub id: String,
}

/// How a proposal is.
#[data(Copy, Eq, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum ProposalStatus {
    /// It waits.
    Pending,
    /// An accepter is at it, or was cut off in the middle: it may be accepted again.
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
    /// Who proposed it.
    pub proposer: String,
    /// When, in seconds since the Unix epoch.
    pub proposed_at: u64,
    /// Why.
    pub reason: String,
    /// How it is.
    pub status: ProposalStatus,
    /// Who accepted or rejected it, if anyone.
    pub decided_by: Option<String>,
    /// What it edits.
    pub edits: Vec<EditMessage>,
}

/// One record before and after a change.
#[data(JsonSchema)]
pub struct DiffMessage {
    /// The record, as `kind/name`.
    pub key: String,
    /// What is in force, if anything.
    pub before: Option<RecordMessage>,
    /// What would be in force, if anything.
    pub after: Option<RecordMessage>,
}

/// A proposal with what it would do.
#[data(JsonSchema)]
pub struct ReviewMessage {
    /// The proposal.
    pub proposal: ProposalMessage,
    /// What it changes.
    pub differences: Vec<DiffMessage>,
    /// Why it would be refused now, if so: conflicts, breakages, schemas that are not readable.
    pub refusal: Option<String>,
}

/// Accepts a change.
#[data(Default, JsonSchema)]
pub struct AcceptMessage {}

/// An accepted change.
#[data(JsonSchema)]
pub struct ChangeMessage {
    /// The id of the change.
    pub id: String,
    /// The revision that it made.
    pub revision: u64,
    /// Who proposed it.
    pub proposer: String,
    /// Who accepted it.
    pub accepter: String,
    /// The records that it touched, as `kind/name`.
    pub touched: Vec<String>,
    /// When it was accepted, in seconds since the Unix epoch.
    pub accepted_at: u64,
}

/// Selects records.
#[data(Default, JsonSchema)]
pub struct RecordsQuery {
    /// The kind; all where it is left out.
    pub kind: Option<String>,
    /// The name; all where it is left out.
    pub name: Option<String>,
}

/// Selects changes.
#[data(Default, JsonSchema)]
pub struct HistoryQuery {
    /// The record that they touched, as `kind/name`; all where it is left out.
    pub key: Option<String>,
}

/// Proposes to bring an earlier body of a record back, as a new revision.
#[data(JsonSchema)]
pub struct RollMessage {
    /// The id of the new change.
    pub id: String,
    /// The record, as `kind/name`.
    pub key: String,
    /// The revision whose body is wanted.
    pub revision: u64,
    /// Why.
    #[serde(default)]
    pub reason: String,
}

/// One entry.
#[data(JsonSchema)]
pub struct ProcessMessage {
    /// Its host.
    pub host: String,
    /// The revision in force there.
    pub revision: u64,
    /// The age of its last word, in milliseconds.
    pub age_ms: u64,
    /// The newest schema version that it reads, by kind.
    pub schemas: BTreeMap<String, u32>,
}

/// One target.
#[data(JsonSchema)]
pub struct TargetMessage {
    /// Its id.
    pub id: String,
    /// Its host.
    pub host: String,
    /// Its availability zone.
    pub zone: String,
    /// `down`, `alive`, `suspect`, `leaving` or `gone`.
    pub liveness: String,
    /// Attempts that it runs.
    pub running: u32,
    /// The configuration revision that its agent has heard of.
    pub revision: u64,
    /// The versions that it holds, by model.
    pub versions: BTreeMap<String, Vec<String>>,
    /// Whether operators drain it.
    pub drained: bool,
}

/// The planner.
#[data(JsonSchema)]
pub struct PlannerMessage {
    /// The host that holds the lease, as far as this entry knows.
    pub holder: Option<String>,
    /// The fencing number of the lease.
    pub fencing: u64,
    /// Orders in progress, where this entry is the holder.
    pub orders: u32,
}

/// How things are, as one entry sees them.
#[data(JsonSchema)]
pub struct StatusMessage {
    /// The host of the entry that answers.
    pub host: String,
    /// The revision in force there.
    pub revision: u64,
    /// The lowest revision in force at any live entry.
    pub everywhere: u64,
    /// Why the key-value service is not followed, if so.
    pub alarm: Option<String>,
    /// The live entries.
    pub processes: Vec<ProcessMessage>,
    /// The targets that have a record.
    pub targets: Vec<TargetMessage>,
    /// The planner.
    pub planner: PlannerMessage,
}
