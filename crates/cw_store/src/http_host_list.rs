//! A client for a host list served over HTTP.

use std::net::SocketAddr;

use futures::FutureExt;
use futures::future::BoxFuture;

use crate::Host;
use crate::HostList;
use crate::StoreError;
use crate::http_client::HttpClient;

const HOSTS_PATH: &str = "/v1/hosts";

/// A client for a service that returns a JSON array of [`Host`] for `GET /v1/hosts`.
#[derive(Clone, Debug)]
pub struct HttpHostList {
    address: SocketAddr,
    client: HttpClient,
}

impl HttpHostList {
    /// Creates a client for the service at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: HttpClient::default(),
        }
    }
}

impl HostList for HttpHostList {
    fn hosts(&self) -> BoxFuture<'_, Result<Vec<Host>, StoreError>> {
        self.client.get_json(self.address, HOSTS_PATH).boxed()
    }
}
