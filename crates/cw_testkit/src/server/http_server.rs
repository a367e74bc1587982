//! The server under every stand-in.

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

/// How often an address that is still taken is tried again.
const MAX_BIND_RETRIES: u32 = 50;
/// The pause between two tries.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// What answers a stand-in's requests.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers one request, or closes its connection.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<HttpResponse, NoResponse>>;
}

/// A running server.
#[derive(Debug)]
pub(crate) struct HttpServer {
    /// Where it listens.
    pub(crate) address: SocketAddr,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl HttpServer {
    /// Starts a server; everything it does passes `gate`.
    ///
    /// # Errors
    ///
    /// Fails when the address stays taken.
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

    /// Closes the port and breaks every connection.
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

/// Listens on `address`, which the server's earlier life may still be leaving.
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
    // Small events must leave at once, and a socket that cannot do so still works.
    let _ = socket.set_nodelay(true);
    let service = service_fn(move |request| Arc::clone(&handler).handle(request));
    let io = TokioIo::new(GatedIo::new(socket, gate));
    // A connection that breaks is the other side's to notice.
    let _ = http1::Builder::new().serve_connection(io, service).await;
}
