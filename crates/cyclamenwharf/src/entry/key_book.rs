//! Idempotent requests in progress, by their idempotency keys.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use cw_types::Time;
use cw_wire::Fingerprint;

use super::sent::Sent;

/// How long a request that has ended can still be found: agents keep outputs about as long.
const KEPT: Duration = Duration::from_secs(60);

/// The most requests that can be found.
const CAPACITY: usize = 16_384;

/// Where an idempotent request runs, or has run.
#[derive(Clone, Debug)]
pub(crate) struct KeyEntry {
    /// What it asks.
    pub(crate) fingerprint: Fingerprint,
    /// Its newest attempt.
    pub(crate) sent: Sent,
    /// When that was dispatched.
    at: Time,
}

/// Idempotent requests of this entry, by their idempotency keys.
///
/// It spares work only: a request that is not found here is run once more.
#[derive(Debug, Default)]
pub(crate) struct KeyBook {
    entries: Mutex<BTreeMap<String, KeyEntry>>,
}

impl KeyBook {
    /// Returns where the request of a key runs.
    pub(crate) fn find(&self, key: &str) -> Option<KeyEntry> {
        self.lock().get(key).cloned()
    }

    /// Records the newest attempt of a key's request.
    pub(crate) fn record(&self, now: Time, key: &str, fingerprint: Fingerprint, sent: Sent) {
        let mut entries = self.lock();
        if entries.len() >= CAPACITY {
            entries.retain(|_, entry| now.since(entry.at) < KEPT);
        }
        if entries.len() < CAPACITY {
            let at = now;
            let entry = KeyEntry {
                fingerprint,
                sent,
                at,
            };
            entries.insert(key.to_owned(), entry);
        }
    }

    /// Forgets a key whose request cannot be found at its agent any more.
    pub(crate) fn forget(&self, key: &str) {
        self.lock().remove(key);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, KeyEntry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
