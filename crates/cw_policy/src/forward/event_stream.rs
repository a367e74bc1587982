//! Splits the byte stream of a target into server-sent events and keeps them in order.

use bytes::Bytes;
use bytes::BytesMut;
use snafu::Snafu;

/// The maximum size of one event. A target that exceeds it does not send server-sent events.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Why a stream cannot be passed on any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum StreamError {
    /// An event is missing.
    #[snafu(display("received event {found}, expected event {expected}"))]
    Gap {
        /// The expected id.
        expected: u64,
        /// The received id.
        found: u64,
    },
    /// An event has no numeric id.
    #[snafu(display("an event has no numeric id"))]
    MissingId,
    /// An event exceeds the maximum size.
    #[snafu(display("an event is longer than {MAX_EVENT_BYTES} bytes"))]
    TooLong,
}

/// The event stream of one caller, joined from all targets that served it.
#[derive(Clone, Debug, Default)]
pub struct EventStream {
    /// The id of the last event that was passed on.
    last: Option<u64>,
    /// The bytes of an incomplete event.
    partial: BytesMut,
    /// The number of duplicate events that were dropped.
    repeated: u64,
}

impl EventStream {
    /// Creates a stream that continues after event `last`.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Returns the id of the last event that was passed on.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns how many duplicate events were dropped.
    pub fn repeated(&self) -> u64 {
        self.repeated
    }

    /// Returns the number of bytes received of an incomplete event.
    pub fn partial_len(&self) -> usize {
        self.partial.len()
    }

    /// Returns whether the bytes received so far end within an event.
    pub fn ends_mid_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Returns whether the stream may end here: events have been passed on, and none is incomplete.
    pub fn may_end(&self) -> bool {
        self.last.is_some() && !self.ends_mid_event()
    }

    /// Continues the stream from another target, dropping the incomplete event of the previous one.
    pub fn restart(&mut self) {
        self.partial.clear();
    }

    /// Adds bytes, and returns the complete new events, in order and without duplicates.
    ///
    /// # Errors
    ///
    /// Fails when an event is missing, has no numeric id or is too long. None of the bytes may then
    /// be passed on.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Bytes, StreamError> {
        if self.partial.is_empty()
            && let Some(count) = self.complete_len(bytes)
        {
            return self.take_new(bytes.slice(..count), &bytes[count..]);
        }
        self.partial.extend_from_slice(bytes);
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(StreamError::TooLong);
        }
        let count = self.complete_len(&self.partial).unwrap_or(0);
        let complete = self.partial.split_to(count).freeze();
        self.take_new(complete, &[])
    }

    /// Returns the length of `bytes` up to the end of the last complete event.
    fn complete_len(&self, bytes: &[u8]) -> Option<usize> {
        bytes
            .windows(2)
            .rposition(|pair| pair == b"\n\n")
            .map(|at| at + 2)
    }

    /// Returns the events of `complete` that are new, and keeps `rest` as an incomplete event.
    fn take_new(&mut self, complete: Bytes, rest: &[u8]) -> Result<Bytes, StreamError> {
        let mut start = 0;
        let mut at = 0;
        while let Some(length) = event_length(&complete[at..]) {
            let event = &complete[at..at + length];
            if let Some(id) = event_id(event)? {
                match self.last {
                    Some(last) if id <= last => {
                        self.repeated += 1;
                        // Duplicates occur only at the beginning, so the new events are one slice.
                        start = at + length;
                    }
                    Some(last) if id != last + 1 => {
                        let expected = last + 1;
                        let found = id;
                        return Err(StreamError::Gap { expected, found });
                    }
                    _ => self.last = Some(id),
                }
            }
            at += length;
        }
        self.partial.extend_from_slice(rest);
        Ok(complete.slice(start..))
    }
}

/// Returns the length of the first event, including the empty line that ends it.
fn event_length(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(2)
        .position(|pair| pair == b"\n\n")
        .map(|at| at + 2)
}

/// Returns the id of an event, `None` for a comment.
fn event_id(event: &[u8]) -> Result<Option<u64>, StreamError> {
    let mut has_fields = false;
    for line in event.split(|&byte| byte == b'\n') {
        if let Some(id) = line.strip_prefix(b"id:") {
            let text = std::str::from_utf8(id).map_err(|_| StreamError::MissingId)?;
            let id = text.trim().parse().map_err(|_| StreamError::MissingId)?;
            return Ok(Some(id));
        }
        has_fields |= !line.is_empty() && !line.starts_with(b":");
    }
    match has_fields {
        true => Err(StreamError::MissingId),
        false => Ok(None),
    }
}
