//! Cuts the bytes of a target into events and keeps them in order.

use bytes::Bytes;
use bytes::BytesMut;
use snafu::Snafu;

/// The longest event, in bytes; a target that sends more sends no events.
const EVENT_MAX: usize = 1 << 20;

/// A stream that cannot be passed on any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum StreamError {
    /// An event is missing.
    #[snafu(display("event {found} came where {expected} was due"))]
    Gap {
        /// The id that was due.
        expected: u64,
        /// The id that came.
        found: u64,
    },
    /// What came is no event with a number.
    #[snafu(display("an event has no number"))]
    NoNumber,
    /// An event is longer than any can be.
    #[snafu(display("an event is longer than {EVENT_MAX} bytes"))]
    TooLong,
}

/// The events of one caller's stream, over all targets that it came from.
#[derive(Clone, Debug, Default)]
pub struct EventStream {
    /// The id of the last event that was passed on.
    last: Option<u64>,
    /// The bytes after the last whole event.
    rest: BytesMut,
    repeated: u64,
}

impl EventStream {
    /// Returns a stream that goes on after event `last`.
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

    /// Returns how many events came again and were dropped.
    pub fn repeated(&self) -> u64 {
        self.repeated
    }

    /// Returns whether the bytes so far end within an event.
    pub fn ends_mid_event(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Returns whether the stream may end here: events have been passed on, all of them whole.
    pub fn may_end(&self) -> bool {
        self.last.is_some() && !self.ends_mid_event()
    }

    /// The stream goes on from another target: half an event of the last one is dropped.
    pub fn restart(&mut self) {
        self.rest.clear();
    }

    /// Takes in bytes, and returns the whole events among them, in order and once each.
    ///
    /// # Errors
    ///
    /// Fails when an event is missing or cannot be read; nothing of these bytes is to be passed on.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Bytes, StreamError> {
        if self.rest.is_empty()
            && let Some(count) = self.whole(bytes)
        {
            return self.pass(bytes.slice(..count), &bytes[count..]);
        }
        self.rest.extend_from_slice(bytes);
        if self.rest.len() > EVENT_MAX {
            return Err(StreamError::TooLong);
        }
        let count = self.whole(&self.rest).unwrap_or(0);
        let whole = self.rest.split_to(count).freeze();
        self.pass(whole, &[])
    }

    /// Returns how many bytes end with the last whole event.
    fn whole(&self, bytes: &[u8]) -> Option<usize> {
        bytes
            .windows(2)
            .rposition(|pair| pair == b"\n\n")
            .map(|at| at + 2)
    }

    fn pass(&mut self, whole: Bytes, rest: &[u8]) -> Result<Bytes, StreamError> {
        let mut start = 0;
        let mut at = 0;
        while let Some(length) = event_length(&whole[at..]) {
            let event = &whole[at..at + length];
            if let Some(id) = number(event)? {
                match self.last {
                    Some(last) if id <= last => {
                        self.repeated += 1;
                        // Repeats come at the beginning only, so what is left is one slice.
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
        self.rest.extend_from_slice(rest);
        Ok(whole.slice(start..))
    }
}

/// Returns the length of the first event, with the empty line that ends it.
fn event_length(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(2)
        .position(|pair| pair == b"\n\n")
        .map(|at| at + 2)
}

/// Returns the number of an event; `None` for a comment.
fn number(event: &[u8]) -> Result<Option<u64>, StreamError> {
    let mut fields = false;
    for line in event.split(|&byte| byte == b'\n') {
        if let Some(id) = line.strip_prefix(b"id:") {
            let text = std::str::from_utf8(id).map_err(|_| StreamError::NoNumber)?;
            let id = text.trim().parse().map_err(|_| StreamError::NoNumber)?;
            return Ok(Some(id));
        }
        fields |= !line.is_empty() && !line.starts_with(b":");
    }
    match fields {
        true => Err(StreamError::NoNumber),
        false => Ok(None),
    }
}
