//! What the other entries may read here.

use std::sync::Arc;

use dropshot::Body;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::Request;
use http::Response;
use http::StatusCode;

use crate::stream_server::Handler;

use super::shared::Shared;

/// Where the configuration is read.
pub(super) const CONFIG_PATH: &str = "/config";

/// Answers the other entries.
pub(super) struct PeerApi {
    pub(super) shared: Arc<Shared>,
}

impl Handler for PeerApi {
    fn handle(self: Arc<Self>, request: Request<Body>) -> BoxFuture<'static, Response<Body>> {
        let held = self.shared.beliefs().document.clone();
        let mut response = match (request.uri().path(), held) {
            (CONFIG_PATH, Some(document)) => Response::new(Body::from(document.to_vec())),
            _ => Response::new(Body::empty()),
        };
        if request.uri().path() != CONFIG_PATH {
            *response.status_mut() = StatusCode::NOT_FOUND;
        }
        async move { response }.boxed()
    }
}
