//! The HTTP server for ports that stream tokens.
//!
//! `dropshot`, which serves the operators' ports, does not set `TCP_NODELAY` and gives no access to
//! its sockets, so that every second small write waits 40 ms for a delayed acknowledgement. This
//! server sets the option, and limits the number of connections and the time to read the head of a
//! request.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use cw_policy::forward::CloseStep;
use cw_policy::forward::ConnectionClose;
use dropshot::Body;
use futures::future::BoxFuture;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use log::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::Clock;
use crate::caller_socket::CallerSocket;

/// The size of the read buffer in bytes, which also limits the head of a request.
const MAX_BUFFER_BYTES: usize = 16 << 10;

/// The pause after a failed accept, such as when the process has no free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Handles the requests of a server.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Responds to one request. The future is dropped if the client disconnects before the response
    /// starts.
    fn handle(self: Arc<Self>, request: Request<Body>) -> BoxFuture<'static, Response<Body>>;
}

/// Limits on connections.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerLimits {
    /// The highest number of concurrent connections; further ones wait to be accepted.
    pub(crate) max_connections: usize,
    /// The time limit for reading the head of a request, which also limits idle connections.
    pub(crate) header_timeout: Option<Duration>,
}

/// A running server. Dropping it aborts all connections.
#[derive(Debug)]
pub(crate) struct StreamServer {
    address: SocketAddr,
    abort: CancellationToken,
    shutdown: CancellationToken,
    tasks: TaskTracker,
}

impl StreamServer {
    /// Starts a server on the current runtime.
    ///
    /// # Errors
    ///
    /// Fails if `address` cannot be bound.
    pub(crate) fn start(
        address: SocketAddr,
        limits: ServerLimits,
        handler: Arc<impl Handler>,
    ) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let server = Self {
            address: listener.local_addr()?,
            abort: CancellationToken::new(),
            shutdown: CancellationToken::new(),
            tasks: TaskTracker::new(),
        };
        let acceptor = Acceptor {
            limits,
            handler,
            abort: server.abort.clone(),
            shutdown: server.shutdown.clone(),
            tasks: server.tasks.clone(),
        };
        server.tasks.spawn(acceptor.run(listener));
        Ok(server)
    }

    /// Returns the address on which the server listens.
    pub(crate) fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections, and returns when the last response has been written.
    pub(crate) async fn close(&self) {
        self.shutdown.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

impl Drop for StreamServer {
    fn drop(&mut self) {
        self.abort.cancel();
    }
}

/// Accepts connections and serves them.
struct Acceptor<H> {
    limits: ServerLimits,
    handler: Arc<H>,
    abort: CancellationToken,
    shutdown: CancellationToken,
    tasks: TaskTracker,
}

impl<H: Handler> Acceptor<H> {
    async fn run(self, listener: TcpListener) {
        tokio::select! {
            () = self.abort.cancelled() => {}
            () = self.shutdown.cancelled() => self.accept_waiting(listener),
            () = self.accept(&listener) => {}
        }
    }

    async fn accept(&self, listener: &TcpListener) {
        let permits = Arc::new(Semaphore::new(self.limits.max_connections));
        loop {
            let permit = Arc::clone(&permits).acquire_owned().await;
            let Ok((socket, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            self.serve(socket, permit.ok());
        }
    }

    /// Accepts the connections that wait, and closes the port. They would be reset otherwise, with requests in them.
    fn accept_waiting(&self, listener: TcpListener) {
        let listener = match listener.into_std() {
            Ok(listener) => listener,
            Err(error) => {
                warn!("failed to accept the last connections: {error}");
                return;
            }
        };
        // The listener does not block, so the first error is that none waits any more.
        while let Ok((socket, _)) = listener.accept() {
            let socket = socket.set_nonblocking(true).map(|()| socket);
            match socket.and_then(TcpStream::from_std) {
                Ok(socket) => self.serve(socket, None),
                Err(error) => warn!("failed to accept one of the last connections: {error}"),
            }
        }
    }

    fn serve(&self, socket: TcpStream, permit: Option<OwnedSemaphorePermit>) {
        let connection = serve_connection(
            socket,
            self.limits.header_timeout,
            Arc::clone(&self.handler),
            self.shutdown.clone(),
        );
        let abort = self.abort.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                () = abort.cancelled() => {}
                () = connection => {}
            }
            drop(permit);
        });
    }
}

async fn serve_connection(
    socket: TcpStream,
    header_timeout: Option<Duration>,
    handler: Arc<impl Handler>,
    shutdown: CancellationToken,
) {
    // Tokens are small and must be sent without delay. An error is ignored: the socket still works.
    let _ = socket.set_nodelay(true);
    let socket = CallerSocket::new(socket);
    let served = socket.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        served.assign_bytes();
        let response = Arc::clone(&handler).handle(request.map(Body::wrap));
        let served = served.clone();
        async move {
            let response = response.await;
            served.assign_bytes();
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(TokioIo::new(socket.clone()), service);
    let mut connection = pin!(connection);
    // Connection errors are ignored: the client sees them itself.
    tokio::select! {
        biased;
        _ = connection.as_mut() => return,
        () = shutdown.cancelled() => {}
    }
    let clock = Clock::default();
    let mut close = ConnectionClose::new(clock.now());
    while let CloseStep::Serve(pause) = close.next_step(clock.now(), socket.has_bytes()) {
        if tokio::time::timeout(pause, connection.as_mut())
            .await
            .is_ok()
        {
            return;
        }
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
