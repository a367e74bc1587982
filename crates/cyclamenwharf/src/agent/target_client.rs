//! The HTTP client of the target, which is an engine or a plain service.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cw_store::BodyBuffer;
use cw_store::BodyMemory;
use cw_store::check_final_status;
use cw_types::AttemptId;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use snafu::Snafu;

/// The timeout for establishing a connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The largest response to a control call, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// The memory that concurrent responses may take, in bytes: some of the longest.
const MAX_RESPONSES_BYTES: usize = 4 * MAX_RESPONSE_BYTES;

/// An error of a call to the target.
#[derive(Debug, Snafu)]
pub(super) enum TargetClientError {
    /// The target's address refuses connections, so the call had no effect.
    #[snafu(display("the target refuses connections"))]
    Refused,
    /// The connection could not be established, so the call had no effect.
    #[snafu(display("cannot connect to the target: {message}"))]
    Connect {
        /// The text of the underlying error.
        message: String,
    },
    /// The connection broke after the target may have received the call.
    #[snafu(display("the connection to the target broke: {message}"))]
    Broken {
        /// The text of the underlying error.
        message: String,
    },
    /// The target did not respond in time.
    #[snafu(display("no response from the target within {timeout:?}"))]
    Timeout {
        /// How long the client waited for the target.
        timeout: Duration,
    },
}

/// A client of a single target.
///
/// Each call opens its own connection, so that a broken connection affects its call only, and a
/// call whose connection was never established has certainly not been received.
#[derive(Clone, Debug)]
pub(super) struct TargetClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    /// The memory that the responses to concurrent control calls may take.
    memory: BodyMemory,
}

impl TargetClientError {
    /// Returns whether the call certainly had no effect.
    pub(super) fn had_no_effect(&self) -> bool {
        matches!(
            self,
            TargetClientError::Refused | TargetClientError::Connect { .. }
        )
    }
}

impl TargetClient {
    /// Returns a client for the target at `address`.
    pub(super) fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            client,
            address,
            memory: BodyMemory::new(MAX_RESPONSES_BYTES),
        }
    }

    /// Sends a call and returns the response, whose body is still to be read.
    ///
    /// # Errors
    ///
    /// Only `Refused` and `Connect` guarantee that the call had no effect.
    pub(super) async fn send(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<Response<Incoming>, TargetClientError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .body(Full::new(body))
            .map_err(|error| TargetClientError::Connect {
                message: error.to_string(),
            })?;
        request.headers_mut().extend(headers);
        let response = self.client.request(request).await.map_err(|error| {
            let message = error.to_string();
            match error.is_connect() {
                true if is_refused(&error) => TargetClientError::Refused,
                true => TargetClientError::Connect { message },
                false => TargetClientError::Broken { message },
            }
        })?;
        check_final_status(response.status()).map_err(|error| TargetClientError::Broken {
            message: error.to_string(),
        })?;
        Ok(response)
    }

    /// Posts JSON and returns the response, whose body is still to be read.
    ///
    /// # Errors
    ///
    /// Only `Refused` and `Connect` guarantee that the call had no effect.
    pub(super) async fn post<M: Serialize>(
        &self,
        path: &str,
        message: &M,
    ) -> Result<Response<Incoming>, TargetClientError> {
        let body = serde_json::to_vec(message).map_err(|error| TargetClientError::Connect {
            message: error.to_string(),
        })?;
        let json = http::HeaderValue::from_static("application/json");
        let headers = HeaderMap::from_iter([(CONTENT_TYPE, json)]);
        self.send(Method::POST, path, headers, body.into()).await
    }

    /// Sends a control call and reads the complete response.
    ///
    /// # Errors
    ///
    /// Only `Refused` and `Connect` guarantee that the call had no effect.
    pub(super) async fn control<M: Serialize>(
        &self,
        path: &str,
        message: Option<&M>,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), TargetClientError> {
        let work = async {
            let response = match message {
                Some(message) => self.post(path, message).await?,
                None => self.get(path).await?,
            };
            let status = response.status();
            let body = BodyBuffer::new(MAX_RESPONSE_BYTES, &self.memory).read(response.into_body());
            let body = body.await.map_err(|error| TargetClientError::Broken {
                message: error.to_string(),
            })?;
            Ok((status, body))
        };
        tokio::time::timeout(timeout, work)
            .await
            .unwrap_or(Err(TargetClientError::Timeout { timeout }))
    }

    /// Requests that the engine stops an attempt.
    pub(super) async fn abort(
        &self,
        id: AttemptId,
        timeout: Duration,
    ) -> Result<(), TargetClientError> {
        let message = super::engine_json::AbortRequest {
            request_id: id.to_string(),
        };
        self.control("/v1/abort", Some(&message), timeout)
            .await
            .map(drop)
    }

    /// Checks that the target accepts connections.
    pub(super) async fn check_connection(&self) -> Result<(), TargetClientError> {
        let connection = tokio::net::TcpStream::connect(self.address);
        match tokio::time::timeout(CONNECT_TIMEOUT, connection).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(error)) if is_refused(&error) => Err(TargetClientError::Refused),
            Ok(Err(error)) => Err(TargetClientError::Connect {
                message: error.to_string(),
            }),
            Err(_) => Err(TargetClientError::Timeout {
                timeout: CONNECT_TIMEOUT,
            }),
        }
    }

    async fn get(&self, path: &str) -> Result<Response<Incoming>, TargetClientError> {
        self.send(Method::GET, path, HeaderMap::new(), Bytes::new())
            .await
    }
}

/// Returns whether an error was caused by a refused connection.
///
/// A connection that only times out does not count, because the target may be paused or
/// overloaded.
fn is_refused(error: &(dyn std::error::Error + 'static)) -> bool {
    let refused = |error: &std::io::Error| error.kind() == std::io::ErrorKind::ConnectionRefused;
    std::iter::successors(Some(error), |error| error.source())
        .filter_map(|error| error.downcast_ref::<std::io::Error>())
        .any(refused)
}
