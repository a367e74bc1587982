//! What happens to a queue, and what it says to do.

use std::time::Duration;

use cw_types::ErrorKind;
use cw_types::GenerationId;

use super::Lane;
use super::Waiter;

/// What happens to a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueueEvent {
    /// A request wants to wait.
    Offered(Waiter),
    /// A target of this lane seems to have room for one request.
    Room(Lane),
    /// A request that was started found no target after all and waits on in its old place.
    Returned(Waiter),
    /// The caller of a request has gone.
    Gone(GenerationId),
    /// Time has passed.
    Tick,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueueStep {
    /// Choose a target for the request.
    Start(Waiter),
    /// Answer the request, which was not run.
    Refuse {
        /// The request.
        waiter: Waiter,
        /// Why.
        kind: ErrorKind,
        /// When the caller should call again.
        retry: Duration,
    },
}
