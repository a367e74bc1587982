//! Finds the other entries through the key-value service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cw_macro::data;
use cw_store::KeyValue;
use cw_store::LeaseId;
use cw_store::StoreError;
use cw_store::Swap;
use cw_types::HostId;
use log::info;
use log::warn;

use super::shared::Shared;

/// What the keys of entries begin with; the rest is the host's name.
const ENTRIES: &str = "cyclamenwharf/entries/";

/// How long an entry that has died is counted among those that share budgets.
const LEASE_TIME: Duration = Duration::from_secs(12);

/// How often the lease is kept alive, and the other entries are read.
const PERIOD: Duration = Duration::from_secs(3);

/// How often they are read until all entries that started together have found each other.
const PERIOD_FIRST: Duration = Duration::from_millis(700);

/// How many rounds are of the short kind.
const FIRST_ROUNDS: u32 = 6;

/// What an entry says of itself.
#[data(Copy, Eq)]
struct EntryRecord {
    /// Where it hears the other entries.
    peers: SocketAddr,
}

/// Keeps this entry's record, and reads those of the others.
pub(super) struct Registry {
    pub(super) shared: Arc<Shared>,
    pub(super) store: Arc<dyn KeyValue>,
}

impl Registry {
    /// Runs until it is dropped.
    pub(super) async fn run(self) {
        let mut lease = None;
        let mut rounds: u32 = 0;
        loop {
            if let Err(error) = self.round(&mut lease).await {
                self.shared.metrics.stored("failed");
                warn!("the record of this entry cannot be kept: {error}");
            }
            rounds = rounds.saturating_add(1);
            let period = match rounds <= FIRST_ROUNDS {
                true => PERIOD_FIRST,
                false => PERIOD,
            };
            tokio::time::sleep(period).await;
        }
    }

    async fn round(&self, lease: &mut Option<LeaseId>) -> Result<(), StoreError> {
        let kept = match *lease {
            Some(held) => self.keep(held).await?,
            None => false,
        };
        if !kept {
            *lease = None;
            let granted = self.store.grant(LEASE_TIME).await?;
            self.register(granted).await?;
            *lease = Some(granted);
        }
        self.read().await
    }

    /// Keeps the lease alive. Returns whether it still holds.
    async fn keep(&self, lease: LeaseId) -> Result<bool, StoreError> {
        match self.store.keep_alive(lease).await {
            Ok(_) => Ok(true),
            Err(StoreError::Lapsed) => Ok(false),
            Err(error) => Err(error),
        }
    }

    async fn register(&self, lease: LeaseId) -> Result<(), StoreError> {
        let key = format!("{ENTRIES}{}", self.shared.settings.host);
        let record = EntryRecord {
            peers: self.shared.settings.listen.peers,
        };
        let value = serde_json::to_vec(&record).map_err(|error| StoreError::Protocol {
            message: error.to_string(),
        })?;
        let mut expected = None;
        loop {
            let value = value.clone().into();
            match self.store.swap(&key, expected, value, Some(lease)).await? {
                Swap::Done(revision) => {
                    info!(revision = revision.0; "this entry is registered");
                    return Ok(());
                }
                // An earlier life of this host wrote it; its lease would take it away.
                Swap::Conflict(found) => expected = found.map(|found| found.modified),
            }
        }
    }

    async fn read(&self) -> Result<(), StoreError> {
        let found = self.store.list_stale(ENTRIES).await?;
        let mut entries: BTreeMap<HostId, SocketAddr> = BTreeMap::new();
        for item in found {
            let host = item.key.strip_prefix(ENTRIES).map(str::parse::<HostId>);
            let record = serde_json::from_slice::<EntryRecord>(&item.value);
            match (host, record) {
                (Some(Ok(host)), Ok(record)) => {
                    entries.insert(host, record.peers);
                }
                _ => warn!(key = item.key.as_str(); "the record of an entry cannot be read"),
            }
        }
        entries.remove(&self.shared.settings.host);
        self.shared.set_entries(entries);
        Ok(())
    }
}
