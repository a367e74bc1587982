//! The output that a generation's driver sends to the code that writes the response.

use std::collections::BTreeMap;

use bytes::Bytes;
use cw_types::AttemptNo;
use cw_types::TargetId;
use cw_types::TokenIndex;
use cw_wire::FinishReason;
use cw_wire::Token;

use super::api_error::ApiError;

/// Consecutive tokens from one attempt.
#[derive(Clone, Debug)]
pub(crate) struct TokenChunk {
    /// The index of the first token.
    pub(crate) first: TokenIndex,
    /// The attempt that produced the tokens.
    pub(crate) attempt: AttemptNo,
    /// The target that runs the attempt.
    pub(crate) target: TargetId,
    /// The tokens at consecutive indexes, starting at `first`.
    pub(crate) tokens: Vec<Token>,
}

/// The full answer of a plain service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceAnswer {
    /// The HTTP status.
    pub(crate) status: u16,
    /// The end-to-end headers.
    pub(crate) headers: BTreeMap<String, String>,
    /// The complete body, joined from the parts that the target sent.
    pub(crate) body: Bytes,
}

/// One output of a generation's driver.
#[derive(Clone, Debug)]
pub(crate) enum Output {
    /// More tokens.
    Tokens(TokenChunk),
    /// The output is complete.
    Finished(FinishReason),
    /// The full answer of a plain service.
    Answer(ServiceAnswer),
    /// The request failed, and no more output follows.
    Error(ApiError),
}
