//! The frames of an attempt's answer.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use cw_macro::data;
use cw_types::Ran;
use cw_types::TokenCount;
use cw_types::TokenId;
use cw_types::TokenIndex;

use crate::Load;

/// One token with its text.
#[data(Eq)]
pub struct Token {
    /// The token.
    pub id: TokenId,
    /// The text it adds.
    pub text: String,
}

/// How an output ended.
#[data(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model or a stop text ended it.
    Stop,
    /// The most tokens were reached.
    Length,
}

/// Why an attempt was not run.
#[data(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// The target is full.
    Busy,
    /// The target is leaving.
    Leaving,
    /// The target's engine is down.
    TargetDown,
    /// The target does not hold the version or adapter.
    WrongVersion,
    /// The attempt was cancelled before it started.
    Cancelled,
    /// The attempt waited longer than its patience.
    Expired,
    /// The generation or attempt is not known here.
    Unknown,
}

/// Why an attempt that ran failed.
#[data(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Failure {
    /// The engine died under a living agent.
    TargetLost,
    /// The engine has produced nothing for too long.
    TargetStalled,
    /// The engine answered with an error.
    TargetError,
    /// The attempt was cancelled.
    Cancelled,
    /// The output asked for is no longer kept.
    Trimmed,
}

/// One frame. Within a stream, indices rise without gaps.
#[data]
#[serde(rename_all = "snake_case")]
pub enum Frame {
    /// The attempt is admitted: the target has it, or will have it at once.
    Accepted {
        /// Prompt tokens that the target had cached, where known.
        cached: TokenCount,
        /// The target's load.
        load: Load,
    },
    /// Tokens of the output.
    Tokens {
        /// The index of the first.
        first: TokenIndex,
        /// The tokens.
        tokens: Vec<Token>,
    },
    /// The head of a plain service's answer.
    Head {
        /// The HTTP status.
        status: u16,
        /// End-to-end headers.
        headers: BTreeMap<String, String>,
    },
    /// A part of the body of a plain service's answer.
    Body {
        /// The offset of its first byte.
        offset: u64,
        /// The bytes.
        bytes: Bytes,
    },
    /// The agent and the path to it live, whatever the engine does.
    Heartbeat {
        /// How long the engine has produced nothing for this attempt.
        quiet: Duration,
    },
    /// The output is whole.
    Done {
        /// How it ended.
        finish: FinishReason,
        /// The index after the last.
        next: TokenIndex,
    },
    /// The attempt failed after it was admitted.
    Failed {
        /// Why.
        failure: Failure,
        /// Whether the work was run.
        ran: Ran,
        /// The index after the last that this attempt produced.
        next: TokenIndex,
    },
    /// The attempt was not run and will not be: proven.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When it is worth asking again.
        retry: Duration,
        /// The target's load.
        load: Load,
    },
}
