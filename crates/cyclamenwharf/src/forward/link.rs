//! One connection to a target.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
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

/// How long a connection may take to be made. Targets are milliseconds away; the rest is for a
/// lost packet, whose first repetition comes after a second, when another target is better.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a quiet connection is left alone before the system asks whether the peer lives, and
/// between two such questions. A second is the least that the system takes.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);

/// How many questions may go unanswered.
const KEEPALIVE_RETRIES: u32 = 2;

/// How long sent bytes may stay unacknowledged.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(1500);

/// A connection that could not be made.
#[derive(Debug, Snafu)]
pub(super) enum LinkError {
    /// The target does not listen, or cannot be reached.
    #[snafu(display("cannot connect: {source}"))]
    Connect {
        /// The cause.
        source: io::Error,
    },
    /// Nothing came back.
    #[snafu(display("no connection in {CONNECT_TIMEOUT:?}"))]
    Timeout,
    /// The connection could not be used.
    #[snafu(display("cannot use the connection: {source}"))]
    Handshake {
        /// The cause.
        source: hyper::Error,
    },
}

/// One connection, for one request at a time. Dropping it closes it, which cancels the request.
#[derive(Debug)]
pub(super) struct Link {
    sender: http1::SendRequest<Full<Bytes>>,
    _driver: AbortOnDropHandle<()>,
}

impl Link {
    /// Makes a connection.
    pub(super) async fn connect(address: SocketAddr) -> Result<Self, LinkError> {
        let socket = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| LinkError::Timeout)?
            .context(ConnectSnafu)?;
        tune(&socket).context(ConnectSnafu)?;
        let (sender, connection) = http1::handshake(TokioIo::new(socket))
            .await
            .context(HandshakeSnafu)?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                // Whoever waits for an answer on it gets an error too, and decides on that.
                debug!(target_address = address.to_string(); "a connection broke: {error}");
            }
        });
        Ok(Self {
            sender,
            _driver: AbortOnDropHandle::new(driver),
        })
    }

    /// Returns whether a request can be sent now.
    pub(super) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request.
    ///
    /// # Errors
    ///
    /// [`hyper::Error::is_canceled`] tells that nothing of it was sent.
    pub(super) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, hyper::Error> {
        self.sender.send_request(request).await
    }
}

fn tune(socket: &TcpStream) -> io::Result<()> {
    socket.set_nodelay(true)?;
    let socket = SockRef::from(socket);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_PERIOD)
        .with_interval(KEEPALIVE_PERIOD)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))
}
