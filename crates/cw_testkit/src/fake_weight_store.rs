//! A fake of the store of model weights.

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

use crate::server::Gate;
use crate::server::Handler;
use crate::server::HttpResponse;
use crate::server::HttpServer;
use crate::server::NoResponse;
use crate::server::empty_response;
use crate::server::json_response;

/// The path under which the store lists sets of weights.
const WEIGHTS_PATH: &str = "/v1/weights/";
/// The path suffix under which an engine reads the content of a set of weights.
const BYTES_SUFFIX: &str = "/bytes";

#[derive(Debug)]
struct Weights {
    sizes: BTreeMap<String, ByteSize>,
    rate: ByteSize,
    idle_at: Mutex<Instant>,
}

impl Weights {
    fn info(&self, name: &str) -> Option<WeightInfo> {
        let size = *self.sizes.get(name)?;
        let rate = self.rate;
        Some(WeightInfo { size, rate })
    }

    /// Returns when a read that is requested now ends. Reads are served one after another, so each
    /// starts when the earlier ones have ended.
    fn read_end(&self, name: &str) -> Option<Instant> {
        let info = self.info(name)?;
        let seconds = info.size.0 as f64 / info.rate.0.max(1) as f64;
        let mut idle_at = self.idle_at.lock().expect("no panic under this lock");
        *idle_at = (*idle_at).max(Instant::now()) + Duration::from_secs_f64(seconds);
        Some(*idle_at)
    }
}

/// A fake of the store of model weights.
#[derive(Debug)]
pub struct FakeWeightStore {
    /// The address that the fake listens on.
    pub address: SocketAddr,
    _server: HttpServer,
}

impl FakeWeightStore {
    /// Starts a store with weights of these sizes, by name. All readers together read `rate` bytes
    /// per second.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub async fn start(sizes: BTreeMap<String, ByteSize>, rate: ByteSize) -> io::Result<Self> {
        let weights = Weights {
            sizes,
            rate,
            idle_at: Mutex::new(Instant::now()),
        };
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let server = HttpServer::start(address, Gate::default(), Arc::new(weights)).await?;
        Ok(Self {
            address: server.address,
            _server: server,
        })
    }
}

impl Handler for Weights {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<HttpResponse, NoResponse>> {
        async move {
            let not_found = Ok(empty_response(StatusCode::NOT_FOUND));
            let Some(name) = request.uri().path().strip_prefix(WEIGHTS_PATH) else {
                return not_found;
            };
            if let Some(name) = name.strip_suffix(BYTES_SUFFIX) {
                let Some(read_end) = self.read_end(name) else {
                    return not_found;
                };
                tokio::time::sleep_until(read_end).await;
                return Ok(empty_response(StatusCode::OK));
            }
            match self.info(name) {
                Some(info) => Ok(json_response(StatusCode::OK, &info)),
                None => not_found,
            }
        }
        .boxed()
    }
}

/// Reads a set of weights at the rate of the store. Returns whether the store has it.
pub(crate) async fn read_weights(store: SocketAddr, name: &str) -> bool {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let Ok(uri) = format!("http://{store}{WEIGHTS_PATH}{name}{BYTES_SUFFIX}").parse() else {
        return false;
    };
    client
        .get(uri)
        .await
        .is_ok_and(|response| response.status() == StatusCode::OK)
}
