//! One client for each agent.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;

use crate::PeerClient;

/// One client for each agent, so that its connections can be given up together.
#[derive(Debug)]
pub(crate) struct PeerPool {
    template: PeerClient,
    clients: Mutex<BTreeMap<SocketAddr, PeerClient>>,
}

impl PeerPool {
    /// Returns a pool whose clients show `secret` to their peers.
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

    /// Gives up all idle connections to `peer`, and returns a client that makes a new one.
    ///
    /// When one connection has gone silent, the others of its age may have too.
    pub(crate) fn renew(&self, peer: SocketAddr) -> PeerClient {
        let client = self.template.with_new_pool();
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        clients.insert(peer, client.clone());
        client
    }
}
