//! A fake of a plain service.

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

use crate::server::Gate;
use crate::server::Handler;
use crate::server::HttpResponse;
use crate::server::HttpServer;
use crate::server::NoResponse;
use crate::server::json_response;
use crate::server::read_bytes;

#[derive(Debug, Default)]
struct Calls {
    runs: BTreeMap<String, u64>,
    delay: Duration,
}

#[derive(Debug, Default)]
struct ServiceState(Mutex<Calls>);

impl ServiceState {
    fn lock(&self) -> MutexGuard<'_, Calls> {
        self.0.lock().expect("no panic under this lock")
    }

    /// Counts a call, before its delay: a call has its effect as soon as it starts. Returns the
    /// number of calls with this body so far and the delay.
    fn count_run(&self, body: &str) -> (u64, Duration) {
        let mut calls = self.lock();
        let runs = calls.runs.entry(body.to_owned()).or_default();
        *runs += 1;
        (*runs, calls.delay)
    }
}

/// A fake service that echoes the method, path and body of each call and counts calls by body.
#[derive(Debug)]
pub struct FakeService {
    /// The address that the fake listens on. A restart keeps it.
    pub address: SocketAddr,
    state: Arc<ServiceState>,
    gate: Gate,
    server: tokio::sync::Mutex<Option<HttpServer>>,
}

impl FakeService {
    /// Starts a service on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub async fn start() -> io::Result<Self> {
        let state = Arc::<ServiceState>::default();
        let gate = Gate::default();
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let server = HttpServer::start(address, gate.clone(), Arc::clone(&state)).await?;
        Ok(Self {
            address: server.address,
            state,
            gate,
            server: tokio::sync::Mutex::new(Some(server)),
        })
    }

    /// Sets the time that passes between the effect of a call and its response.
    pub fn set_delay(&self, delay: Duration) {
        self.state.lock().delay = delay;
    }

    /// Returns the number of executed calls by body.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.state.lock().runs.clone()
    }

    /// Returns the gate that pauses the service.
    pub fn gate(&self) -> &Gate {
        &self.gate
    }

    /// Kills the service: closes its port and breaks every connection.
    pub async fn kill(&self) {
        if let Some(server) = self.server.lock().await.take() {
            server.kill().await;
        }
    }

    /// Kills the service if it runs, and starts it on the same port with its counts kept.
    ///
    /// # Errors
    ///
    /// Returns an error if another process has taken the port.
    pub async fn restart(&self) -> io::Result<()> {
        self.kill().await;
        let state = Arc::clone(&self.state);
        let server = HttpServer::start(self.address, self.gate.clone(), state).await?;
        *self.server.lock().await = Some(server);
        Ok(())
    }
}

impl Handler for ServiceState {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<HttpResponse, NoResponse>> {
        async move {
            let method = request.method().to_string();
            let path = request.uri().to_string();
            let bytes = read_bytes(request).await?;
            let body = String::from_utf8_lossy(&bytes).into_owned();
            let (run, delay) = self.count_run(&body);
            tokio::time::sleep(delay).await;
            let body_json = json!({ "method": method, "path": path, "body": body, "run": run });
            Ok(json_response(StatusCode::OK, &body_json))
        }
        .boxed()
    }
}
