//! Bodies of requests and answers.

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

/// An answer.
pub(crate) type Reply = Response<UnsyncBoxBody<Bytes, Infallible>>;

/// The connection is closed without an answer.
#[derive(Debug, Snafu)]
#[snafu(display("the connection is closed without an answer"))]
pub(crate) struct Cut;

/// Returns an answer with a body of JSON.
pub(crate) fn json<T: Serialize>(status: StatusCode, body: &T) -> Reply {
    let bytes = serde_json::to_vec(body).expect("the type has string keys");
    whole(status, "application/json", Bytes::from(bytes))
}

/// Returns an answer without a body.
pub(crate) fn empty(status: StatusCode) -> Reply {
    whole(status, "text/plain", Bytes::new())
}

/// Returns an answer whose body is sent as it comes.
pub(crate) fn stream<S>(kind: &'static str, body: S) -> Reply
where
    S: Stream<Item = Bytes> + Send + 'static,
{
    let frames = body.map(|bytes| Ok(Frame::data(bytes)));
    Response::builder()
        .header(CONTENT_TYPE, kind)
        .body(StreamBody::new(frames).boxed_unsync())
        .expect("the head is valid")
}

fn whole(status: StatusCode, kind: &'static str, bytes: Bytes) -> Reply {
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, kind)
        .body(Full::new(bytes).boxed_unsync())
        .expect("the head is valid")
}

/// Reads a whole body.
pub(crate) async fn read_bytes(request: Request<Incoming>) -> Result<Bytes, Cut> {
    let body = request.into_body().collect().await.map_err(|_| Cut)?;
    Ok(body.to_bytes())
}

/// Reads a body of JSON; `Err` within `Ok` is the answer to one that is not.
pub(crate) async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<Result<T, Reply>, Cut> {
    let bytes = read_bytes(request).await?;
    Ok(serde_json::from_slice(&bytes).map_err(|error| {
        let message = serde_json::json!({ "message": error.to_string() });
        json(StatusCode::UNPROCESSABLE_ENTITY, &message)
    }))
}
