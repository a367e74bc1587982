//! Error responses of the callers' API.

use std::time::Duration;

use bytes::Bytes;
use cw_types::ErrorKind;
use cw_types::Ran;
use dropshot::Body;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use serde::Serialize;

/// An error that the caller gets instead of a complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ApiError {
    /// The kind, which decides the HTTP status and the code.
    pub(crate) kind: ErrorKind,
    /// Whether the request was run.
    pub(crate) ran: Ran,
    /// The message for people.
    pub(crate) message: String,
    /// The delay after which the caller may retry.
    pub(crate) retry: Duration,
}

/// The JSON body of an error response.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    code: &'static str,
    message: &'a str,
    ran: Ran,
    retryable: bool,
}

/// The default of the `Retry-After` header.
const DEFAULT_RETRY: Duration = Duration::from_secs(1);

impl ApiError {
    /// Creates an error with the standard message of its kind.
    pub(crate) fn new(kind: ErrorKind) -> Self {
        Self {
            kind,
            ran: kind.ran(),
            message: kind.message().to_owned(),
            retry: DEFAULT_RETRY,
        }
    }

    /// Creates an error for a malformed request; `detail` says what is wrong with the request.
    pub(crate) fn bad_request(detail: impl std::fmt::Display) -> Self {
        let mut error = Self::new(ErrorKind::BadRequest);
        error.message = format!("{}: {detail}", error.message);
        error
    }

    /// Sets whether the request was run.
    #[must_use]
    pub(crate) fn with_ran(mut self, ran: Ran) -> Self {
        self.ran = ran;
        self
    }

    /// Sets the delay after which the caller may retry.
    #[must_use]
    pub(crate) fn with_retry(mut self, retry: Duration) -> Self {
        self.retry = retry;
        self
    }

    /// Returns the JSON body.
    pub(crate) fn json(&self) -> String {
        let body = ErrorBody {
            error: ErrorDetail {
                code: self.kind.code(),
                message: &self.message,
                ran: self.ran,
                retryable: self.kind.is_retryable(),
            },
        };
        serde_json::to_string(&body).unwrap_or_default()
    }

    /// Returns the HTTP response, with `Retry-After` in whole seconds if the error is retryable.
    pub(crate) fn into_response(self) -> Response<Body> {
        let mut response = json_response(self.json().into());
        let status = StatusCode::from_u16(self.kind.status());
        *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        if self.kind.is_retryable() {
            let seconds = self.retry.as_millis().div_ceil(1000).max(1);
            let seconds = u64::try_from(seconds).unwrap_or(u64::MAX);
            response
                .headers_mut()
                .insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

/// Returns an HTTP response with a JSON body.
pub(crate) fn json_response(body: Bytes) -> Response<Body> {
    let mut response = Response::new(Body::wrap(http_body_util::Full::new(body)));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
