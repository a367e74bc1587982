//! An HTTP client for the platform's services.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
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

use crate::BodyBuffer;
use crate::BodyMemory;
use crate::StoreError;
use crate::TransferProgress;
use crate::check_final_status;

/// The timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The default timeout of a call, which for a streamed response ends when its headers arrive.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum size of the body of a response. A page of the key-value service has about 1 MB, and what
/// answers at an address may send bytes without end.
const MAX_BODY_BYTES: usize = 8 << 20;

/// The status, the headers and the body of a response.
#[derive(Debug)]
pub struct HttpResponse {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// An HTTP client whose errors distinguish calls without effect from calls that may have had one.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
    /// How long a body may take while its bytes come, `None` if the timeout is for the whole call.
    transfer: Option<TransferLimits>,
    /// The memory that the bodies of concurrent responses may take.
    memory: BodyMemory,
}

/// How long the body of a response may take.
#[derive(Clone, Copy, Debug)]
struct TransferLimits {
    /// The longest time without any byte.
    silence: Duration,
    /// The longest time in all.
    total: Duration,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new(Client::builder(TokioExecutor::new()))
    }
}

impl HttpClient {
    fn new(builder: hyper_util::client::legacy::Builder) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        Self {
            client: builder.build(connector),
            timeout: DEFAULT_TIMEOUT,
            transfer: None,
            memory: BodyMemory::new(MAX_BODY_BYTES),
        }
    }

    /// Creates a client that opens a connection for each call, so that none is lost on a connection that has gone
    /// silent.
    pub fn without_reuse() -> Self {
        let mut builder = Client::builder(TokioExecutor::new());
        builder.pool_max_idle_per_host(0);
        Self::new(builder)
    }

    /// Returns a client that uses the same connection pool and ends each call after `timeout`.
    #[must_use]
    pub fn with_timeout(&self, timeout: Duration) -> Self {
        Self {
            timeout,
            ..self.clone()
        }
    }

    /// Returns a client that uses the same connection pool and whose timeout ends with the headers of a response. The
    /// body may take longer while its bytes come: at most `silence` between two parts of it, and `total` in all.
    #[must_use]
    pub fn with_transfer(&self, silence: Duration, total: Duration) -> Self {
        Self {
            transfer: Some(TransferLimits { silence, total }),
            ..self.clone()
        }
    }

    /// Returns a client that uses the same connection pool and whose responses count towards `memory`. By default,
    /// the concurrent responses to one client and its clones may take as much as the longest one.
    #[must_use]
    pub fn with_memory(&self, memory: &BodyMemory) -> Self {
        Self {
            memory: memory.clone(),
            ..self.clone()
        }
    }

    /// Sends a `GET` request and parses the JSON body of a response with status 200.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::Unavailable`] if the service cannot be reached or responds with
    /// another status, with [`StoreError::OutcomeUnknown`] if no complete response arrives, and
    /// with [`StoreError::Protocol`] if the body is not JSON of the type `T`.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, StoreError> {
        let response = self.call(Method::GET, address, path, Bytes::new()).await?;
        match response.status {
            StatusCode::OK => parse_json(&response.body),
            status => Err(StoreError::Unavailable {
                message: format!("{address} returned status {status}"),
            }),
        }
    }

    /// Sends a request and reads the complete response, whatever its status.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::Unavailable`] if the call had no effect, and with
    /// [`StoreError::OutcomeUnknown`] if it may have had one.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<HttpResponse, StoreError> {
        let progress = TransferProgress::default();
        self.call_with_progress(method, address, path, body, &progress)
            .await
    }

    /// Sends a request and reads the complete response, and records how much of its body has arrived.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::call`].
    pub async fn call_with_progress(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
        progress: &TransferProgress,
    ) -> Result<HttpResponse, StoreError> {
        let head = self.send(method, address, path, body);
        let Some(limits) = self.transfer else {
            let call = async { self.read_response(head.await?, None, progress).await };
            return self.with_deadline(address, call).await;
        };
        let response = self.with_deadline(address, head).await?;
        let body = self.read_response(response, Some(limits.silence), progress);
        tokio::time::timeout(limits.total, body)
            .await
            .unwrap_or_else(|_| Err(incomplete(limits.total)))
    }

    /// Sends a `POST` request and returns once the response headers arrive, with the body unread.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::Unavailable`] if the call had no effect, and with
    /// [`StoreError::OutcomeUnknown`] if it may have had one.
    pub async fn post_streaming(
        &self,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, StoreError> {
        self.with_deadline(address, self.send(Method::POST, address, path, body))
            .await
    }

    async fn with_deadline<T>(
        &self,
        address: SocketAddr,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let timed_out = || StoreError::OutcomeUnknown {
            message: format!("no response from {address} within {:?}", self.timeout),
        };
        tokio::time::timeout(self.timeout, call)
            .await
            .unwrap_or_else(|_| Err(timed_out()))
    }

    async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, StoreError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| StoreError::Unavailable {
                message: error.to_string(),
            })?;
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                let message = format!("cannot connect to {address}: {error}");
                return StoreError::Unavailable { message };
            }
            outcome_unknown(error)
        })?;
        check_final_status(response.status()).map_err(outcome_unknown)?;
        Ok(response)
    }

    /// Reads a response to its end. `silence` is the longest time between two parts of its body.
    async fn read_response(
        &self,
        response: Response<Incoming>,
        silence: Option<Duration>,
        progress: &TransferProgress,
    ) -> Result<HttpResponse, StoreError> {
        let (head, mut body) = response.into_parts();
        let mut read = BodyBuffer::new(MAX_BODY_BYTES, &self.memory);
        loop {
            let frame = body.frame();
            let frame = match silence {
                Some(silence) => tokio::time::timeout(silence, frame)
                    .await
                    .map_err(|_| incomplete(silence))?,
                None => frame.await,
            };
            let Some(frame) = frame else {
                break;
            };
            // Trailers are not part of the body.
            if let Ok(data) = frame.map_err(outcome_unknown)?.into_data() {
                progress.add(data.len());
                read.push(&data).map_err(outcome_unknown)?;
            }
        }
        Ok(HttpResponse {
            status: head.status,
            headers: head.headers,
            body: read.into_bytes(),
        })
    }
}

fn incomplete(limit: Duration) -> StoreError {
    StoreError::OutcomeUnknown {
        message: format!("the response is not complete after {limit:?}"),
    }
}

fn outcome_unknown(error: impl std::fmt::Display) -> StoreError {
    StoreError::OutcomeUnknown {
        message: error.to_string(),
    }
}

/// Parses the JSON body of a service's response.
///
/// # Errors
///
/// Fails with [`StoreError::Protocol`] if the body is not JSON of the type `T`.
pub fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|error| StoreError::Protocol {
        message: error.to_string(),
    })
}
