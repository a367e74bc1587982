//! The body of a streamed answer, as server-sent events.

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

use super::answer_format::AnswerFormat;
use super::api_error::ApiError;
use super::output::Output;

/// The maximum number of outputs that are written into one frame of the body.
const MAX_BATCH_OUTPUTS: usize = 32;

/// The response body of a streamed answer.
pub(crate) struct EventBody {
    format: Arc<AnswerFormat>,
    first: Option<Output>,
    outputs: mpsc::Receiver<Output>,
    ended: bool,
    _progress: TaskTrackerToken,
}

impl EventBody {
    /// Creates a body that writes `first` and then all of `outputs`. The body holds `progress`
    /// until it is dropped, so that a drain waits for it.
    pub(crate) fn new(
        format: Arc<AnswerFormat>,
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
        // The driver always sends a final output, so a closed channel means that the driver failed.
        let output = output.unwrap_or_else(|| Output::Error(ApiError::new(ErrorKind::Internal)));
        Poll::Ready(output)
    }

    fn write(&mut self, output: &Output, bytes: &mut BytesMut) {
        match output {
            Output::Tokens(chunk) => {
                let id = self.format.event_id(chunk);
                // Writing into a growable buffer cannot fail.
                let _ = writeln!(bytes, "id: {id}");
                write_event(bytes, &self.format.chunk_event(chunk));
            }
            Output::Finished(finish) => {
                self.ended = true;
                write_event(bytes, &self.format.finish_event(*finish));
                bytes.extend_from_slice(b"data: [DONE]\n\n");
            }
            Output::Error(error) => {
                self.ended = true;
                bytes.extend_from_slice(b"event: error\ndata: ");
                bytes.extend_from_slice(error.json().as_bytes());
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
        for _ in 0..MAX_BATCH_OUTPUTS {
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
    // The values are strings and numbers, which always serialize, and writing into a growable
    // buffer cannot fail.
    let _ = serde_json::to_writer(bytes.writer(), data);
    bytes.extend_from_slice(b"\n\n");
}
