//! The host list over HTTP.

use std::net::SocketAddr;

use futures::FutureExt;
use futures::future::BoxFuture;

use crate::Host;
use crate::HostList;
use crate::StoreError;
use crate::http_client::HttpClient;

/// The path of the list.
const PATH: &str = "/v1/hosts";

/// A host list that answers `GET /v1/hosts` with a JSON array of [`Host`].
#[derive(Clone, Debug)]
pub struct HttpHostList {
    address: SocketAddr,
    client: HttpClient,
}

impl HttpHostList {
    /// Returns a client of the list at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: HttpClient::default(),
        }
    }
}

impl HostList for HttpHostList {
    fn hosts(&self) -> BoxFuture<'_, Result<Vec<Host>, StoreError>> {
        self.client.get_json(self.address, PATH).boxed()
    }
}
