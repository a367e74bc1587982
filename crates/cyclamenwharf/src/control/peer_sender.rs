//! The client for calls to other entries.

use cw_policy::EntryPeer;
use cw_types::Revision;
use cw_wire::ConfigRequest;
use cw_wire::ConfigResponse;
use cw_wire::ReportBatch;
use cw_wire::path;
use log::debug;
use log::warn;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

use super::ControlMetrics;
use super::Event;
use crate::PeerClient;
use crate::PeerError;

/// The timeout for sending a batch.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// The timeout for a request for a configuration or the full state.
const STATE_TIMEOUT: Duration = Duration::from_secs(4);

/// The client for calls to other entries, each in its own task.
#[derive(Clone)]
pub(super) struct PeerSender {
    pub(super) client: PeerClient,
    pub(super) events: mpsc::Sender<Event>,
    pub(super) metrics: ControlMetrics,
}

impl PeerSender {
    /// Sends a batch to each of `peers`, and reports [`Event::SendFailed`] for each that fails.
    pub(super) fn send_batch(&self, peers: &[EntryPeer], batch: ReportBatch) {
        let size = match cw_wire::encode(&batch) {
            Ok(bytes) => bytes.len() as u64,
            Err(error) => {
                warn!("cannot encode a batch: {error}");
                return;
            }
        };
        let batch = Arc::new(batch);
        for peer in peers {
            tokio::spawn(self.clone().send_to_peer(peer.clone(), batch.clone(), size));
        }
    }

    async fn send_to_peer(self, peer: EntryPeer, batch: Arc<ReportBatch>, size: u64) {
        let call = |client: PeerClient| {
            let batch = batch.clone();
            async move {
                client
                    .call::<ReportBatch, ()>(peer.peer_address, path::BATCHES, &batch, CALL_TIMEOUT)
                    .await
            }
        };
        let mut outcome = call(self.client.clone()).await;
        if let Err(PeerError::Broken { .. } | PeerError::Timeout { .. }) = outcome {
            // The old connection may have become unresponsive, so the batch is sent again over a new
            // one. The peer may receive it twice.
            outcome = call(self.client.with_new_pool()).await;
        }
        match outcome {
            Ok(()) => self.metrics.sent_bytes.inc_by(size),
            Err(error) => {
                debug!("cannot send a batch to a peer: {error}");
                self.metrics.unsent_batches.inc();
                let _ = self.events.send(Event::SendFailed(peer.host)).await;
            }
        }
    }

    /// Requests a newer configuration than `have` from a peer.
    pub(super) fn request_config(&self, peer: &EntryPeer, have: Revision) {
        let (this, peer) = (self.clone(), peer.clone());
        tokio::spawn(async move {
            let request = ConfigRequest { have };
            let call = this
                .client
                .with_new_pool()
                .call::<_, ConfigResponse>(peer.peer_address, path::CONFIG, &request, STATE_TIMEOUT)
                .await;
            match call {
                Ok(response) => {
                    let response = Box::new(response);
                    let peer = peer.host;
                    let _ = this.events.send(Event::PeerConfig { peer, response }).await;
                }
                Err(error) => debug!("cannot get the configuration of a peer: {error}"),
            }
        });
    }

    /// Requests the full state from a peer.
    pub(super) fn request_state(&self, peer: &EntryPeer) {
        let (this, peer) = (self.clone(), peer.clone());
        tokio::spawn(async move {
            let call = this
                .client
                .call::<_, ReportBatch>(peer.peer_address, path::STATE, &(), STATE_TIMEOUT)
                .await;
            match call {
                Ok(batch) => {
                    let _ = this.events.send(Event::Batch(Box::new(batch))).await;
                }
                Err(error) => debug!("cannot get the state of a peer: {error}"),
            }
        });
    }
}
