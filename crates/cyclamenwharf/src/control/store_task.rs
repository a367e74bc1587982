//! Follows the configuration in the key-value service.

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

/// The key of the snapshot.
pub(super) const CONFIG_KEY: &str = "cyclamenwharf/config";

/// How often a watcher reads the key besides watching it, since a watch can go silent.
const VERIFY_PERIOD: Duration = Duration::from_millis(2500);

/// The longest pause after a failed call.
const RETRY_MAX: Duration = Duration::from_millis(1000);

/// A watch from the present on.
const FROM_NOW: ModRevision = ModRevision(-1);

/// Whether this process asks the key-value service itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum StoreUse {
    /// It watches.
    #[default]
    Watch,
    /// Others of its availability zone do.
    Rest,
}

/// Follows the configuration key while this process is one of the watchers.
pub(super) struct StoreTask {
    pub(super) key_value: Arc<dyn KeyValueStore>,
    pub(super) events: mpsc::Sender<Event>,
    pub(super) usage: watch::Receiver<StoreUse>,
}

impl StoreTask {
    /// Runs until the task is dropped.
    pub(super) async fn run(mut self) {
        loop {
            let watches = |usage: &StoreUse| *usage == StoreUse::Watch;
            if self.usage.wait_for(watches).await.is_err() {
                return;
            }
            if let Err(error) = self.follow().await {
                debug!("the key-value service fails: {error}");
            }
            let pause = RETRY_MAX.mul_f64(rand::rng().random_range(0.2..1.0));
            tokio::time::sleep(pause).await;
        }
    }

    /// Reads and watches the key until a call fails or this process need not watch any more.
    async fn follow(&mut self) -> Result<(), StoreError> {
        let mut last = self.read().await?;
        let mut stream = self
            .key_value
            .watch(CONFIG_KEY, last.unwrap_or(FROM_NOW))
            .await?;
        let mut verify = match last {
            Some(_) => Instant::now() + VERIFY_PERIOD,
            // A write between the read and the watch was missed.
            None => Instant::now(),
        };
        loop {
            tokio::select! {
                event = stream.next() => match event {
                    Some(event) => last = self.on_event(event?).await.or(last),
                    None => return Ok(()),
                },
                () = tokio::time::sleep_until(verify) => {
                    verify = Instant::now() + VERIFY_PERIOD;
                    if self.key_value.modified(CONFIG_KEY).await? != last {
                        last = self.read().await?;
                    }
                }
                _ = self.usage.changed() => return Ok(()),
            }
        }
    }

    async fn read(&self) -> Result<Option<ModRevision>, StoreError> {
        let found = self.key_value.get(CONFIG_KEY).await?;
        self.tell(found.as_ref()).await;
        Ok(found.map(|found| found.modified))
    }

    /// Passes a change on, and returns when the key was last changed if it says so.
    async fn on_event(&self, event: WatchEvent) -> Option<ModRevision> {
        match event {
            WatchEvent::Put(versioned) if versioned.key == CONFIG_KEY => {
                self.tell(Some(&versioned)).await;
                Some(versioned.modified)
            }
            WatchEvent::Deleted { key, revision } if key == CONFIG_KEY => {
                self.tell(None).await;
                Some(revision)
            }
            _ => None,
        }
    }

    async fn tell(&self, found: Option<&Versioned>) {
        let snapshot = match found.map(|found| serde_json::from_slice::<Snapshot>(&found.value)) {
            Some(Ok(snapshot)) => Some(snapshot),
            Some(Err(error)) => {
                warn!("the configuration key holds no snapshot: {error}");
                return;
            }
            None => None,
        };
        // The receiver ends with the process.
        let _ = self.events.send(Event::Store(Box::new(snapshot))).await;
    }
}
