//! The outcome of one send of a request.

use cw_policy::forward::EventBatch;
use cw_policy::forward::ExchangeEvent;
use cw_store::BodyMemory;
use cw_store::HeldMemory;
use cw_store::OutOfMemory;
use http::HeaderMap;
use http::header::TRANSFER_ENCODING;
use hyper::body::Body;
use hyper::body::Incoming;

use super::guards::CopyGuard;
use super::guards::RequestGuard;
use super::response::BufferedResponse;
use super::target_connection::TargetConnection;

/// The outcome of one send of a request.
pub(super) enum SendOutcome {
    /// There is nothing to pass on.
    Event(ExchangeEvent),
    /// The complete error response of the target.
    ErrorResponse(BufferedResponse),
    /// The complete response.
    Response(BufferedResponse),
    /// The end of a stream of which the caller already has all events.
    StreamEnd(BufferedResponse),
    /// A stream that has begun.
    Stream(Box<TargetStream>),
}

/// A stream from one target.
pub(super) struct TargetStream {
    /// The status and headers of the response. The body is in the other fields.
    pub(super) head: BufferedResponse,
    /// The first events, which are not passed on yet.
    pub(super) first: EventBatch,
    /// The remaining body.
    pub(super) body: Incoming,
    pub(super) memory: EventMemory,
    pub(super) end: BodyEnd,
    /// Whether the connection can be reused after the stream.
    pub(super) reuse: Reuse,
    pub(super) active: ActiveSend,
}

/// The memory of a stream: an incomplete event, and the events that wait for a slow caller.
pub(super) struct EventMemory {
    memory: BodyMemory,
    partial: HeldMemory,
}

impl EventMemory {
    /// Creates the memory of a stream, which counts towards `memory`.
    pub(super) fn new(memory: BodyMemory) -> Self {
        let partial = memory.hold();
        Self { memory, partial }
    }

    /// Counts a batch of events until its bytes are dropped, and `partial` bytes of an incomplete event.
    ///
    /// # Errors
    ///
    /// Fails if no memory is left.
    pub(super) fn keep(
        &mut self,
        batch: EventBatch,
        partial: usize,
    ) -> Result<EventBatch, OutOfMemory> {
        self.partial.resize(BodyMemory::counted(partial))?;
        batch.try_keep(|bytes| self.memory.keep(bytes))
    }
}

/// Whether a connection can carry another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reuse {
    /// The target closes the connection.
    No,
    /// The target keeps an idle connection for this time, `None` if it states no time.
    Idle(Option<std::time::Duration>),
}

/// The resources of a request at its target. Dropping them cancels the request.
pub(super) struct ActiveSend {
    pub(super) connection: TargetConnection,
    pub(super) guard: RequestGuard,
    pub(super) _copy_guard: Option<CopyGuard>,
    /// Whether an earlier transmission of the same send may have run at the target.
    pub(super) may_have_run: bool,
}

/// What tells that the body of an answer is whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyEnd {
    /// Its length, or its last chunk.
    Framed,
    /// The end of its connection.
    Connection,
}

impl BodyEnd {
    /// Returns what tells the end of the body of an answer.
    pub(super) fn of(headers: &HeaderMap, body: &Incoming) -> Self {
        match body.size_hint().exact().is_some() || headers.contains_key(TRANSFER_ENCODING) {
            true => BodyEnd::Framed,
            false => BodyEnd::Connection,
        }
    }

    /// Returns whether a body that has ended is whole.
    ///
    /// A target that closes a connection on which the rest of the request is still to be written has not had the request, so
    /// the end of the connection tells nothing of the answer. A reset would look the same if writing found out first.
    pub(super) fn is_whole(self, connection: &TargetConnection) -> bool {
        match self {
            BodyEnd::Framed => true,
            BodyEnd::Connection => connection.has_written_request(),
        }
    }
}
