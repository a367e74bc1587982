//! The immutable parameters of a generation.

use std::time::Duration;

use cw_macro::data;
use cw_types::AttemptNo;
use cw_types::DurationText;
use cw_types::TargetId;
use cw_types::TokenCount;
use cw_types::TokenId;
use cw_types::TokenIndex;
use serde_with::serde_as;

/// The kind of work that an attempt runs.
#[data(Copy, Default, Eq)]
pub enum WorkKind {
    /// Running a model; another attempt can continue its output.
    #[default]
    Generate,
    /// Calling a plain service; its response is buffered until it is complete.
    Call,
}

/// The immutable parameters of a generation.
#[serde_as]
#[data(Default, Eq)]
pub struct GenerationPlan {
    /// The kind of work.
    pub kind: WorkKind,
    /// Whether the work may run more than once.
    pub idempotent: bool,
    /// Whether a claim is written before each dispatch.
    #[serde(default)]
    pub claimed: bool,
    /// The longest time that the request may wait before its first token.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "patience")]
    pub start_timeout: Duration,
    /// The maximum number of tokens of the whole output.
    pub max_tokens: Option<TokenCount>,
    /// The output that a reconnecting caller has sent back.
    pub prefix: Vec<TokenId>,
    /// The first token index that the caller has not received.
    #[serde(rename = "from")]
    pub resume_index: TokenIndex,
    /// The target that already runs the generation, if the caller reconnects to it.
    #[serde(rename = "running")]
    pub running_target: Option<TargetId>,
    /// The number of the attempt that already runs.
    #[serde(rename = "first")]
    pub running_attempt: AttemptNo,
    /// The number of the first attempt that this machine dispatches.
    ///
    /// Entries that take over a generation from each other must not give two attempts the same
    /// number, since a number identifies the one output that the attempt continues.
    #[serde(rename = "next", default = "first_attempt")]
    pub next_attempt: AttemptNo,
}

fn first_attempt() -> AttemptNo {
    AttemptNo(1)
}

impl GenerationPlan {
    /// Returns the plan of a new request to an engine.
    pub fn generate(start_timeout: Duration) -> Self {
        Self {
            idempotent: true,
            start_timeout,
            next_attempt: AttemptNo(1),
            ..Self::default()
        }
    }

    /// Returns the plan of a new call to a plain service.
    pub fn call(start_timeout: Duration) -> Self {
        Self {
            kind: WorkKind::Call,
            ..Self::generate(start_timeout)
        }
    }

    /// Sets whether the work may run more than once.
    #[must_use]
    pub fn with_idempotent(mut self, idempotent: bool) -> Self {
        self.idempotent = idempotent;
        self
    }
}
