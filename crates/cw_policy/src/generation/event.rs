//! What happens to a generation.

use std::time::Duration;

use cw_macro::data;
use cw_types::AttemptNo;
use cw_types::ErrorKind;
use cw_types::Ran;
use cw_types::TargetId;
use cw_wire::Frame;

/// One connection to one attempt, unique within its generation.
#[data(Copy, Default, Eq, PartialOrd, Ord)]
#[serde(transparent)]
pub struct LinkId(pub u32);

/// What a call that failed may have done at the agent.
#[data(Copy, Eq)]
pub enum Effect {
    /// Nothing: the call never reached the agent, or the agent refused it.
    None,
    /// It may have been read.
    Possible,
}

/// What happens to a generation.
#[data]
pub enum Event {
    /// The caller's request is accepted.
    Start,
    /// A target answers the oldest open [`crate::Step::Choose`].
    Chosen(TargetId),
    /// No target can be chosen.
    NoTarget {
        /// Why: [`ErrorKind::NoTarget`] or [`ErrorKind::Overloaded`].
        kind: ErrorKind,
        /// When it is worth asking again.
        retry: Duration,
    },
    /// The request's turn in the queue has come: a target is to be chosen again.
    Turn,
    /// The queue gave the request up.
    Unqueued {
        /// Why.
        kind: ErrorKind,
        /// When it is worth calling again.
        retry: Duration,
    },
    /// A frame came in.
    Frame {
        /// The link it came over.
        link: LinkId,
        /// The frame.
        frame: Frame,
    },
    /// A link broke, or could not be opened.
    Closed {
        /// The link.
        link: LinkId,
        /// What the call may have done.
        effect: Effect,
    },
    /// The answer to [`crate::Step::Prove`]; `None` when the agent could not be asked.
    Proof {
        /// The attempt.
        attempt: AttemptNo,
        /// Whether it was run.
        ran: Option<Ran>,
    },
    /// The claim of an attempt is written, and the attempt is sent only now.
    Claimed {
        /// The link that is opened.
        link: LinkId,
    },
    /// An attempt was not dispatched, since its claim could not be written.
    NotClaimed {
        /// The link that was to be opened.
        link: LinkId,
        /// Why.
        kind: ErrorKind,
    },
    /// The answer to [`crate::Step::Judge`].
    Judged {
        /// Whether the request is what crashed its targets.
        guilty: bool,
    },
    /// The request may not be run, or not again.
    Refuse(ErrorKind),
    /// The caller is gone.
    CallerGone,
    /// The deadline may have passed.
    Tick,
}
