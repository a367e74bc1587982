//! HTTP responses, and reading of request bodies.

use std::convert::Infallible;

use bytes::Bytes;
use futures::Stream;
use futures::StreamExt;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

/// A response with a full or a streamed body.
pub(crate) type HttpResponse = Response<UnsyncBoxBody<Bytes, Infallible>>;

/// The request gets no response: its connection is closed.
#[derive(Debug, Snafu)]
#[snafu(display("the connection is closed without a response"))]
pub(crate) struct NoResponse;

/// Returns a response with a JSON body.
pub(crate) fn json_response<T: Serialize>(status: StatusCode, body: &T) -> HttpResponse {
    let bytes = serde_json::to_vec(body).expect("the type has string keys");
    full_response(status, "application/json", Bytes::from(bytes))
}

/// Returns a response without a body.
pub(crate) fn empty_response(status: StatusCode) -> HttpResponse {
    full_response(status, "text/plain", Bytes::new())
}

/// Returns a response with status 200 whose body is streamed.
pub(crate) fn stream_response<S>(content_type: &'static str, body: S) -> HttpResponse
where
    S: Stream<Item = Bytes> + Send + 'static,
{
    let frames = body.map(|bytes| Ok(Frame::data(bytes)));
    Response::builder()
        .header(CONTENT_TYPE, content_type)
        .body(StreamBody::new(frames).boxed_unsync())
        .expect("the response headers are valid")
}

fn full_response(status: StatusCode, content_type: &'static str, bytes: Bytes) -> HttpResponse {
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, content_type)
        .body(Full::new(bytes).boxed_unsync())
        .expect("the response headers are valid")
}

/// Reads a request body to its end.
pub(crate) async fn read_bytes(request: Request<Incoming>) -> Result<Bytes, NoResponse> {
    let body = request
        .into_body()
        .collect()
        .await
        .map_err(|_| NoResponse)?;
    Ok(body.to_bytes())
}

/// Reads a JSON request body. The inner `Err` is the response to a body that is not valid.
pub(crate) async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<Result<T, HttpResponse>, NoResponse> {
    let bytes = read_bytes(request).await?;
    Ok(serde_json::from_slice(&bytes).map_err(|error| {
        let message = serde_json::json!({ "message": error.to_string() });
        json_response(StatusCode::UNPROCESSABLE_ENTITY, &message)
    }))
}
