//! The frames in the response of an attempt.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use cw_macro::data;
use cw_types::Ran;
use cw_types::TokenCount;
use cw_types::TokenId;
use cw_types::TokenIndex;

use crate::Load;

/// A token with its text.
#[data(Eq)]
pub struct Token {
    /// The token id.
    pub id: TokenId,
    /// The text that the token adds to the output.
    pub text: String,
}

/// Why an output ended.
#[data(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model or a stop sequence ended the output.
    Stop,
    /// The output reached the maximum number of tokens.
    Length,
}

/// Why an attempt was not run.
#[data(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// The target has no capacity left.
    Busy,
    /// The target accepts no new work.
    Leaving,
    /// The engine of the target is down.
    TargetDown,
    /// The target does not have the version or adapter loaded.
    WrongVersion,
    /// The attempt was cancelled before it started.
    Cancelled,
    /// The attempt waited longer than [`crate::Dispatch::patience`].
    Expired,
    /// The agent does not know the generation or attempt, or the dispatch is too old to accept.
    Unknown,
}

/// Why a running attempt failed.
#[data(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Failure {
    /// The engine crashed while its agent kept running.
    TargetLost,
    /// The engine produced no output for too long.
    TargetStalled,
    /// The engine answered with an error.
    TargetError,
    /// The attempt was cancelled.
    Cancelled,
    /// The requested output is no longer stored.
    Trimmed,
}

/// A frame of the response stream. Within a stream, the token indices increase without gaps.
#[data]
#[serde(rename_all = "snake_case")]
pub enum Frame {
    /// The attempt is admitted: the target has received it or receives it immediately.
    Accepted {
        /// The number of prompt tokens that the target had cached, which is 0 for a plain service.
        cached: TokenCount,
        /// The load of the target.
        load: Load,
    },
    /// Tokens of the output.
    Tokens {
        /// The index of the first token.
        first: TokenIndex,
        /// The tokens at consecutive indexes, starting at `first`.
        tokens: Vec<Token>,
    },
    /// The status and headers in the response of a plain service.
    Head {
        /// The HTTP status.
        status: u16,
        /// The end-to-end headers.
        headers: BTreeMap<String, String>,
    },
    /// A part of the body in the response of a plain service.
    Body {
        /// The offset of the first byte within the body.
        offset: u64,
        /// The bytes of the body, starting at `offset`.
        bytes: Bytes,
    },
    /// Shows that the agent and the connection to it are alive, whatever the state of the engine.
    Heartbeat {
        /// The time since the engine last produced output for this attempt.
        quiet: Duration,
    },
    /// The output is complete.
    Done {
        /// Why the output ended.
        finish: FinishReason,
        /// The index after the last token.
        next: TokenIndex,
    },
    /// The attempt failed after it was admitted.
    Failed {
        /// Why the attempt failed.
        failure: Failure,
        /// Whether the work was executed.
        ran: Ran,
        /// The index after the last token that this attempt produced.
        next: TokenIndex,
    },
    /// The attempt provably was not executed and never will be.
    NotRun {
        /// Why the attempt was not run.
        reason: NotRunReason,
        /// The time to wait before the next try.
        retry: Duration,
        /// The load of the target.
        load: Load,
    },
}
