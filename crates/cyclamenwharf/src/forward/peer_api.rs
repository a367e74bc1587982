//! What the other entries may read here.

use std::sync::Arc;

use bytes::Bytes;
use cw_wire::DirectorySnapshot;
use dropshot::Body;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::Request;
use http::Response;
use http::StatusCode;
use log::warn;

use crate::stream_server::Handler;

use super::shared::Shared;

/// Where the configuration is read.
pub(super) const CONFIG_PATH: &str = "/config";

/// Where all that is known of the targets is read.
pub(super) const TARGETS_PATH: &str = "/targets";

/// Answers the other entries.
pub(super) struct PeerApi {
    pub(super) shared: Arc<Shared>,
}

impl Handler for PeerApi {
    fn handle(self: Arc<Self>, request: Request<Body>) -> BoxFuture<'static, Response<Body>> {
        let held = match request.uri().path() {
            CONFIG_PATH => self.shared.beliefs().document.clone(),
            TARGETS_PATH => self.targets(),
            _ => None,
        };
        let mut response = Response::new(Body::empty());
        match held {
            Some(held) => *response.body_mut() = Body::from(held.to_vec()),
            None => *response.status_mut() = StatusCode::NOT_FOUND,
        }
        async move { response }.boxed()
    }
}

impl PeerApi {
    /// Returns what this entry knows of the targets, if it knows any.
    fn targets(&self) -> Option<Bytes> {
        let copy = {
            let beliefs = self.shared.beliefs();
            let listings = beliefs.listings.iter();
            let known = listings.filter(|(id, _)| beliefs.fleet.listing(id).is_some());
            DirectorySnapshot {
                newest: beliefs.log.newest(),
                targets: known
                    .map(|(id, value)| (id.clone(), value.clone()))
                    .collect(),
            }
        };
        if copy.targets.is_empty() {
            return None;
        }
        match cw_wire::encode(&copy) {
            Ok(bytes) => Some(bytes),
            Err(error) => {
                warn!("what is known of the targets cannot be written: {error}");
                None
            }
        }
    }
}
