//! Parses the response stream of a watch, which has one JSON message per line.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Buf;
use bytes::BytesMut;
use futures::StreamExt;
use futures::stream::BoxStream;
use futures::stream::unfold;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::json::Event;
use super::json::EventType;
use super::json::Streamed;
use super::json::WatchResponse;
use crate::StoreError;
use crate::StoreRevision;
use crate::WatchEvent;
use crate::http_client::parse_json;

/// The maximum length of a line, with ample room for a value of a megabyte in base64.
const MAX_LINE_BYTES: usize = 4 << 20;

type WatchItem = Result<WatchEvent, StoreError>;

/// Reads the events of one watch from its response body.
struct WatchReader {
    body: Incoming,
    buffer: BytesMut,
    pending: VecDeque<WatchItem>,
    ended: bool,
}

/// Returns the events of a watch; the stream ends after its first error.
pub(super) fn event_stream(response: Response<Incoming>) -> BoxStream<'static, WatchItem> {
    let reader = WatchReader {
        body: response.into_body(),
        buffer: BytesMut::new(),
        pending: VecDeque::new(),
        ended: false,
    };
    unfold(reader, |mut reader| async move {
        let item = reader.next().await?;
        reader.ended = item.is_err();
        Some((item, reader))
    })
    .boxed()
}

impl WatchReader {
    async fn next(&mut self) -> Option<WatchItem> {
        if self.ended {
            return None;
        }
        loop {
            if let Some(item) = self.pending.pop_front() {
                return Some(item);
            }
            if let Some(line) = self.take_line() {
                self.parse_line(&line);
                continue;
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                Some(Err(error)) => return Some(Err(watch_error(error.to_string()))),
                None => return Some(Err(watch_error("the stream ended".to_owned()))),
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Some(Err(StoreError::Protocol {
                    message: "a message of the watch exceeds the maximum length".to_owned(),
                }));
            }
        }
    }

    fn take_line(&mut self) -> Option<BytesMut> {
        let end = self.buffer.iter().position(|&byte| byte == b'\n')?;
        let line = self.buffer.split_to(end);
        self.buffer.advance(1);
        Some(line)
    }

    fn parse_line(&mut self, line: &[u8]) {
        if line.iter().all(u8::is_ascii_whitespace) {
            return;
        }
        match parse_json::<Streamed<WatchResponse>>(line) {
            Ok(message) => self.push_events(message.result),
            Err(error) => self.pending.push_back(Err(error)),
        }
    }

    fn push_events(&mut self, message: WatchResponse) {
        if message.canceled {
            let error = match message.compact_revision > 0 {
                true => StoreError::Compacted,
                false => watch_error("the service canceled the watch".to_owned()),
            };
            self.pending.push_back(Err(error));
            return;
        }
        if message.events.is_empty() {
            let revision = StoreRevision(message.header.revision);
            let age = Duration::ZERO;
            self.pending
                .push_back(Ok(WatchEvent::Progress { revision, age }));
        }
        self.pending
            .extend(message.events.into_iter().map(to_event));
    }
}

fn watch_error(message: String) -> StoreError {
    StoreError::Unavailable { message }
}

fn to_event(event: Event) -> WatchItem {
    match event.kind {
        EventType::Put => event.kv.into_versioned().map(WatchEvent::Put),
        EventType::Delete => Ok(WatchEvent::Deleted {
            key: event.kv.key()?,
            revision: StoreRevision(event.kv.mod_revision),
        }),
    }
}
