//! What happens to a queue, and what it says to do.

use std::time::Duration;

use cw_types::ErrorKind;
use cw_types::GenerationId;

use super::QueuedRequest;
use super::TargetPool;

/// What happens to a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueueEvent {
    /// A request wants to wait.
    Offered(QueuedRequest),
    /// A target of this lane seems to have room for one request.
    CapacityAvailable(TargetPool),
    /// A request that was started found no target after all and waits on in its old place.
    Returned(QueuedRequest),
    /// The caller of a request has gone.
    CallerGone(GenerationId),
    /// Time has passed.
    Tick,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueueStep {
    /// Choose a target for the request.
    Start(QueuedRequest),
    /// Answer the request, which was not run.
    Refuse {
        /// The request.
        request: QueuedRequest,
        /// Why.
        kind: ErrorKind,
        /// When the caller should call again.
        retry: Duration,
    },
}
