//! The weight store over HTTP.

use std::net::SocketAddr;

use futures::FutureExt;
use futures::future::BoxFuture;

use crate::StoreError;
use crate::WeightInfo;
use crate::WeightStore;
use crate::http_client::HttpClient;

/// A weight store that answers `GET /v1/weights/NAME` with JSON of [`WeightInfo`].
#[derive(Clone, Debug)]
pub struct HttpWeightStore {
    address: SocketAddr,
    client: HttpClient,
}

impl HttpWeightStore {
    /// Returns a client of the store at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: HttpClient::default(),
        }
    }
}

impl WeightStore for HttpWeightStore {
    fn describe<'a>(&'a self, weights: &'a str) -> BoxFuture<'a, Result<WeightInfo, StoreError>> {
        async move {
            let path = format!("/v1/weights/{weights}");
            self.client.get_json(self.address, &path).await
        }
        .boxed()
    }
}
