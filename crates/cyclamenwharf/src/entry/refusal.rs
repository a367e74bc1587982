//! Answers that say why there is no whole answer.

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

/// Why a caller gets no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    /// The kind.
    pub(crate) kind: ErrorKind,
    /// Whether the request was run.
    pub(crate) ran: Ran,
    /// What a person reads.
    pub(crate) message: String,
    /// When it is worth calling again.
    pub(crate) retry: Duration,
}

/// The body of a refusal.
#[derive(Serialize)]
struct RefusalBody<'a> {
    error: RefusalError<'a>,
}

#[derive(Serialize)]
struct RefusalError<'a> {
    code: &'static str,
    message: &'a str,
    ran: Ran,
    retryable: bool,
}

/// What `Retry-After` says when nothing says better.
const RETRY_DEFAULT: Duration = Duration::from_secs(1);

impl Refusal {
    /// Returns a refusal with the table's message.
    pub(crate) fn new(kind: ErrorKind) -> Self {
        Self {
            kind,
            ran: kind.ran(),
            message: kind.message().to_owned(),
            retry: RETRY_DEFAULT,
        }
    }

    /// Returns a refusal of a malformed request, with what is wrong with it.
    pub(crate) fn bad_request(detail: impl std::fmt::Display) -> Self {
        let mut refusal = Self::new(ErrorKind::BadRequest);
        refusal.message = format!("{}: {detail}", refusal.message);
        refusal
    }

    /// Sets whether the request was run.
    #[must_use]
    pub(crate) fn with_ran(mut self, ran: Ran) -> Self {
        self.ran = ran;
        self
    }

    /// Sets when it is worth calling again.
    #[must_use]
    pub(crate) fn with_retry(mut self, retry: Duration) -> Self {
        self.retry = retry;
        self
    }

    /// Returns the body, as JSON.
    pub(crate) fn json(&self) -> String {
        let body = RefusalBody {
            error: RefusalError {
                code: self.kind.code(),
                message: &self.message,
                ran: self.ran,
                retryable: self.kind.is_retryable(),
            },
        };
        serde_json::to_string(&body).unwrap_or_default()
    }

    /// Returns the whole answer.
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

/// Returns an answer with a JSON body.
pub(crate) fn json_response(body: Bytes) -> Response<Body> {
    let mut response = Response::new(Body::wrap(http_body_util::Full::new(body)));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
