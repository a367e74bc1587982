//! What one send of a request came to.

use bytes::Bytes;
use cw_policy::forward::ExchangeEvent;
use hyper::body::Incoming;

use super::answer::WholeAnswer;
use super::guards::CopyPlace;
use super::guards::Place;
use super::link::Link;

/// What one send of a request came to.
pub(super) enum Outcome {
    /// Nothing to pass on.
    Event(ExchangeEvent),
    /// The target's own failure, as a whole.
    Failure(WholeAnswer),
    /// The whole answer.
    Answer(WholeAnswer),
    /// The end of a stream whose events the caller has all.
    Finished(WholeAnswer),
    /// A stream that has begun.
    Stream(Box<Flow>),
}

/// A stream that comes from one target.
pub(super) struct Flow {
    /// Status and headers of the answer; the body is in the other fields.
    pub(super) head: WholeAnswer,
    /// The first events.
    pub(super) first: Bytes,
    /// The rest of them.
    pub(super) body: Incoming,
    /// How long the target keeps the connection when it is idle, `None` if it does not.
    pub(super) reuse: Reuse,
    pub(super) run: Run,
}

/// Whether a connection can carry another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reuse {
    /// The target closes it.
    No,
    /// The target keeps it for a time, which it may state.
    Idle(Option<std::time::Duration>),
}

/// What a request has at its target while it runs. Dropping it cancels the request.
pub(super) struct Run {
    pub(super) link: Link,
    pub(super) place: Place,
    pub(super) _copy: Option<CopyPlace>,
}
