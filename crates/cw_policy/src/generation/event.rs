//! The input events of the generation state machine.

use std::time::Duration;

use cw_macro::data;
use cw_types::AttemptNo;
use cw_types::ErrorKind;
use cw_types::Ran;
use cw_types::TargetId;
use cw_wire::Frame;

/// The number of a connection to an attempt, unique within its generation.
#[data(Copy, Default, Eq, PartialOrd, Ord)]
#[serde(transparent)]
pub struct LinkId(pub u32);

/// The possible side effects of a failed call at the agent.
#[data(Copy, Eq)]
pub enum Effect {
    /// The call never reached the agent, or the agent refused it.
    None,
    /// The agent may have read the call.
    Possible,
}

/// An input event of the generation state machine.
#[data]
pub enum Event {
    /// The caller's request is accepted.
    Start,
    /// A target is selected for the oldest unanswered [`crate::Step::Choose`].
    Chosen(TargetId),
    /// No target can be selected for the oldest unanswered [`crate::Step::Choose`].
    NoTarget {
        /// The cause: [`ErrorKind::NoTarget`] or [`ErrorKind::Overloaded`].
        kind: ErrorKind,
        /// The delay before another selection can succeed.
        retry: Duration,
    },
    /// The request reaches the head of the queue, so a target is selected again.
    #[serde(rename = "Turn")]
    Dequeued,
    /// The queue rejects the request.
    #[serde(rename = "Unqueued")]
    QueueRejected {
        /// The cause: [`ErrorKind::Overloaded`] or [`ErrorKind::Expired`].
        kind: ErrorKind,
        /// The delay before the caller should retry.
        retry: Duration,
    },
    /// A frame arrives.
    Frame {
        /// The link that carried the frame.
        link: LinkId,
        /// The next frame of the attempt's response stream.
        frame: Frame,
    },
    /// A link breaks or cannot be opened.
    Closed {
        /// The link that broke or could not be opened.
        link: LinkId,
        /// Whether the call may have reached the agent.
        effect: Effect,
    },
    /// The result of [`crate::Step::ConfirmCancel`].
    #[serde(rename = "Proof")]
    CancelResult {
        /// The attempt that was to be cancelled.
        attempt: AttemptNo,
        /// Whether the attempt was run; `None` when the agent cannot be reached.
        ran: Option<Ran>,
    },
    /// The claim of an attempt is written; the driver sends the attempt only after this event.
    Claimed {
        /// The link that is opened.
        link: LinkId,
    },
    /// An attempt is not dispatched because its claim cannot be written.
    NotClaimed {
        /// The link that was to be opened.
        link: LinkId,
        /// The error to report to the caller.
        kind: ErrorKind,
    },
    /// The result of [`crate::Step::CheckCrashes`].
    #[serde(rename = "Judged")]
    CrashesChecked {
        /// Whether the request caused the crashes of its targets.
        #[serde(rename = "guilty")]
        at_fault: bool,
    },
    /// The request must not be run, or not again.
    Refuse(ErrorKind),
    /// The caller has disconnected.
    CallerGone,
    /// The time of [`crate::Generation::deadline`] may have passed.
    Tick,
}
