//! A pool with one HTTP client for each agent.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;

use crate::PeerClient;

/// A pool with one HTTP client for each agent, so that all connections to an agent can be dropped
/// together.
#[derive(Debug)]
pub(crate) struct PeerPool {
    template: PeerClient,
    clients: Mutex<BTreeMap<SocketAddr, PeerClient>>,
}

impl PeerPool {
    /// Creates a pool whose clients authenticate to their peers with `secret`.
    pub(crate) fn new(secret: &str) -> Self {
        Self {
            template: PeerClient::new(secret),
            clients: Mutex::default(),
        }
    }

    /// Returns the client for `peer`.
    pub(crate) fn client(&self, peer: SocketAddr) -> PeerClient {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        clients
            .entry(peer)
            .or_insert_with(|| self.template.with_new_pool())
            .clone()
    }

    /// Drops all idle connections to `peer`, and returns a client that opens new ones.
    ///
    /// When one connection no longer responds, other connections of the same age may not either.
    pub(crate) fn replace_client(&self, peer: SocketAddr) -> PeerClient {
        let client = self.template.with_new_pool();
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        clients.insert(peer, client.clone());
        client
    }
}
