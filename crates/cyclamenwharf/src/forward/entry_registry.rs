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
use cw_types::Time;
use log::info;
use log::warn;

use super::forward_context::ForwardContext;

/// The prefix of the keys of entries. The rest of a key is the name of the host.
const ENTRIES_PREFIX: &str = "cyclamenwharf/entries/";

/// The lease of an entry's record. Entries that hear each other notice a failed one sooner, so it only
/// bounds how long new entries find the record.
const LEASE_TTL: Duration = Duration::from_secs(30);

/// How often the lease is renewed.
const RENEWAL_PERIOD: Duration = Duration::from_secs(10);

/// How often the registry checks whether a call is due.
const CHECK_PERIOD: Duration = Duration::from_millis(500);

/// The delay after a failed round. The service charges for failed calls too.
const RETRY_PERIOD: Duration = Duration::from_secs(3);

/// The delay after each of the first failed rounds, so that entries find each other soon after a start.
const STARTUP_RETRY_PERIOD: Duration = Duration::from_millis(700);

/// The number of failed rounds with the delay of the startup.
const STARTUP_RETRIES: u32 = 6;

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

/// The registration of this entry.
#[derive(Clone, Copy, Debug)]
struct Registration {
    lease: LeaseId,
    renewed_at: Time,
}

impl EntryRegistry {
    /// Runs until the future is dropped.
    pub(super) async fn run(self) {
        let mut registration = None;
        let mut failures: u32 = 0;
        // An entry that starts asks others for a newer configuration, before its own registration.
        if let Err(error) = self.read_records().await {
            info!("failed to read the records of the other entries: {error}");
        }
        loop {
            let period = match self.run_round(&mut registration).await {
                Ok(()) => CHECK_PERIOD,
                Err(error) => {
                    self.context.metrics.record_store_message("failed");
                    warn!("failed to maintain the record of this entry: {error}");
                    failures = failures.saturating_add(1);
                    match failures <= STARTUP_RETRIES {
                        true => STARTUP_RETRY_PERIOD,
                        false => RETRY_PERIOD,
                    }
                }
            };
            tokio::time::sleep(period).await;
        }
    }

    async fn run_round(&self, registration: &mut Option<Registration>) -> Result<(), StoreError> {
        let now = self.context.now();
        let is_due = registration.is_none_or(|known| now.since(known.renewed_at) >= RENEWAL_PERIOD);
        if is_due {
            let is_valid = match *registration {
                Some(known) => self.keep_lease(known.lease).await?,
                None => false,
            };
            if !is_valid {
                *registration = None;
                let lease = self.store.grant(LEASE_TTL).await?;
                self.register(lease).await?;
                *registration = Some(Registration {
                    lease,
                    renewed_at: now,
                });
                self.read_records().await?;
            }
            if let Some(known) = registration {
                known.renewed_at = now;
            }
        }
        if self.context.state().entry_list.needs_registry(now) {
            self.read_records().await?;
        }
        Ok(())
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
        // Of two entries, the one that registers last must find the other one, so the read reflects all
        // registrations.
        let found = self.store.list(ENTRIES_PREFIX).await?;
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
