//! A streamed answer: server-sent events.

use std::fmt::Write;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use cw_types::ErrorKind;
use http_body::Frame;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio_util::task::task_tracker::TaskTrackerToken;

use super::format::Format;
use super::output::Output;
use super::refusal::Refusal;

/// The most pieces of output that are written as one frame of the body.
const BATCH: usize = 32;

/// The body of a streamed answer.
pub(crate) struct EventBody {
    format: Arc<Format>,
    first: Option<Output>,
    outputs: mpsc::Receiver<Output>,
    ended: bool,
    _progress: TaskTrackerToken,
}

impl EventBody {
    /// Returns a body that writes `first` and then all of `outputs`.
    pub(crate) fn new(
        format: Arc<Format>,
        first: Output,
        outputs: mpsc::Receiver<Output>,
        progress: TaskTrackerToken,
    ) -> Self {
        Self {
            format,
            first: Some(first),
            outputs,
            ended: false,
            _progress: progress,
        }
    }

    fn poll_output(&mut self, cx: &mut Context<'_>) -> Poll<Output> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(first);
        }
        let output = std::task::ready!(self.outputs.poll_recv(cx));
        // The driver always ends with an output that says so.
        let output = output.unwrap_or_else(|| Output::Refusal(Refusal::new(ErrorKind::Internal)));
        Poll::Ready(output)
    }

    fn write(&mut self, output: &Output, bytes: &mut BytesMut) {
        match output {
            Output::Piece(piece) => {
                let id = self.format.event_id(piece);
                // Writing into a growing buffer does not fail.
                let _ = writeln!(bytes, "id: {id}");
                write_event(bytes, &self.format.piece(piece));
            }
            Output::Finish(finish) => {
                self.ended = true;
                write_event(bytes, &self.format.finish(*finish));
                bytes.extend_from_slice(b"data: [DONE]\n\n");
            }
            Output::Refusal(refusal) => {
                self.ended = true;
                bytes.extend_from_slice(b"event: error\ndata: ");
                bytes.extend_from_slice(refusal.json().as_bytes());
                bytes.extend_from_slice(b"\n\n");
            }
            Output::Answer(_) => self.ended = true,
        }
    }
}

impl http_body::Body for EventBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let mut bytes = BytesMut::new();
        for _ in 0..BATCH {
            if self.ended {
                break;
            }
            let Poll::Ready(output) = self.poll_output(cx) else {
                break;
            };
            self.write(&output, &mut bytes);
        }
        match (bytes.is_empty(), self.ended) {
            (false, _) => Poll::Ready(Some(Ok(Frame::data(bytes.freeze())))),
            (true, true) => Poll::Ready(None),
            (true, false) => Poll::Pending,
        }
    }
}

fn write_event<T: Serialize>(bytes: &mut BytesMut, data: &T) {
    bytes.extend_from_slice(b"data: ");
    // Strings and numbers are JSON, and writing into a growing buffer does not fail.
    let _ = serde_json::to_writer(bytes.writer(), data);
    bytes.extend_from_slice(b"\n\n");
}
