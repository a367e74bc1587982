//! Reading a stream of server-sent events.

use std::time::Instant;

use bytes::Buf;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;

use super::CallError;
use super::Completion;

/// The data of the event that closes a stream.
const END_OF_STREAM: &[u8] = b"[DONE]";

/// One server-sent event.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// The event id.
    pub id: Option<String>,
    /// The JSON data, or `None` for the closing event.
    pub data: Option<Value>,
    /// When the event was read.
    pub at: Instant,
}

/// A reader of the stream of one generation.
#[derive(Debug)]
pub struct CompletionReader {
    body: Incoming,
    buffer: BytesMut,
    /// The output that has been read so far.
    pub completion: Completion,
}

impl CompletionReader {
    /// Returns a reader of a response body.
    pub(super) fn new(body: Incoming) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
            completion: Completion::default(),
        }
    }

    /// Returns the next event, or `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Broken`] if the connection breaks or the data of an event is not JSON.
    pub async fn next(&mut self) -> Result<Option<Event>, CallError> {
        loop {
            if let Some(event) = self.next_buffered_event()? {
                self.completion.push(&event);
                return Ok(Some(event));
            }
            let Some(frame) = self.body.frame().await else {
                return Ok(None);
            };
            let frame = frame.map_err(CallError::broken)?;
            self.buffer.extend(frame.data_ref().into_iter().flatten());
        }
    }

    /// Reads until the completion has `tokens` tokens or the stream ends.
    ///
    /// # Errors
    ///
    /// See [`CompletionReader::next`].
    pub async fn read_tokens(&mut self, tokens: usize) -> Result<(), CallError> {
        while self.completion.ids.len() < tokens && self.next().await?.is_some() {}
        Ok(())
    }

    /// Reads the stream to its end.
    ///
    /// # Errors
    ///
    /// See [`CompletionReader::next`].
    pub async fn finish(mut self) -> Result<Completion, CallError> {
        while self.next().await?.is_some() {}
        Ok(self.completion)
    }

    fn next_buffered_event(&mut self) -> Result<Option<Event>, CallError> {
        loop {
            let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") else {
                return Ok(None);
            };
            let block = self.buffer.split_to(end);
            self.buffer.advance(2);
            if let Some(event) = parse_event(&block)? {
                return Ok(Some(event));
            }
        }
    }
}

/// Parses one block of lines. A block without data is a comment and returns `None`.
fn parse_event(block: &[u8]) -> Result<Option<Event>, CallError> {
    let mut id = None;
    let mut data = None;
    for line in block.split(|byte| *byte == b'\n') {
        if let Some(text) = line.strip_prefix(b"id:") {
            id = Some(String::from_utf8_lossy(text).trim().to_owned());
        }
        if let Some(text) = line.strip_prefix(b"data:") {
            data = Some(text.trim_ascii());
        }
    }
    let Some(data) = data else {
        return Ok(None);
    };
    let data = match data {
        END_OF_STREAM => None,
        data => Some(serde_json::from_slice(data).map_err(CallError::broken)?),
    };
    let at = Instant::now();
    Ok(Some(Event { id, data, at }))
}
