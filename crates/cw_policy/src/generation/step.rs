//! What to do next for a generation.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use cw_macro::data;
use cw_types::AttemptNo;
use cw_types::ErrorKind;
use cw_types::Ran;
use cw_types::TargetId;
use cw_types::TokenId;
use cw_types::TokenIndex;
use cw_wire::FinishReason;
use cw_wire::Token;

use super::LinkId;

/// Why something that an agent sent was not passed on.
#[data(Copy, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// It came over a link that is closed.
    ClosedLink,
    /// Another attempt writes the output.
    OtherAttempt,
    /// The caller has it already.
    Repeated,
    /// Something before it is missing.
    Gap,
}

impl fmt::Display for DropReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DropReason::ClosedLink => "closed_link",
            DropReason::OtherAttempt => "other_attempt",
            DropReason::Repeated => "repeated",
            DropReason::Gap => "gap",
        })
    }
}

/// What to do next for a generation.
#[data]
pub enum Step {
    /// Choose a target and answer with `Chosen` or `NoTarget`.
    Choose {
        /// The targets not to take.
        exclude: BTreeSet<TargetId>,
        /// Whether this continues or repeats an earlier attempt.
        resumed: bool,
        /// Whether an engine crashed while it ran the request.
        suspect: bool,
        /// Whether another attempt that replaces the same lost one is on its way.
        hedge: bool,
    },
    /// Let the request wait in the queue, and answer with `Turn` or `Unqueued`.
    Queue,
    /// Output has gone on past the place of a crash: the request did not cause it.
    Cleared,
    /// Find out whether the request is what crashed its targets, and answer with `Judged`.
    Judge,
    /// Dispatch an attempt and feed its frames.
    Dispatch {
        /// The link to open.
        link: LinkId,
        /// The attempt.
        attempt: AttemptNo,
        /// Where.
        target: TargetId,
        /// The output so far, which the attempt continues.
        so_far: Vec<TokenId>,
        /// Whether this continues or repeats an earlier attempt.
        resumed: bool,
    },
    /// Reach an attempt again over a new connection, and feed its frames.
    Attach {
        /// The link to open.
        link: LinkId,
        /// The attempt.
        attempt: AttemptNo,
        /// Where it runs.
        target: TargetId,
        /// The output that the attempt was dispatched with, when the dispatch may be repeated.
        repeat: Option<Vec<TokenId>>,
        /// The first index to ask for.
        from: TokenIndex,
    },
    /// Close a link.
    Close {
        /// The link.
        link: LinkId,
    },
    /// Cancel an attempt, without waiting for the answer.
    Cancel {
        /// The attempt.
        attempt: AttemptNo,
        /// Where it runs.
        target: TargetId,
    },
    /// Cancel an attempt and answer with `Proof`.
    Prove {
        /// The attempt.
        attempt: AttemptNo,
        /// Where it was dispatched to.
        target: TargetId,
    },
    /// Tell the agent that the output below `next` is not needed any more.
    Ack {
        /// The attempt.
        attempt: AttemptNo,
        /// Where it runs.
        target: TargetId,
        /// The first index that may still be asked for.
        next: TokenIndex,
    },
    /// Pass tokens to the caller.
    Deliver {
        /// The index of the first.
        first: TokenIndex,
        /// The attempt that made them.
        attempt: AttemptNo,
        /// The target that runs the attempt.
        target: TargetId,
        /// The tokens.
        tokens: Vec<Token>,
    },
    /// Pass the whole answer of a plain service to the caller; the generation has ended.
    Answer {
        /// The HTTP status.
        status: u16,
        /// End-to-end headers.
        headers: BTreeMap<String, String>,
        /// The body.
        body: Bytes,
    },
    /// The output is whole; the generation has ended.
    Finish(FinishReason),
    /// The generation has ended without its whole answer.
    Fail {
        /// Why.
        kind: ErrorKind,
        /// Whether it was run.
        ran: Ran,
        /// When it is worth calling again.
        retry: Duration,
    },
    /// The generation has ended without a caller.
    Abandon,
    /// An engine crashed under a living agent while it ran this request.
    Crashed {
        /// The target.
        target: TargetId,
    },
    /// An attempt was lost for another reason.
    Lost {
        /// The target.
        target: TargetId,
    },
    /// Output goes on after a loss.
    Resumed {
        /// The time since the last sign of life before the loss.
        latency: Duration,
    },
    /// Something was not passed on.
    Dropped(DropReason),
}
