//! The server for ports that carry streams of tokens.
//!
//! `dropshot` serves the operators' ports. It never sets `TCP_NODELAY` and gives no access to its
//! sockets, so each second small write waits 40 ms for a delayed acknowledgement. This server
//! also bounds connections and the time that a request's head may take.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use dropshot::Body;
use futures::future::BoxFuture;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// The most bytes of a request's head, and of what is read at once.
const BUFFER_MAX: usize = 16 << 10;

/// The pause after a connection could not be accepted, as when no file can be opened.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What answers requests.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers one request. It is dropped when the caller goes away before the answer begins.
    fn handle(self: Arc<Self>, request: Request<Body>) -> BoxFuture<'static, Response<Body>>;
}

/// Bounds on connections.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerLimits {
    /// The most connections at once; others wait to be accepted.
    pub(crate) max_connections: usize,
    /// How long the head of a request may take, and how long a connection may be idle.
    pub(crate) header_timeout: Option<Duration>,
}

/// A running server. Dropping it breaks every connection.
#[derive(Debug)]
pub(crate) struct StreamServer {
    address: SocketAddr,
    kill: CancellationToken,
    close: CancellationToken,
    tasks: TaskTracker,
}

impl StreamServer {
    /// Starts a server on the present runtime.
    ///
    /// # Errors
    ///
    /// Fails when `address` cannot be listened on.
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
            kill: CancellationToken::new(),
            close: CancellationToken::new(),
            tasks: TaskTracker::new(),
        };
        let accepting = Accepting {
            limits,
            handler,
            kill: server.kill.clone(),
            close: server.close.clone(),
            tasks: server.tasks.clone(),
        };
        server.tasks.spawn(accepting.run(listener));
        Ok(server)
    }

    /// Returns where it listens.
    pub(crate) fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Accepts nothing more, and returns when the last answer has been written out.
    pub(crate) async fn close(&self) {
        self.close.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

impl Drop for StreamServer {
    fn drop(&mut self) {
        self.kill.cancel();
    }
}

/// What accepts connections and serves them.
struct Accepting<H> {
    limits: ServerLimits,
    handler: Arc<H>,
    kill: CancellationToken,
    close: CancellationToken,
    tasks: TaskTracker,
}

impl<H: Handler> Accepting<H> {
    async fn run(self, listener: TcpListener) {
        tokio::select! {
            () = self.kill.cancelled() => {}
            () = self.close.cancelled() => {}
            () = self.accept(listener) => {}
        }
    }

    async fn accept(&self, listener: TcpListener) {
        let places = Arc::new(Semaphore::new(self.limits.max_connections));
        loop {
            let place = Arc::clone(&places).acquire_owned().await;
            let Ok((socket, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let connection = serve(
                socket,
                self.limits.header_timeout,
                Arc::clone(&self.handler),
                self.close.clone(),
            );
            let kill = self.kill.clone();
            self.tasks.spawn(async move {
                tokio::select! {
                    () = kill.cancelled() => {}
                    () = connection => {}
                }
                drop(place);
            });
        }
    }
}

async fn serve(
    socket: TcpStream,
    head: Option<Duration>,
    handler: Arc<impl Handler>,
    close: CancellationToken,
) {
    // Tokens are small and must leave at once; a socket that cannot do so still works.
    let _ = socket.set_nodelay(true);
    let service = service_fn(move |request: Request<Incoming>| {
        let answer = Arc::clone(&handler).handle(request.map(Body::wrap));
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head)
        .max_buf_size(BUFFER_MAX)
        .serve_connection(TokioIo::new(socket), service);
    let mut connection = pin!(connection);
    // A connection that breaks is the other side's to notice.
    tokio::select! {
        _ = connection.as_mut() => {}
        () = close.cancelled() => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}
