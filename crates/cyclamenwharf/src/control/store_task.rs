//! The task that watches the configuration in the key-value service.

use std::sync::Arc;
use std::time::Duration;

use cw_store::KeyValueStore;
use cw_store::ModRevision;
use cw_store::StoreError;
use cw_store::Versioned;
use cw_store::WatchEvent;
use cw_types::Snapshot;
use futures::StreamExt;
use log::debug;
use log::warn;
use rand::RngExt;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;

use super::Event;

/// The key of the configuration snapshot.
pub(super) const CONFIG_KEY: &str = "cyclamenwharf/config";

/// How often a watcher also compares the revision of the key, because a watch can stop delivering
/// events without an error.
const VERIFY_PERIOD: Duration = Duration::from_millis(2500);

/// The maximum delay before a retry after a failed call.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1000);

/// The revision that starts a watch at the current one.
const FROM_NOW: ModRevision = ModRevision(-1);

/// How this process gets the configuration in the key-value service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum StoreAccess {
    /// This process watches the configuration key.
    #[default]
    Direct,
    /// Other entries of the availability zone watch the key and pass the configuration on.
    ThroughPeers,
}

/// The task that watches the configuration key while this process is one of the watchers.
pub(super) struct StoreTask {
    pub(super) key_value: Arc<dyn KeyValueStore>,
    pub(super) events: mpsc::Sender<Event>,
    pub(super) access: watch::Receiver<StoreAccess>,
}

impl StoreTask {
    /// Runs until the sender of `access` is closed or the task is dropped.
    pub(super) async fn run(mut self) {
        loop {
            let watches = |access: &StoreAccess| *access == StoreAccess::Direct;
            if self.access.wait_for(watches).await.is_err() {
                return;
            }
            if let Err(error) = self.watch_key().await {
                debug!("cannot watch the configuration key: {error}");
            }
            let pause = MAX_RETRY_DELAY.mul_f64(rand::rng().random_range(0.2..1.0));
            tokio::time::sleep(pause).await;
        }
    }

    /// Reads and watches the key until a call fails, the watch ends or the access changes.
    async fn watch_key(&mut self) -> Result<(), StoreError> {
        let mut last_revision = self.read().await?;
        let mut stream = self
            .key_value
            .watch(CONFIG_KEY, last_revision.unwrap_or(FROM_NOW))
            .await?;
        let mut next_verify = match last_revision {
            Some(_) => Instant::now() + VERIFY_PERIOD,
            // The watch misses a write between the read and its start.
            None => Instant::now(),
        };
        loop {
            tokio::select! {
                event = stream.next() => match event {
                    Some(event) => last_revision = self.on_event(event?).await.or(last_revision),
                    None => return Ok(()),
                },
                () = tokio::time::sleep_until(next_verify) => {
                    next_verify = Instant::now() + VERIFY_PERIOD;
                    if self.key_value.modified(CONFIG_KEY).await? != last_revision {
                        last_revision = self.read().await?;
                    }
                }
                _ = self.access.changed() => return Ok(()),
            }
        }
    }

    async fn read(&self) -> Result<Option<ModRevision>, StoreError> {
        let found = self.key_value.get(CONFIG_KEY).await?;
        self.send_snapshot(found.as_ref()).await;
        Ok(found.map(|found| found.modified))
    }

    /// Sends a change of the key to the control state, and returns its revision. Returns `None` if
    /// the event does not concern the key.
    async fn on_event(&self, event: WatchEvent) -> Option<ModRevision> {
        match event {
            WatchEvent::Put(versioned) if versioned.key == CONFIG_KEY => {
                self.send_snapshot(Some(&versioned)).await;
                Some(versioned.modified)
            }
            WatchEvent::Deleted { key, revision } if key == CONFIG_KEY => {
                self.send_snapshot(None).await;
                Some(revision)
            }
            _ => None,
        }
    }

    async fn send_snapshot(&self, found: Option<&Versioned>) {
        let snapshot = match found.map(|found| serde_json::from_slice::<Snapshot>(&found.value)) {
            Some(Ok(snapshot)) => Some(snapshot),
            Some(Err(error)) => {
                warn!("cannot parse the snapshot in the configuration key: {error}");
                return;
            }
            None => None,
        };
        // The receiver is closed only when the process shuts down.
        let _ = self
            .events
            .send(Event::StoreSnapshot(Box::new(snapshot)))
            .await;
    }
}
