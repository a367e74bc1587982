//! Events that are ready to be passed on to a caller.

use bytes::Bytes;

use super::event_stream::StreamError;

/// The events of one read that are new to the caller, and the position that it reaches with them.
///
/// The bytes are only available from [`EventStream::pass_on`](super::EventStream::pass_on), which moves the position of
/// the stream in the same step. A batch that is dropped leaves the position as it is, and the next target is asked for
/// its events again.
#[derive(Debug, Default, PartialEq, Eq)]
#[must_use = "the caller lacks the events until they are passed on"]
pub struct EventBatch {
    /// The events, and the comments between them.
    pub(super) bytes: Bytes,
    /// The id of the last event, `None` if there are only comments.
    pub(super) last: Option<u64>,
    /// Why nothing that follows may be passed on.
    pub(super) fault: Option<StreamError>,
}

impl EventBatch {
    /// Returns whether there is nothing to pass on.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns whether there is an event, rather than comments alone.
    pub fn has_events(&self) -> bool {
        self.last.is_some()
    }

    /// Returns why the stream cannot go on at its target after this batch.
    pub fn fault(&self) -> Option<StreamError> {
        self.fault
    }

    /// Replaces the bytes by the same bytes in other memory.
    ///
    /// # Errors
    ///
    /// Fails with the error of `keep`. The batch is dropped then.
    pub fn try_keep<E>(self, keep: impl FnOnce(Bytes) -> Result<Bytes, E>) -> Result<Self, E> {
        let bytes = keep(self.bytes)?;
        Ok(Self { bytes, ..self })
    }
}
