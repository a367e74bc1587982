//! Responses to callers.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use dropshot::Body;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONNECTION;
use http_body::Frame;
use http_body_util::Full;
use tokio::sync::mpsc;

/// A complete response of a target.
#[derive(Clone, Debug)]
pub(super) struct BufferedResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

impl BufferedResponse {
    pub(super) fn into_response(self) -> Response<Body> {
        let mut response = Response::new(Body::wrap(Full::new(self.body)));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}

/// Asks the caller to close its connection after this response.
pub(super) fn set_connection_close(response: &mut Response<Body>) {
    let headers = response.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
}

/// The body of a stream, which consists of complete events. An error aborts the connection.
pub(super) struct EventBody {
    events: mpsc::Receiver<Result<Bytes, io::Error>>,
}

impl EventBody {
    pub(super) fn new(events: mpsc::Receiver<Result<Bytes, io::Error>>) -> Self {
        Self { events }
    }
}

impl http_body::Body for EventBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.events
            .poll_recv(cx)
            .map(|item| item.map(|item| item.map(Frame::data)))
    }
}
