//! Calls to the platform's services over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;

use crate::StoreError;

/// How long a connection may take to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a call may take as a rule.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// An answer's status and body.
#[derive(Debug)]
pub struct HttpResponse {
    /// The HTTP status.
    pub status: StatusCode,
    /// The whole body.
    pub body: Bytes,
}

/// An HTTP client whose errors say whether the call may have had an effect.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl Default for HttpClient {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            timeout: CALL_TIMEOUT,
        }
    }
}

impl HttpClient {
    /// Returns a client that shares its connections, and gives its calls another time.
    #[must_use]
    pub fn with_timeout(&self, timeout: Duration) -> Self {
        Self {
            client: self.client.clone(),
            timeout,
        }
    }

    /// Sends a `GET` and reads JSON from an answer with status 200.
    ///
    /// # Errors
    ///
    /// Says whether the call may have had an effect.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        path: &str,
    ) -> Result<T, StoreError> {
        let answer = self.call(Method::GET, peer, path, Bytes::new()).await?;
        match answer.status {
            StatusCode::OK => parse_json(&answer.body),
            status => Err(StoreError::Unavailable {
                message: format!("{peer} answered {status}"),
            }),
        }
    }

    /// Sends a call and reads the whole answer, whatever its status.
    ///
    /// # Errors
    ///
    /// Says whether the call may have had an effect.
    pub async fn call(
        &self,
        method: Method,
        peer: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<HttpResponse, StoreError> {
        let work = async {
            let response = self.send(method, peer, path, body).await?;
            let status = response.status();
            let body = response.into_body().collect().await.map_err(lost)?;
            Ok(HttpResponse {
                status,
                body: body.to_bytes(),
            })
        };
        self.in_time(peer, work).await
    }

    /// Sends a call and returns as soon as the head of the answer is there.
    ///
    /// # Errors
    ///
    /// Says whether the call may have had an effect.
    pub async fn post_streaming(
        &self,
        peer: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, StoreError> {
        self.in_time(peer, self.send(Method::POST, peer, path, body))
            .await
    }

    async fn in_time<T>(
        &self,
        peer: SocketAddr,
        work: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let late = || StoreError::OutcomeUnknown {
            message: format!("no answer from {peer} in {:?}", self.timeout),
        };
        tokio::time::timeout(self.timeout, work)
            .await
            .unwrap_or_else(|_| Err(late()))
    }

    async fn send(
        &self,
        method: Method,
        peer: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, StoreError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{peer}{path}"))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| StoreError::Unavailable {
                message: error.to_string(),
            })?;
        self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                let message = format!("cannot connect to {peer}: {error}");
                return StoreError::Unavailable { message };
            }
            lost(error)
        })
    }
}

fn lost(error: impl std::fmt::Display) -> StoreError {
    StoreError::OutcomeUnknown {
        message: error.to_string(),
    }
}

/// Reads JSON that a service answered.
///
/// # Errors
///
/// Fails when the body is not what the caller expects.
pub fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|error| StoreError::Protocol {
        message: error.to_string(),
    })
}
