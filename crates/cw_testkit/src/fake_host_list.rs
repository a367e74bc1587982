//! A fake of the platform's host list.

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

/// A fake host list, which returns the hosts that the test sets.
#[derive(Debug)]
pub struct FakeHostList {
    /// The address that the fake listens on.
    pub address: SocketAddr,
    hosts: Arc<Hosts>,
    gate: Gate,
    _server: HttpServer,
}

impl FakeHostList {
    /// Starts with an empty list on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
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

    /// Applies `change` to the list.
    pub fn update(&self, change: impl FnOnce(&mut Vec<Host>)) {
        change(&mut self.hosts.0.lock().expect("no panic under this lock"));
    }

    /// Returns the gate that pauses the fake: while it is closed, requests get no response.
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
        let response = match request.uri().path() {
            "/v1/hosts" => json_response(StatusCode::OK, &hosts),
            _ => empty_response(StatusCode::NOT_FOUND),
        };
        async move { Ok(response) }.boxed()
    }
}
