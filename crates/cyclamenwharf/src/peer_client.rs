//! The HTTP client for the interfaces between processes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cw_store::BodyBuffer;
use cw_store::BodyMemory;
use cw_wire::Frame;
use cw_wire::FrameCodec;
use cw_wire::WireError;
use cw_wire::path::SECRET_HEADER;
use futures::Stream;
use futures::StreamExt;
use futures::TryStreamExt;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use snafu::Snafu;
use tokio_util::codec::FramedRead;
use tokio_util::io::StreamReader;

/// The timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The maximum size of the body of a response, which is the limit of messages between processes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// The memory that the bodies of concurrent responses may take, in bytes: two of the longest.
const MAX_BODIES_BYTES: usize = 2 * MAX_BODY_BYTES;

/// An error of a call to a peer.
#[derive(Debug, Snafu)]
pub enum PeerError {
    /// The connection could not be established, so the call had no effect.
    #[snafu(display("cannot connect to {peer}: {message}"))]
    Connect {
        /// The address of the peer.
        peer: SocketAddr,
        /// The text of the underlying error.
        message: String,
    },
    /// The connection broke after the peer may have received the call.
    #[snafu(display("the connection to {peer} broke: {message}"))]
    Broken {
        /// The address of the peer.
        peer: SocketAddr,
        /// The text of the underlying error.
        message: String,
    },
    /// The peer did not respond in time.
    #[snafu(display("no response from {peer} within {timeout:?}"))]
    Timeout {
        /// The address of the peer.
        peer: SocketAddr,
        /// How long the client waited for the response, or for its head if it is streamed.
        timeout: Duration,
    },
    /// The peer responded with an error status.
    #[snafu(display("{peer} responded with {status}"))]
    Status {
        /// The address of the peer.
        peer: SocketAddr,
        /// The HTTP status of the response.
        status: StatusCode,
    },
    /// A message could not be encoded or decoded.
    #[snafu(display("{source}"))]
    Wire {
        /// The encoding error.
        source: WireError,
    },
}

/// A client for the interfaces between processes, with its own connection pool.
#[derive(Clone, Debug)]
pub struct PeerClient {
    client: Client<HttpConnector, Full<Bytes>>,
    secret: String,
    /// The memory that the bodies of concurrent responses may take.
    memory: BodyMemory,
}

impl PeerClient {
    /// Returns a client that authenticates to its peers with `secret`.
    pub fn new(secret: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            secret: secret.to_owned(),
            memory: BodyMemory::new(MAX_BODIES_BYTES),
        }
    }

    /// Returns a client with an empty connection pool, so that its first call opens a connection.
    ///
    /// This helps when a pooled connection has stopped delivering data while new connections work.
    #[must_use]
    pub fn with_new_pool(&self) -> Self {
        Self {
            memory: self.memory.clone(),
            ..Self::new(&self.secret)
        }
    }

    /// Sends a message and reads the response.
    ///
    /// # Errors
    ///
    /// See [`PeerError`]. Only `Connect` and `Status` guarantee that the call had no effect.
    pub async fn call<M, A>(
        &self,
        peer: SocketAddr,
        path: &str,
        message: &M,
        timeout: Duration,
    ) -> Result<A, PeerError>
    where
        M: Serialize,
        A: DeserializeOwned,
    {
        let work = async {
            let response = self.post(peer, path, message).await?;
            let body = BodyBuffer::new(MAX_BODY_BYTES, &self.memory).read(response.into_body());
            let body = body.await.map_err(|error| {
                let message = error.to_string();
                PeerError::Broken { peer, message }
            })?;
            cw_wire::decode(&body).context(WireSnafu)
        };
        tokio::time::timeout(timeout, work)
            .await
            .unwrap_or(Err(PeerError::Timeout { peer, timeout }))
    }

    /// Sends a message and returns the frames of the response.
    ///
    /// The timeout applies to the head of the response only, not to the frames.
    ///
    /// # Errors
    ///
    /// See [`PeerError`]. Only `Connect` and `Status` guarantee that the call had no effect.
    pub async fn frames<M: Serialize>(
        &self,
        peer: SocketAddr,
        path: &str,
        message: &M,
        timeout: Duration,
    ) -> Result<impl Stream<Item = Result<Frame, WireError>> + Send + Unpin + use<M>, PeerError>
    {
        let response = tokio::time::timeout(timeout, self.post(peer, path, message))
            .await
            .unwrap_or(Err(PeerError::Timeout { peer, timeout }))?;
        let bytes = response
            .into_body()
            .into_data_stream()
            .map_err(std::io::Error::other)
            .boxed();
        Ok(FramedRead::new(
            StreamReader::new(bytes),
            FrameCodec::default(),
        ))
    }

    async fn post<M: Serialize>(
        &self,
        peer: SocketAddr,
        path: &str,
        message: &M,
    ) -> Result<Response<Incoming>, PeerError> {
        let body = cw_wire::encode(message).context(WireSnafu)?;
        let request = Request::post(format!("http://{peer}{path}"))
            .header(SECRET_HEADER, &self.secret)
            .body(Full::new(body))
            .map_err(|error| {
                let message = error.to_string();
                PeerError::Connect { peer, message }
            })?;
        let response = self.client.request(request).await.map_err(|error| {
            let message = error.to_string();
            match error.is_connect() {
                true => PeerError::Connect { peer, message },
                false => PeerError::Broken { peer, message },
            }
        })?;
        match response.status() {
            StatusCode::OK => Ok(response),
            status => Err(PeerError::Status { peer, status }),
        }
    }
}
