//! A stand-in for the store of model weights.

use std::collections::BTreeMap;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use cw_store::WeightInfo;
use cw_types::ByteSize;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::Request;
use http::StatusCode;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tokio::time::Instant;

use crate::server::Cut;
use crate::server::Gate;
use crate::server::Handler;
use crate::server::HttpServer;
use crate::server::Reply;
use crate::server::empty;
use crate::server::json;

/// Where weights are below their store.
const PREFIX: &str = "/v1/weights/";
/// What an engine reads below a set of weights.
const BYTES: &str = "/bytes";

#[derive(Debug)]
struct Shelf {
    sizes: BTreeMap<String, ByteSize>,
    rate: ByteSize,
    free: Mutex<Instant>,
}

impl Shelf {
    fn describe(&self, name: &str) -> Option<WeightInfo> {
        let size = *self.sizes.get(name)?;
        let rate = self.rate;
        Some(WeightInfo { size, rate })
    }

    /// Returns when a reader that asks now has read everything; readers take turns.
    fn due(&self, name: &str) -> Option<Instant> {
        let info = self.describe(name)?;
        let seconds = info.size.0 as f64 / info.rate.0.max(1) as f64;
        let mut free = self.free.lock().expect("no panic under this lock");
        *free = (*free).max(Instant::now()) + Duration::from_secs_f64(seconds);
        Some(*free)
    }
}

/// A stand-in for the store of model weights.
#[derive(Debug)]
pub struct WeightStore {
    /// Where it listens.
    pub address: SocketAddr,
    _server: HttpServer,
}

impl WeightStore {
    /// Starts a store that gives out `rate` bytes a second to all readers together.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub async fn start(sizes: BTreeMap<String, ByteSize>, rate: ByteSize) -> io::Result<Self> {
        let shelf = Shelf {
            sizes,
            rate,
            free: Mutex::new(Instant::now()),
        };
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let server = HttpServer::start(address, Gate::default(), Arc::new(shelf)).await?;
        Ok(Self {
            address: server.address,
            _server: server,
        })
    }
}

impl Handler for Shelf {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Reply, Cut>> {
        async move {
            let missing = Ok(empty(StatusCode::NOT_FOUND));
            let Some(name) = request.uri().path().strip_prefix(PREFIX) else {
                return missing;
            };
            if let Some(name) = name.strip_suffix(BYTES) {
                let Some(due) = self.due(name) else {
                    return missing;
                };
                tokio::time::sleep_until(due).await;
                return Ok(empty(StatusCode::OK));
            }
            match self.describe(name) {
                Some(info) => Ok(json(StatusCode::OK, &info)),
                None => missing,
            }
        }
        .boxed()
    }
}

/// Reads a set of weights, which takes as long as the store needs; returns whether it is there.
pub(crate) async fn read(store: SocketAddr, name: &str) -> bool {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let Ok(uri) = format!("http://{store}{PREFIX}{name}{BYTES}").parse() else {
        return false;
    };
    client
        .get(uri)
        .await
        .is_ok_and(|answer| answer.status() == StatusCode::OK)
}
