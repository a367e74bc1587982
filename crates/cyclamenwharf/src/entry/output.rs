//! What a generation's driver hands to the answer that its caller reads.

use std::collections::BTreeMap;

use bytes::Bytes;
use cw_types::AttemptNo;
use cw_types::TargetId;
use cw_types::TokenIndex;
use cw_wire::FinishReason;
use cw_wire::Token;

use super::refusal::Refusal;

/// Tokens for the caller.
#[derive(Clone, Debug)]
pub(crate) struct Piece {
    /// The index of the first.
    pub(crate) first: TokenIndex,
    /// The attempt that made them.
    pub(crate) attempt: AttemptNo,
    /// The target that runs the attempt.
    pub(crate) target: TargetId,
    /// The tokens.
    pub(crate) tokens: Vec<Token>,
}

/// The whole answer of a plain service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceAnswer {
    /// The HTTP status.
    pub(crate) status: u16,
    /// End-to-end headers.
    pub(crate) headers: BTreeMap<String, String>,
    /// The body.
    pub(crate) body: Bytes,
}

/// What a generation's driver hands to the answer that its caller reads.
#[derive(Clone, Debug)]
pub(crate) enum Output {
    /// Tokens.
    Piece(Piece),
    /// The output is whole.
    Finish(FinishReason),
    /// The whole answer of a plain service.
    Answer(ServiceAnswer),
    /// There will be no whole answer.
    Refusal(Refusal),
}
