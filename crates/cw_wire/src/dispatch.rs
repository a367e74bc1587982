//! What an entry asks of an agent.

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

/// One message of a chat.
#[data(Eq)]
#[serde(deny_unknown_fields)]
pub struct Message {
    /// Who speaks: `system`, `user` or `assistant`.
    pub role: String,
    /// What is said.
    pub content: String,
}

/// What a generation starts from.
#[data(Eq)]
#[serde(rename_all = "snake_case")]
pub enum Prompt {
    /// Text, which the engine turns into tokens.
    Text(String),
    /// Tokens.
    Ids(Vec<TokenId>),
    /// A chat, which the engine renders by its model's template.
    Chat(Vec<Message>),
}

/// How tokens are drawn; fixed for a generation's life.
#[data]
pub struct Sampling {
    /// The seed. The entry draws one where the caller gives none.
    pub seed: u64,
    /// The temperature.
    pub temperature: f64,
    /// The probability mass to draw from.
    pub top_p: f64,
    /// Texts that end the output.
    pub stop: Vec<String>,
}

/// Work for a model engine.
#[data]
pub struct Generate {
    /// The model.
    pub model: ModelName,
    /// The version, fixed for the generation's life.
    pub version: VersionName,
    /// The adapter, fixed for the generation's life.
    pub adapter: Option<AdapterName>,
    /// What to start from.
    pub prompt: Prompt,
    /// How to draw tokens.
    pub sampling: Sampling,
    /// The output of earlier attempts, which this one continues.
    pub so_far: Vec<TokenId>,
    /// The most tokens of the whole output, earlier attempts included.
    pub max_tokens: TokenCount,
}

/// The head of a call to a plain service.
#[data(Eq)]
pub struct CallHead {
    /// The HTTP method.
    pub method: String,
    /// The path and query below the service.
    pub path: String,
    /// End-to-end headers.
    pub headers: BTreeMap<String, String>,
}

/// Work for a plain service.
#[data(Eq)]
pub struct Call {
    /// The head.
    pub head: CallHead,
    /// The body.
    pub body: Bytes,
}

/// What an attempt is to do.
#[data]
#[serde(rename_all = "snake_case")]
pub enum Work {
    /// Run a model.
    Generate(Generate),
    /// Call a plain service.
    Call(Call),
}

/// When an attempt was made, on the clock of the agent that it is meant for.
///
/// An entry copies it from the newest report of the target that it has, once for each attempt, and
/// sends the same one with each repeat and cancel. The agent refuses an attempt whose stamp is of
/// another life or older than its tombstones, so an attempt that is late is never run anew.
#[data(Copy, Eq)]
pub struct Stamp {
    /// The life of the agent that the entry believes in.
    pub incarnation: Incarnation,
    /// How old that life was, by [`crate::Load::age`].
    pub age: Duration,
}

/// Asks an agent to run one attempt. A repeat attaches to the attempt that runs already.
///
/// Once an entry has sent a repeat, it no longer heeds the answers to earlier dispatches of the
/// attempt: an agent that restarted between the two takes the late first one for the only one.
#[data]
pub struct Dispatch {
    /// The attempt.
    pub id: AttemptId,
    /// When the attempt was made; the same in each repeat.
    pub stamp: Stamp,
    /// Whether this dispatch may have been sent before.
    pub repeat: bool,
    /// The workspace that asks.
    pub workspace: WorkspaceId,
    /// The weight of that workspace.
    pub weight: u32,
    /// The rank of its priority: a higher one goes first.
    pub rank: u8,
    /// Whether the work may run more than once.
    pub idempotent: bool,
    /// Whether this continues or repeats an earlier attempt.
    pub resumed: bool,
    /// How long the agent may keep the attempt waiting before it starts.
    pub patience: Duration,
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The first index to send.
    pub from: TokenIndex,
    /// The work.
    pub work: Work,
}

/// Asks for the frames of an attempt that exists, from an index on.
#[data(Eq)]
pub struct Attach {
    /// The generation.
    pub generation: GenerationId,
    /// The attempt, where the one who asks knows it; the newest otherwise.
    ///
    /// Entries that took over from each other may have dispatched several, and only one of them
    /// continues what the caller has.
    #[serde(default)]
    pub attempt: Option<AttemptNo>,
    /// The workspace that asks; another's generation is never found.
    pub workspace: WorkspaceId,
    /// The first index to send.
    pub from: TokenIndex,
}

/// Tells an agent that all output below an index is safe with the entry.
#[data(Eq)]
pub struct Ack {
    /// The attempt.
    pub id: AttemptId,
    /// The first index that may still be asked for.
    pub next: TokenIndex,
}

/// Ends an attempt, also one that the agent has not seen yet and now never will run.
#[data(Eq)]
pub struct Cancel {
    /// The attempt.
    pub id: AttemptId,
    /// The stamp of its dispatch.
    pub stamp: Stamp,
}

/// The proof that answers a [`Cancel`].
#[data(Eq)]
pub struct Cancelled {
    /// `No` when nothing of the attempt reached the target, and now nothing will.
    pub ran: Ran,
}
