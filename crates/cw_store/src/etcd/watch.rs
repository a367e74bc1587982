//! The stream of a watch: one JSON message a line.

use std::collections::VecDeque;

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
use crate::ModRevision;
use crate::StoreError;
use crate::WatchEvent;
use crate::http_client::parse_json;

/// The longest line of a watch, in bytes: a value of a megabyte in base64 with room to spare.
const LINE_MAX: usize = 4 << 20;

type WatchItem = Result<WatchEvent, StoreError>;

/// What is left to read of one watch.
struct WatchState {
    body: Incoming,
    buffer: BytesMut,
    ready: VecDeque<WatchItem>,
    ended: bool,
}

/// Reads the events of a watch; the stream ends after its first error.
pub(super) fn events(response: Response<Incoming>) -> BoxStream<'static, WatchItem> {
    let state = WatchState {
        body: response.into_body(),
        buffer: BytesMut::new(),
        ready: VecDeque::new(),
        ended: false,
    };
    unfold(state, |mut state| async move {
        let item = state.next().await?;
        state.ended = item.is_err();
        Some((item, state))
    })
    .boxed()
}

impl WatchState {
    async fn next(&mut self) -> Option<WatchItem> {
        if self.ended {
            return None;
        }
        loop {
            if let Some(item) = self.ready.pop_front() {
                return Some(item);
            }
            if let Some(line) = self.line() {
                self.read(&line);
                continue;
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                Some(Err(error)) => return Some(Err(ended(error.to_string()))),
                None => return Some(Err(ended("the watch ended".to_owned()))),
            }
            if self.buffer.len() > LINE_MAX {
                return Some(Err(StoreError::Protocol {
                    message: "a message of the watch is too long".to_owned(),
                }));
            }
        }
    }

    fn line(&mut self) -> Option<BytesMut> {
        let end = self.buffer.iter().position(|&byte| byte == b'\n')?;
        let line = self.buffer.split_to(end);
        self.buffer.advance(1);
        Some(line)
    }

    fn read(&mut self, line: &[u8]) {
        if line.iter().all(u8::is_ascii_whitespace) {
            return;
        }
        match parse_json::<Streamed<WatchResponse>>(line) {
            Ok(message) => self.take(message.result),
            Err(error) => self.ready.push_back(Err(error)),
        }
    }

    fn take(&mut self, message: WatchResponse) {
        if message.canceled {
            let error = ended("the service ended the watch".to_owned());
            self.ready.push_back(Err(error));
            return;
        }
        if message.events.is_empty() {
            let revision = ModRevision(message.header.revision);
            self.ready.push_back(Ok(WatchEvent::Progress(revision)));
        }
        self.ready.extend(message.events.into_iter().map(to_event));
    }
}

fn ended(message: String) -> StoreError {
    StoreError::Unavailable { message }
}

fn to_event(event: Event) -> WatchItem {
    match event.kind {
        EventType::Put => event.kv.versioned().map(WatchEvent::Put),
        EventType::Delete => Ok(WatchEvent::Deleted {
            key: event.kv.key()?,
            revision: ModRevision(event.kv.mod_revision),
        }),
    }
}
