//! A client for a weight store served over HTTP.

use std::net::SocketAddr;

use futures::FutureExt;
use futures::future::BoxFuture;

use crate::StoreError;
use crate::WeightInfo;
use crate::WeightStore;
use crate::http_client::HttpClient;

/// A client for a service that returns a [`WeightInfo`] as JSON for `GET /v1/weights/NAME`.
#[derive(Clone, Debug)]
pub struct HttpWeightStore {
    address: SocketAddr,
    client: HttpClient,
}

impl HttpWeightStore {
    /// Creates a client for the service at `address`.
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
