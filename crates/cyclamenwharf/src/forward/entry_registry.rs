//! Finds the other entries through the key-value service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cw_macro::data;
use cw_store::KeyValueStore;
use cw_store::LeaseId;
use cw_store::StoreError;
use cw_store::Swap;
use cw_types::HostId;
use log::info;
use log::warn;

use super::forward_context::ForwardContext;

/// The prefix of the keys of entries. The rest of a key is the name of the host.
const ENTRIES_PREFIX: &str = "cyclamenwharf/entries/";

/// The lease of an entry's record, and so the time that a failed entry counts among those that
/// share the budgets.
const LEASE_TTL: Duration = Duration::from_secs(12);

/// How often the lease is renewed and the records of the other entries are read.
const REFRESH_PERIOD: Duration = Duration::from_secs(3);

/// The period during startup, until all entries that started together have found each other.
const STARTUP_PERIOD: Duration = Duration::from_millis(700);

/// The number of rounds with the startup period.
const STARTUP_ROUNDS: u32 = 6;

/// The record of an entry.
#[data(Copy, Eq)]
struct EntryRecord {
    /// The address for messages of the other entries.
    peers: SocketAddr,
}

/// Maintains the record of this entry, and reads those of the others.
pub(super) struct EntryRegistry {
    pub(super) context: Arc<ForwardContext>,
    pub(super) store: Arc<dyn KeyValueStore>,
}

impl EntryRegistry {
    /// Runs until the future is dropped.
    pub(super) async fn run(self) {
        let mut lease = None;
        let mut rounds: u32 = 0;
        loop {
            if let Err(error) = self.run_round(&mut lease).await {
                self.context.metrics.record_store_message("failed");
                warn!("failed to maintain the record of this entry: {error}");
            }
            rounds = rounds.saturating_add(1);
            let period = match rounds <= STARTUP_ROUNDS {
                true => STARTUP_PERIOD,
                false => REFRESH_PERIOD,
            };
            tokio::time::sleep(period).await;
        }
    }

    async fn run_round(&self, lease: &mut Option<LeaseId>) -> Result<(), StoreError> {
        let is_valid = match *lease {
            Some(current) => self.keep_lease(current).await?,
            None => false,
        };
        if !is_valid {
            *lease = None;
            let granted = self.store.grant(LEASE_TTL).await?;
            self.register(granted).await?;
            *lease = Some(granted);
        }
        self.read_records().await
    }

    /// Renews the lease. Returns whether it was still valid.
    async fn keep_lease(&self, lease: LeaseId) -> Result<bool, StoreError> {
        match self.store.keep_alive(lease).await {
            Ok(_) => Ok(true),
            Err(StoreError::LeaseExpired) => Ok(false),
            Err(error) => Err(error),
        }
    }

    async fn register(&self, lease: LeaseId) -> Result<(), StoreError> {
        let key = format!("{ENTRIES_PREFIX}{}", self.context.settings.host);
        let record = EntryRecord {
            peers: self.context.settings.listen.peers,
        };
        let value = serde_json::to_vec(&record).map_err(|error| StoreError::Protocol {
            message: error.to_string(),
        })?;
        let mut expected = None;
        loop {
            let value = value.clone().into();
            match self.store.swap(&key, expected, value, Some(lease)).await? {
                Swap::Done(revision) => {
                    info!(revision = revision.0; "registered this entry");
                    return Ok(());
                }
                // The record is of an earlier process on this host, and the lease of that process
                // would delete it.
                Swap::Conflict(found) => expected = found.map(|found| found.modified),
            }
        }
    }

    async fn read_records(&self) -> Result<(), StoreError> {
        let found = self.store.list_stale(ENTRIES_PREFIX).await?;
        let mut entries: BTreeMap<HostId, SocketAddr> = BTreeMap::new();
        for item in found {
            let host = item
                .key
                .strip_prefix(ENTRIES_PREFIX)
                .map(str::parse::<HostId>);
            let record = serde_json::from_slice::<EntryRecord>(&item.value);
            match (host, record) {
                (Some(Ok(host)), Ok(record)) => {
                    entries.insert(host, record.peers);
                }
                _ => warn!(key = item.key.as_str(); "failed to parse the record of an entry"),
            }
        }
        entries.remove(&self.context.settings.host);
        self.context.set_registered(entries);
        Ok(())
    }
}
