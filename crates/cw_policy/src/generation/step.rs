//! The output steps of the generation state machine.

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

/// Why data from an agent is not passed on to the caller.
#[data(Copy, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// It arrived over a closed link.
    ClosedLink,
    /// Another attempt writes the output.
    OtherAttempt,
    /// It has been received before.
    Repeated,
    /// The data before it is missing.
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

/// An output step of the generation state machine, which the driver carries out.
#[data]
pub enum Step {
    /// Select a target and reply with [`crate::Event::Chosen`] or [`crate::Event::NoTarget`].
    Choose {
        /// The targets that must not be selected.
        exclude: BTreeSet<TargetId>,
        /// Whether the attempt continues or repeats an earlier one.
        resumed: bool,
        /// Whether an engine crashed while it ran the request.
        suspect: bool,
        /// Whether another attempt already replaces the same lost one.
        hedge: bool,
    },
    /// Queue the request and reply with [`crate::Event::Dequeued`] or
    /// [`crate::Event::QueueRejected`].
    #[serde(rename = "Queue")]
    Enqueue,
    /// Clear the request of suspicion: its output has advanced past the index of a crash, so the
    /// request did not cause it.
    #[serde(rename = "Cleared")]
    ClearSuspicion,
    /// Check whether the request caused the crashes of its targets and reply with
    /// [`crate::Event::CrashesChecked`].
    #[serde(rename = "Judge")]
    CheckCrashes,
    /// Dispatch an attempt and feed its frames to the machine.
    Dispatch {
        /// The link to open.
        link: LinkId,
        /// The attempt to dispatch, by its number within the generation.
        attempt: AttemptNo,
        /// The target that is to run the attempt.
        target: TargetId,
        /// The output so far, which the attempt continues.
        so_far: Vec<TokenId>,
        /// Whether the attempt continues or repeats an earlier one.
        resumed: bool,
    },
    /// Reattach to an attempt over a new connection and feed its frames to the machine.
    Attach {
        /// The link to open.
        link: LinkId,
        /// The attempt to reattach to.
        attempt: AttemptNo,
        /// The target that runs the attempt.
        target: TargetId,
        /// The output that the attempt was dispatched with, if the dispatch may be repeated.
        repeat: Option<Vec<TokenId>>,
        /// The first index to request.
        from: TokenIndex,
    },
    /// Close a link.
    Close {
        /// The link to close; frames that still arrive over it are dropped.
        link: LinkId,
    },
    /// Cancel an attempt without waiting for the result.
    Cancel {
        /// The attempt to cancel.
        attempt: AttemptNo,
        /// The target that runs the attempt.
        target: TargetId,
    },
    /// Cancel an attempt and reply with [`crate::Event::CancelResult`].
    #[serde(rename = "Prove")]
    ConfirmCancel {
        /// The attempt to cancel, which may not have reached its target.
        attempt: AttemptNo,
        /// The target that the attempt was dispatched to.
        target: TargetId,
    },
    /// Tell the agent that the output below `next` is no longer needed.
    Ack {
        /// The attempt that generated the output.
        attempt: AttemptNo,
        /// The target that runs the attempt.
        target: TargetId,
        /// The first index that may still be requested.
        next: TokenIndex,
    },
    /// Pass tokens on to the caller.
    Deliver {
        /// The index of the first token.
        first: TokenIndex,
        /// The attempt that generated the tokens.
        attempt: AttemptNo,
        /// The target that runs the attempt.
        target: TargetId,
        /// The tokens to pass on, with consecutive indices from `first`.
        tokens: Vec<Token>,
    },
    /// Pass the complete response of a plain service on to the caller; the generation has ended.
    Answer {
        /// The HTTP status.
        status: u16,
        /// The end-to-end headers.
        headers: BTreeMap<String, String>,
        /// The complete body.
        body: Bytes,
    },
    /// Report that the output is complete; the generation has ended.
    Finish(FinishReason),
    /// Report an error to the caller; the generation has ended with an incomplete response.
    Fail {
        /// The error to report to the caller.
        kind: ErrorKind,
        /// Whether the request was run.
        ran: Ran,
        /// The delay before the caller should retry.
        retry: Duration,
    },
    /// Clean up; the generation has ended because its caller disconnected.
    Abandon,
    /// Record that an engine crashed while it ran this request and its agent stayed up.
    Crashed {
        /// The target whose engine crashed.
        target: TargetId,
    },
    /// Record that an attempt was lost for a reason other than a crash of its engine.
    Lost {
        /// The target that the attempt was dispatched to.
        target: TargetId,
    },
    /// Record that output has resumed after a loss.
    Resumed {
        /// The time since the last frame or output before the loss.
        latency: Duration,
    },
    /// Record that data from an agent was not passed on.
    Dropped(DropReason),
}
