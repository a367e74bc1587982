//! What is fixed for a generation's life.

use std::time::Duration;

use cw_macro::data;
use cw_types::AttemptNo;
use cw_types::TargetId;
use cw_types::TokenCount;
use cw_types::TokenId;
use cw_types::TokenIndex;
use cw_types::units::DurationText;
use serde_with::serde_as;

/// What an attempt does.
#[data(Copy, Default, Eq)]
pub enum WorkKind {
    /// It runs a model: its output can be continued by another attempt.
    #[default]
    Generate,
    /// It calls a plain service: its answer is held back until it is whole.
    Call,
}

/// What is fixed for a generation's life.
#[serde_as]
#[data(Default, Eq)]
pub struct Plan {
    /// What an attempt does.
    pub kind: WorkKind,
    /// Whether the work may run more than once.
    pub idempotent: bool,
    /// Whether a claim is written before each dispatch.
    #[serde(default)]
    pub claimed: bool,
    /// How long the request may wait before its first token.
    #[serde_as(as = "DurationText")]
    pub patience: Duration,
    /// The most tokens of the whole output.
    pub max_tokens: Option<TokenCount>,
    /// The output that the caller sent back.
    pub prefix: Vec<TokenId>,
    /// The first index that the caller does not have.
    pub from: TokenIndex,
    /// The target that runs the generation already, when the caller comes back to it.
    pub running: Option<TargetId>,
    /// The number of the attempt that runs already.
    pub first: AttemptNo,
    /// The number of the first attempt that this machine dispatches.
    ///
    /// Entries that take over from each other must not give two attempts the same number: a number
    /// stands for one output to be continued.
    #[serde(default = "first_attempt")]
    pub next: AttemptNo,
}

fn first_attempt() -> AttemptNo {
    AttemptNo(1)
}

impl Plan {
    /// Returns the plan of a new request to an engine.
    pub fn generate(patience: Duration) -> Self {
        Self {
            idempotent: true,
            patience,
            next: AttemptNo(1),
            ..Self::default()
        }
    }

    /// Returns the plan of a new call to a plain service.
    pub fn call(patience: Duration) -> Self {
        Self {
            kind: WorkKind::Call,
            ..Self::generate(patience)
        }
    }

    /// Sets whether the work may run more than once.
    #[must_use]
    pub fn with_idempotent(mut self, idempotent: bool) -> Self {
        self.idempotent = idempotent;
        self
    }
}
