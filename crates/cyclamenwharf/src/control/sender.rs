//! Calls to other entries.

use cw_policy::EntryPeer;
use cw_types::Revision;
use cw_wire::ConfigRequest;
use cw_wire::ConfigResponse;
use cw_wire::ReportBatch;
use cw_wire::path;
use log::debug;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

use super::ControlMetrics;
use super::Event;
use crate::PeerClient;
use crate::PeerError;

/// How long a peer may take to answer.
const LIMIT: Duration = Duration::from_millis(1500);

/// How long a peer may take to send a whole state.
const WHOLE_LIMIT: Duration = Duration::from_secs(4);

/// Calls to other entries, each in a task of its own.
#[derive(Clone)]
pub(super) struct Sender {
    pub(super) client: PeerClient,
    pub(super) events: mpsc::Sender<Event>,
    pub(super) metrics: ControlMetrics,
}

impl Sender {
    /// Sends one batch to each of `peers`.
    pub(super) fn send(&self, peers: &[EntryPeer], batch: ReportBatch) {
        let size = cw_wire::encode(&batch).map_or(0, |bytes| bytes.len() as u64);
        let batch = Arc::new(batch);
        for peer in peers {
            self.metrics.sent.inc_by(size);
            tokio::spawn(self.clone().send_one(peer.clone(), batch.clone()));
        }
    }

    async fn send_one(self, peer: EntryPeer, batch: Arc<ReportBatch>) {
        let call = |client: PeerClient| {
            let batch = batch.clone();
            async move {
                client
                    .call::<ReportBatch, ()>(peer.peer_address, path::BATCHES, &batch, LIMIT)
                    .await
            }
        };
        let mut outcome = call(self.client.clone()).await;
        if let Err(PeerError::Broken { .. } | PeerError::Timeout { .. }) = outcome {
            // The old connection may have gone silent for good. A batch may come twice.
            outcome = call(self.client.with_new_pool()).await;
        }
        if let Err(error) = outcome {
            debug!("a batch did not reach a peer: {error}");
            self.metrics.unsent.inc();
            let _ = self.events.send(Event::SendFailed(peer.host)).await;
        }
    }

    /// Asks a peer for a newer configuration than `have`.
    pub(super) fn ask_config(&self, peer: &EntryPeer, have: Revision) {
        let (this, peer) = (self.clone(), peer.clone());
        tokio::spawn(async move {
            let ask = ConfigRequest { have };
            let call = this
                .client
                .with_new_pool()
                .call::<_, ConfigResponse>(peer.peer_address, path::CONFIG, &ask, WHOLE_LIMIT)
                .await;
            match call {
                Ok(answer) => {
                    let answer = Box::new(answer);
                    let peer = peer.host;
                    let _ = this.events.send(Event::PeerConfig { peer, answer }).await;
                }
                Err(error) => debug!("no configuration from a peer: {error}"),
            }
        });
    }

    /// Asks a peer for all reports.
    pub(super) fn ask_state(&self, peer: &EntryPeer) {
        let (this, peer) = (self.clone(), peer.clone());
        tokio::spawn(async move {
            let call = this
                .client
                .call::<_, ReportBatch>(peer.peer_address, path::STATE, &(), WHOLE_LIMIT)
                .await;
            match call {
                Ok(batch) => {
                    let _ = this.events.send(Event::Batch(Box::new(batch))).await;
                }
                Err(error) => debug!("no state from a peer: {error}"),
            }
        });
    }
}
