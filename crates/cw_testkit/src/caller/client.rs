//! The HTTP client of callers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::AUTHORIZATION;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use snafu::Snafu;

use super::Completion;
use super::CompletionReader;
use super::CompletionRequest;

/// The path of the completion endpoint.
const COMPLETIONS_PATH: &str = "/v1/completions";

/// A failed call.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The connection could not be opened, or it broke.
    #[snafu(display("the connection broke: {message}"))]
    Broken {
        /// A description of the failure.
        message: String,
    },
    /// The entry refused the call.
    #[snafu(display("refused with {status}: {body}"))]
    Refused {
        /// The HTTP status code.
        status: StatusCode,
        /// The JSON body of the response, or null.
        body: Value,
        /// The delay in the `Retry-After` header, if it is present.
        retry_after: Option<Duration>,
    },
}

impl CallError {
    pub(super) fn broken(error: impl std::fmt::Display) -> Self {
        let message = error.to_string();
        CallError::Broken { message }
    }

    /// Returns whether the request was run, as stated by the refusal.
    pub fn ran(&self) -> Option<&str> {
        match self {
            CallError::Refused { body, .. } => body["error"]["ran"].as_str(),
            CallError::Broken { .. } => None,
        }
    }

    /// Returns the error code of the refusal.
    pub fn code(&self) -> Option<&str> {
        match self {
            CallError::Refused { body, .. } => body["error"]["code"].as_str(),
            CallError::Broken { .. } => None,
        }
    }
}

/// The complete response to any call.
#[derive(Clone, Debug, PartialEq)]
pub struct CallResponse {
    /// The HTTP status code.
    pub status: StatusCode,
    /// The response headers.
    pub headers: HeaderMap,
    /// The response body.
    pub body: Bytes,
}

impl CallResponse {
    /// Returns the body as JSON, or null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// A client of one entry.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    /// The address of the entry.
    pub entry: SocketAddr,
    /// The API key that is sent with each call.
    pub api_key: String,
}

impl Caller {
    /// Returns a caller with its own connection pool.
    pub fn new(entry: SocketAddr, api_key: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            entry,
            api_key: api_key.to_owned(),
        }
    }

    /// Returns a copy of this caller that calls another entry.
    #[must_use]
    pub fn at(&self, entry: SocketAddr) -> Self {
        let mut caller = self.clone();
        caller.entry = entry;
        caller
    }

    /// Requests a generation and reads it to its end.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Broken`] if the connection fails or the response is malformed, and
    /// [`CallError::Refused`] if its status is not 200.
    pub async fn complete(&self, request: &CompletionRequest) -> Result<Completion, CallError> {
        if request.stream {
            return self.open_stream(request).await?.finish().await;
        }
        let response = self.post(&request.headers, &request.body()).await?;
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(CallError::broken)?;
        let value: Value = serde_json::from_slice(&body.to_bytes()).map_err(CallError::broken)?;
        let mut completion = Completion {
            closed: true,
            error: value.get("error").cloned(),
            ..Completion::default()
        };
        completion.append(&value);
        Ok(completion)
    }

    /// Requests a generation and returns a reader of its stream.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Broken`] if the connection fails or the response is malformed, and
    /// [`CallError::Refused`] if its status is not 200.
    pub async fn open_stream(
        &self,
        request: &CompletionRequest,
    ) -> Result<CompletionReader, CallError> {
        let response = self.post(&request.headers, &request.body()).await?;
        Ok(CompletionReader::new(response.into_body()))
    }

    /// Requests a generation with the given body and returns a reader of its stream.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Broken`] if the connection fails or the response is malformed, and
    /// [`CallError::Refused`] if its status is not 200.
    pub async fn open_stream_with_body(&self, body: &Value) -> Result<CompletionReader, CallError> {
        let response = self.post(&BTreeMap::new(), body).await?;
        Ok(CompletionReader::new(response.into_body()))
    }

    /// Makes any call and reads the complete response, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Broken`] if the connection cannot be opened or breaks.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &BTreeMap<String, String>,
        body: impl Into<Bytes>,
    ) -> Result<CallResponse, CallError> {
        let response = self.send(method, path, headers, body.into()).await?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(CallError::broken)?;
        Ok(CallResponse {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        })
    }

    async fn post(
        &self,
        headers: &BTreeMap<String, String>,
        body: &Value,
    ) -> Result<Response<Incoming>, CallError> {
        let body = Bytes::from(body.to_string());
        let response = self
            .send(Method::POST, COMPLETIONS_PATH, headers, body)
            .await?;
        match response.status() {
            StatusCode::OK => Ok(response),
            status => refusal(status, response).await,
        }
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &BTreeMap<String, String>,
        body: Bytes,
    ) -> Result<Response<Incoming>, CallError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.entry))
            .header(AUTHORIZATION, format!("Bearer {}", self.api_key))
            .header(CONTENT_TYPE, "application/json");
        for (name, value) in headers {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(body)).map_err(CallError::broken)?;
        self.client
            .request(request)
            .await
            .map_err(CallError::broken)
    }
}

async fn refusal(
    status: StatusCode,
    response: Response<Incoming>,
) -> Result<Response<Incoming>, CallError> {
    let retry = response.headers().get("retry-after");
    let seconds = retry.and_then(|value| value.to_str().ok()?.parse().ok());
    let body = response
        .into_body()
        .collect()
        .await
        .map_err(CallError::broken)?;
    Err(CallError::Refused {
        status,
        body: serde_json::from_slice(&body.to_bytes()).unwrap_or_default(),
        retry_after: seconds.map(Duration::from_secs),
    })
}
