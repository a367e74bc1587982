//! A cache of idempotent requests, by their idempotency keys.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use cw_types::Time;
use cw_wire::Fingerprint;

use super::sent_attempt::SentAttempt;

/// How long an entry of the cache is kept, which is about as long as agents keep outputs.
const RETENTION: Duration = Duration::from_secs(60);

/// The maximum number of requests in the cache.
const CAPACITY: usize = 16_384;

/// An idempotent request, and where it runs or has run.
#[derive(Clone, Debug)]
pub(crate) struct CachedRequest {
    /// The fingerprint of the request.
    pub(crate) fingerprint: Fingerprint,
    /// The newest attempt.
    pub(crate) sent: SentAttempt,
    /// When the newest attempt was recorded.
    recorded_at: Time,
}

/// A cache of the idempotent requests of this entry, by their idempotency keys.
///
/// The cache only saves work: a request that is not found here runs once more.
#[derive(Debug, Default)]
pub(crate) struct IdempotencyCache {
    entries: Mutex<BTreeMap<String, CachedRequest>>,
}

impl IdempotencyCache {
    /// Returns the request recorded under `key`.
    pub(crate) fn find(&self, key: &str) -> Option<CachedRequest> {
        self.lock().get(key).cloned()
    }

    /// Records the newest attempt of the request with `key`.
    ///
    /// A full cache first evicts expired requests; if it is still full, the attempt is not
    /// recorded.
    pub(crate) fn record(&self, now: Time, key: &str, fingerprint: Fingerprint, sent: SentAttempt) {
        let mut entries = self.lock();
        if entries.len() >= CAPACITY {
            entries.retain(|_, entry| now.since(entry.recorded_at) < RETENTION);
        }
        if entries.len() < CAPACITY {
            let recorded_at = now;
            let entry = CachedRequest {
                fingerprint,
                sent,
                recorded_at,
            };
            entries.insert(key.to_owned(), entry);
        }
    }

    /// Removes a key whose request is no longer known to its agent.
    pub(crate) fn remove(&self, key: &str) {
        self.lock().remove(key);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, CachedRequest>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
