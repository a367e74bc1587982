//! A connection to a target.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cw_store::NoFinalStatus;
use cw_store::check_final_status;
use cw_types::Incarnation;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use log::debug;
use snafu::ResultExt;
use snafu::Snafu;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

use super::head_limit::HeadLimit;
use super::head_limit::LimitedSocket;
use super::upload::Upload;
use super::upload::UploadProgress;

/// The timeout for connecting. Targets are milliseconds away. A lost packet is resent only after a
/// second, when another target is the better choice.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The idle time before the first keepalive probe, and the interval between probes. One second is
/// the minimum of the operating system.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);

/// The number of unanswered keepalive probes after which the connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;

/// The maximum time that sent bytes may remain unacknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1500);

/// The size of the read buffer in bytes, which also limits the head of an answer. A target in trouble can fill the
/// buffers of all its connections, and what one turn of a connection parses.
const MAX_BUFFER_BYTES: usize = 32 << 10;

/// A failure to connect.
#[derive(Debug, Snafu)]
pub(super) enum ConnectError {
    /// The target does not listen or cannot be reached.
    #[snafu(display("cannot connect: {source}"))]
    Connect {
        /// The error of connecting or of setting the socket options.
        source: io::Error,
    },
    /// The target did not answer in time.
    #[snafu(display("no connection within {CONNECT_TIMEOUT:?}"))]
    Timeout,
    /// The HTTP handshake failed.
    #[snafu(display("HTTP handshake failed: {source}"))]
    Handshake {
        /// The error of the HTTP/1 handshake.
        source: hyper::Error,
    },
}

impl ConnectError {
    /// Returns whether the host of the target answered that nothing listens at the address. A target
    /// with too many connections resets them instead.
    pub(super) fn is_refused(&self) -> bool {
        let ConnectError::Connect { source } = self else {
            return false;
        };
        source.kind() == io::ErrorKind::ConnectionRefused
    }
}

/// A failure to get the head of an answer.
#[derive(Debug, Snafu)]
pub(super) enum SendError {
    /// The connection failed, or what came on it cannot be parsed.
    #[snafu(display("{source:?}"))]
    Connection {
        /// The error of the HTTP/1 connection.
        source: hyper::Error,
    },
    /// The head that came is not that of an answer.
    #[snafu(display("{source}"))]
    Status {
        /// The status in the head.
        source: NoFinalStatus,
    },
}

impl SendError {
    /// Returns whether the connection failed, rather than what came on it.
    pub(super) fn is_connection(&self) -> bool {
        matches!(self, SendError::Connection { .. })
    }

    /// Returns whether no part of the request was sent.
    pub(super) fn is_unsent(&self) -> bool {
        match self {
            SendError::Connection { source } => source.is_canceled(),
            SendError::Status { .. } => false,
        }
    }
}

/// A connection for one request at a time. Dropping it closes the connection, which cancels the
/// request.
#[derive(Debug)]
pub(super) struct TargetConnection {
    /// The incarnation that has told at this connection what it is. A connection ends with its target, so later
    /// answers on it are of the same incarnation.
    pub(super) verified: Option<Incarnation>,
    sender: http1::SendRequest<Upload>,
    /// How much of the last request has been written.
    upload: UploadProgress,
    head_limit: HeadLimit,
    _driver: AbortOnDropHandle<()>,
}

impl TargetConnection {
    /// Connects to a target.
    pub(super) async fn connect(address: SocketAddr) -> Result<Self, ConnectError> {
        let socket = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| ConnectError::Timeout)?
            .context(ConnectSnafu)?;
        set_options(&socket).context(ConnectSnafu)?;
        let head_limit = HeadLimit::default();
        let socket = LimitedSocket::new(socket, head_limit.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(socket))
            .await
            .context(HandshakeSnafu)?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                // The request that waits for an answer on this connection fails as well, and is
                // handled there.
                debug!(
                    target_address = address.to_string();
                    "the connection to a target failed: {error}"
                );
            }
        });
        Ok(Self {
            verified: None,
            sender,
            upload: UploadProgress::default(),
            head_limit,
            _driver: AbortOnDropHandle::new(driver),
        })
    }

    /// Returns whether the connection has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns whether a request can be sent now.
    pub(super) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until a request can be sent.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended.
    pub(super) async fn ready(&mut self) -> Result<(), hyper::Error> {
        self.sender.ready().await
    }

    /// Returns whether the last request has been written to its end.
    pub(super) fn has_written_request(&self) -> bool {
        self.upload.is_complete()
    }

    /// Sends a request.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, or brings something else than an answer.
    pub(super) async fn send(
        &mut self,
        request: Request<Bytes>,
    ) -> Result<Response<Incoming>, SendError> {
        let (head, body) = request.into_parts();
        let (body, progress) = Upload::new(body);
        let request = Request::from_parts(head, body);
        self.upload = progress;
        self.head_limit.start();
        let answer = self.sender.send_request(request).await;
        self.head_limit.lift();
        let answer = answer.context(ConnectionSnafu)?;
        check_final_status(answer.status()).context(StatusSnafu)?;
        Ok(answer)
    }
}

fn set_options(socket: &TcpStream) -> io::Result<()> {
    socket.set_nodelay(true)?;
    let socket = SockRef::from(socket);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_PERIOD)
        .with_interval(KEEPALIVE_PERIOD)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
