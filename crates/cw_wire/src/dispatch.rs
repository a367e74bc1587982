//! Requests from an entry to an agent.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use cw_macro::data;
use cw_types::AdapterName;
use cw_types::AttemptId;
use cw_types::AttemptNo;
use cw_types::GenerationId;
use cw_types::Incarnation;
use cw_types::ModelName;
use cw_types::Ran;
use cw_types::TokenCount;
use cw_types::TokenId;
use cw_types::TokenIndex;
use cw_types::VersionName;
use cw_types::WorkspaceId;

use crate::Fingerprint;

/// A message of a chat.
#[data(Eq)]
#[serde(deny_unknown_fields)]
pub struct Message {
    /// The role of the author: `system`, `user` or `assistant`.
    pub role: String,
    /// The text of the message.
    pub content: String,
}

/// The prompt of a generation.
#[data(Eq)]
#[serde(rename_all = "snake_case")]
pub enum Prompt {
    /// Text, which the engine tokenizes.
    Text(String),
    /// Token ids.
    Ids(Vec<TokenId>),
    /// Chat messages, which the engine renders with the chat template of the model.
    Chat(Vec<Message>),
}

/// The sampling parameters, fixed for the lifetime of a generation.
#[data]
pub struct Sampling {
    /// The random seed. The entry chooses one if the caller gives none.
    pub seed: u64,
    /// The sampling temperature.
    pub temperature: f64,
    /// The cumulative probability of the tokens to sample from.
    pub top_p: f64,
    /// The stop sequences, each of which ends the output.
    pub stop: Vec<String>,
}

/// Work for a model engine.
#[data]
pub struct Generate {
    /// The model that the engine runs.
    pub model: ModelName,
    /// The version, fixed for the lifetime of the generation.
    pub version: VersionName,
    /// The adapter, fixed for the lifetime of the generation.
    pub adapter: Option<AdapterName>,
    /// The input to the model, without the output of earlier attempts.
    pub prompt: Prompt,
    /// The sampling parameters.
    pub sampling: Sampling,
    /// The output of earlier attempts, which this attempt continues.
    pub so_far: Vec<TokenId>,
    /// The maximum number of output tokens, including those of earlier attempts.
    pub max_tokens: TokenCount,
}

/// The method, path and headers of a call to a plain service.
#[data(Eq)]
pub struct CallHead {
    /// The HTTP method.
    pub method: String,
    /// The path and query, relative to the root of the service.
    pub path: String,
    /// The end-to-end headers.
    pub headers: BTreeMap<String, String>,
}

/// Work for a plain service.
#[data(Eq)]
pub struct Call {
    /// The method, path and headers.
    pub head: CallHead,
    /// The complete body of the request to the service.
    pub body: Bytes,
}

/// The work of an attempt.
#[data]
#[serde(rename_all = "snake_case")]
pub enum Work {
    /// Run a model.
    Generate(Generate),
    /// Call a plain service.
    Call(Call),
}

/// The creation time of an attempt, on the clock of the agent that receives it.
///
/// An entry copies the stamp from its newest report of the target, once for each attempt, and sends
/// the same stamp with each repeat and cancel. The agent rejects an attempt whose stamp is from
/// another incarnation or is older than the retention of its tombstones, so an attempt that arrives
/// late is never executed again.
#[data(Copy, Eq)]
pub struct Stamp {
    /// The incarnation of the agent, as known to the entry.
    pub incarnation: Incarnation,
    /// The time since the start of that incarnation, taken from [`crate::Load::age`].
    pub age: Duration,
}

/// A request to an agent to run an attempt. A repeat attaches to the attempt if it already runs.
///
/// Once an entry has sent a repeat, it ignores the responses to earlier dispatches of the attempt.
/// If the agent restarts between the two, it no longer knows the attempt, and it answers a first
/// dispatch that arrives late as if that were the only one.
#[data]
pub struct Dispatch {
    /// The id of the attempt.
    pub id: AttemptId,
    /// The creation time of the attempt, which is the same in each repeat.
    pub stamp: Stamp,
    /// Whether this dispatch may already have been sent.
    pub repeat: bool,
    /// The workspace of the caller.
    pub workspace: WorkspaceId,
    /// The weight of the workspace.
    pub weight: u32,
    /// The rank of the priority of the request; a higher rank is served first.
    pub rank: u8,
    /// Whether the work may be executed more than once.
    pub idempotent: bool,
    /// Whether the attempt continues or repeats an earlier one.
    pub resumed: bool,
    /// The maximum time that the attempt may wait at the agent before it starts.
    pub patience: Duration,
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The index of the first token to send.
    pub from: TokenIndex,
    /// What the target executes: a model generation or a call to a plain service.
    pub work: Work,
}

/// A request for the frames of an existing attempt, starting at an index.
#[data(Eq)]
pub struct Attach {
    /// The generation whose attempt is attached to.
    pub generation: GenerationId,
    /// The attempt, if the sender knows it; otherwise the newest one is used.
    ///
    /// Entries that took over the generation from each other may have dispatched several attempts,
    /// and only one of them continues the output that the caller has received.
    #[serde(default)]
    pub attempt: Option<AttemptNo>,
    /// The workspace of the caller; the generation is found only if it belongs to this workspace.
    pub workspace: WorkspaceId,
    /// The index of the first token to send.
    pub from: TokenIndex,
}

/// Acknowledges that the entry has received all output below an index.
#[data(Eq)]
pub struct Ack {
    /// The id of the attempt.
    pub id: AttemptId,
    /// The lowest index that may still be requested.
    pub next: TokenIndex,
}

/// Cancels an attempt. If the agent has not received the attempt yet, it will never run it.
#[data(Eq)]
pub struct Cancel {
    /// The id of the attempt.
    pub id: AttemptId,
    /// The stamp of the dispatch.
    pub stamp: Stamp,
}

/// The response to a [`Cancel`], which tells whether the attempt was executed.
#[data(Eq)]
pub struct Cancelled {
    /// The execution status: `No` if nothing of the attempt has reached the target or ever will.
    pub ran: Ran,
}
