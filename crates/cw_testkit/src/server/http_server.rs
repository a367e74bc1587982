//! The HTTP server that all fakes use.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::Gate;
use super::GatedIo;
use super::HttpResponse;
use super::NoResponse;

/// The number of retries to bind an address that is still in use.
const MAX_BIND_RETRIES: u32 = 50;
/// The delay between two attempts to bind an address.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Handles the requests to a fake.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Handles one request. [`NoResponse`] closes its connection.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<HttpResponse, NoResponse>>;
}

/// A running server.
#[derive(Debug)]
pub(crate) struct HttpServer {
    /// The address that the server listens on.
    pub(crate) address: SocketAddr,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl HttpServer {
    /// Starts a server on `address`, which `gate` can pause.
    ///
    /// # Errors
    ///
    /// Returns an error if the address stays in use for all retries, or cannot be bound.
    pub(crate) async fn start<H: Handler>(
        address: SocketAddr,
        gate: Gate,
        handler: Arc<H>,
    ) -> io::Result<Self> {
        let listener = bind(address).await?;
        let server = Self {
            address: listener.local_addr()?,
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
        };
        let accept = accept(
            listener,
            gate,
            handler,
            server.tasks.clone(),
            server.stop.clone(),
        );
        let stop = server.stop.clone();
        server.tasks.spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = accept => {}
            }
        });
        Ok(server)
    }

    /// Closes the port, breaks every connection and waits until their tasks have ended.
    pub(crate) async fn kill(&self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Binds `address`, and retries while the previous server at this address still releases it.
pub(crate) async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let mut retries = 0;
    loop {
        match TcpListener::bind(address).await {
            Err(error)
                if error.kind() == io::ErrorKind::AddrInUse && retries < MAX_BIND_RETRIES =>
            {
                retries += 1;
                tokio::time::sleep(BIND_RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}

async fn accept<H: Handler>(
    listener: TcpListener,
    gate: Gate,
    handler: Arc<H>,
    tasks: TaskTracker,
    stop: CancellationToken,
) {
    loop {
        gate.wait_open().await;
        let Ok((socket, _)) = listener.accept().await else {
            continue;
        };
        let connection = serve(socket, gate.clone(), Arc::clone(&handler));
        let stop = stop.clone();
        tasks.spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = connection => {}
            }
        });
    }
}

async fn serve<H: Handler>(socket: TcpStream, gate: Gate, handler: Arc<H>) {
    // Small events are sent without delay. If the option cannot be set, the socket still works.
    let _ = socket.set_nodelay(true);
    let service = service_fn(move |request| Arc::clone(&handler).handle(request));
    let io = TokioIo::new(GatedIo::new(socket, gate));
    // The client detects a broken connection itself, so the result is not needed.
    let _ = http1::Builder::new().serve_connection(io, service).await;
}
