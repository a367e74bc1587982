//! A stand-in for a plain service.

use std::collections::BTreeMap;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use http::Request;
use http::StatusCode;
use hyper::body::Incoming;
use serde_json::json;

use crate::server::Cut;
use crate::server::Gate;
use crate::server::Handler;
use crate::server::HttpServer;
use crate::server::Reply;
use crate::server::json as json_reply;
use crate::server::read_bytes;

#[derive(Debug, Default)]
struct State {
    runs: BTreeMap<String, u64>,
    delay: Duration,
}

#[derive(Debug, Default)]
struct Shared(Mutex<State>);

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no panic under this lock")
    }

    /// Counts the call before its delay: once begun, it has had its effect.
    fn begin(&self, body: &str) -> (u64, Duration) {
        let mut state = self.lock();
        let runs = state.runs.entry(body.to_owned()).or_default();
        *runs += 1;
        (*runs, state.delay)
    }
}

/// A service that answers each call with its own method, path and body, and counts calls by body.
#[derive(Debug)]
pub struct PlainService {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    gate: Gate,
    server: tokio::sync::Mutex<Option<HttpServer>>,
}

impl PlainService {
    /// Starts a service.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub async fn start() -> io::Result<Self> {
        let shared = Arc::<Shared>::default();
        let gate = Gate::default();
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let server = HttpServer::start(address, gate.clone(), Arc::clone(&shared)).await?;
        Ok(Self {
            address: server.address,
            shared,
            gate,
            server: tokio::sync::Mutex::new(Some(server)),
        })
    }

    /// Sets how long each call takes after it has had its effect.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.lock().delay = delay;
    }

    /// Returns how many times each body was executed.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.shared.lock().runs.clone()
    }

    /// Returns the switch that pauses the service.
    pub fn gate(&self) -> &Gate {
        &self.gate
    }

    /// Kills the service: its port closes and every connection breaks.
    pub async fn kill(&self) {
        if let Some(server) = self.server.lock().await.take() {
            server.kill().await;
        }
    }

    /// Starts a killed service again.
    ///
    /// # Errors
    ///
    /// Fails when its port was taken meanwhile.
    pub async fn restart(&self) -> io::Result<()> {
        self.kill().await;
        let shared = Arc::clone(&self.shared);
        let server = HttpServer::start(self.address, self.gate.clone(), shared).await?;
        *self.server.lock().await = Some(server);
        Ok(())
    }
}

impl Handler for Shared {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Reply, Cut>> {
        async move {
            let method = request.method().to_string();
            let path = request.uri().to_string();
            let bytes = read_bytes(request).await?;
            let body = String::from_utf8_lossy(&bytes).into_owned();
            let (run, delay) = self.begin(&body);
            tokio::time::sleep(delay).await;
            let answer = json!({ "method": method, "path": path, "body": body, "run": run });
            Ok(json_reply(StatusCode::OK, &answer))
        }
        .boxed()
    }
}
