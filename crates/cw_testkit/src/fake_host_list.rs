//! A stand-in for the list of hosts.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use cw_store::Host;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::Request;
use http::StatusCode;
use hyper::body::Incoming;

use crate::server::Gate;
use crate::server::Handler;
use crate::server::HttpResponse;
use crate::server::HttpServer;
use crate::server::NoResponse;
use crate::server::empty_response;
use crate::server::json_response;

#[derive(Debug, Default)]
struct Hosts(Mutex<Vec<Host>>);

/// A stand-in for the list of hosts, which says what it is told.
#[derive(Debug)]
pub struct FakeHostList {
    /// Where it listens.
    pub address: SocketAddr,
    hosts: Arc<Hosts>,
    gate: Gate,
    _server: HttpServer,
}

impl FakeHostList {
    /// Starts an empty list.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub async fn start() -> io::Result<Self> {
        let hosts = Arc::<Hosts>::default();
        let gate = Gate::default();
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let server = HttpServer::start(address, gate.clone(), Arc::clone(&hosts)).await?;
        Ok(Self {
            address: server.address,
            hosts,
            gate,
            _server: server,
        })
    }

    /// Changes the list.
    pub fn update(&self, change: impl FnOnce(&mut Vec<Host>)) {
        change(&mut self.hosts.0.lock().expect("no panic under this lock"));
    }

    /// Returns the switch that makes the list answer nothing.
    pub fn gate(&self) -> &Gate {
        &self.gate
    }
}

impl Handler for Hosts {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<HttpResponse, NoResponse>> {
        let hosts = self.0.lock().expect("no panic under this lock").clone();
        let reply = match request.uri().path() {
            "/v1/hosts" => json_response(StatusCode::OK, &hosts),
            _ => empty_response(StatusCode::NOT_FOUND),
        };
        async move { Ok(reply) }.boxed()
    }
}
