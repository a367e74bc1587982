//! Splits the byte stream of a target into server-sent events and keeps them in order.

use std::ops::Range;

use bytes::Bytes;
use bytes::BytesMut;
use snafu::Snafu;

use super::event_batch::EventBatch;

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

    /// Adds bytes of a target, and returns the complete events that are new to the caller.
    ///
    /// The batch ends before the first invalid event. It is passed on with [`EventStream::pass_on`] before more bytes
    /// are added; the events of a batch that is dropped instead are still missing.
    pub fn push(&mut self, bytes: &Bytes) -> EventBatch {
        let complete = self.take_complete(bytes);
        let mut batch = self.select_new(&complete);
        if self.partial.len() > MAX_EVENT_BYTES {
            batch.fault.get_or_insert(StreamError::TooLong);
        }
        batch
    }

    /// Returns the bytes of a batch for the caller, and counts its events as passed on.
    pub fn pass_on(&mut self, batch: EventBatch) -> Bytes {
        self.last = batch.last.or(self.last);
        batch.bytes
    }

    /// Adds bytes, and removes all complete events.
    fn take_complete(&mut self, bytes: &Bytes) -> Bytes {
        if self.partial.is_empty() {
            let count = complete_len(bytes);
            self.partial.extend_from_slice(&bytes[count..]);
            return bytes.slice(..count);
        }
        self.partial.extend_from_slice(bytes);
        let count = complete_len(&self.partial);
        self.partial.split_to(count).freeze()
    }

    /// Returns the events of `complete` that are new, up to the first invalid one.
    fn select_new(&mut self, complete: &Bytes) -> EventBatch {
        let mut last = self.last;
        let mut fault = None;
        let mut kept: Vec<Range<usize>> = Vec::new();
        let mut start = 0;
        while let Some(length) = event_length(&complete[start..]) {
            let end = start + length;
            match arrival(last, &complete[start..end]) {
                Ok(Arrival::Repeated) => self.repeated += 1,
                Ok(arrival) => {
                    last = arrival.id().or(last);
                    match kept.last_mut() {
                        Some(range) if range.end == start => range.end = end,
                        _ => kept.push(start..end),
                    }
                }
                Err(error) => {
                    fault = Some(error);
                    break;
                }
            }
            start = end;
        }
        EventBatch {
            bytes: join(complete, &kept),
            last: last.filter(|_| last != self.last),
            fault,
        }
    }
}

/// What an event is to the caller.
enum Arrival {
    /// The next event, with its id.
    New(u64),
    /// An event that the caller already has.
    Repeated,
    /// A comment, which has no id.
    Comment,
}

impl Arrival {
    /// Returns the position that the caller reaches with the event, if it is a new one.
    fn id(&self) -> Option<u64> {
        match self {
            Arrival::New(id) => Some(*id),
            Arrival::Repeated | Arrival::Comment => None,
        }
    }
}

/// Returns what an event is to a caller whose last event is `last`.
fn arrival(last: Option<u64>, event: &[u8]) -> Result<Arrival, StreamError> {
    if event.len() > MAX_EVENT_BYTES {
        return Err(StreamError::TooLong);
    }
    let Some(found) = event_id(event)? else {
        return Ok(Arrival::Comment);
    };
    match last {
        Some(last) if found <= last => Ok(Arrival::Repeated),
        Some(last) if found != last + 1 => {
            let expected = last + 1;
            Err(StreamError::Gap { expected, found })
        }
        _ => Ok(Arrival::New(found)),
    }
}

/// Joins ranges of `bytes`, without a copy if there is only one.
fn join(bytes: &Bytes, ranges: &[Range<usize>]) -> Bytes {
    match ranges {
        [] => Bytes::new(),
        [range] => bytes.slice(range.clone()),
        _ => {
            let mut joined = BytesMut::new();
            for range in ranges {
                joined.extend_from_slice(&bytes[range.clone()]);
            }
            joined.freeze()
        }
    }
}

/// Returns the length of `bytes` up to the end of the last complete event.
fn complete_len(bytes: &[u8]) -> usize {
    let end = bytes.windows(2).rposition(|pair| pair == b"\n\n");
    end.map_or(0, |at| at + 2)
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
