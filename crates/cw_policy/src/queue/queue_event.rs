//! The events and the steps of the queue's state machine.

use std::time::Duration;

use cw_types::ErrorKind;
use cw_types::GenerationId;

use super::QueuedRequest;
use super::TargetPool;

/// An event that the queue handles.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueueEvent {
    /// A new request arrives at the queue.
    Offered(QueuedRequest),
    /// A target of this pool seems to have capacity for one request.
    CapacityAvailable(TargetPool),
    /// A started request found no target and waits again, at its old position.
    Returned(QueuedRequest),
    /// The caller of a request has disconnected.
    CallerGone(GenerationId),
    /// Time has passed.
    Tick,
}

/// A step that the driver of the queue carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueueStep {
    /// Choose a target for the request.
    Start(QueuedRequest),
    /// Refuse the request, which was not run.
    Refuse {
        /// The refused request, which the queue does not hold.
        request: QueuedRequest,
        /// The reason: [`ErrorKind::Overloaded`] or [`ErrorKind::Expired`].
        kind: ErrorKind,
        /// The time after which the caller may retry.
        retry: Duration,
    },
}
