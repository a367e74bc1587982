//! An in-memory key-value store with injected faults.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use cw_store::KeyValueStore;
use cw_store::LeaseId;
use cw_store::ModRevision;
use cw_store::StoreError;
use cw_store::Swap;
use cw_store::Versioned;
use cw_store::WatchEvent;
use futures::FutureExt;
use futures::future::BoxFuture;
use futures::stream::BoxStream;

/// A fault that is injected into a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The write takes effect, and its response is lost.
    ResponseLost,
    /// The write has no effect, and its response is lost.
    RequestLost,
    /// The write takes effect, and its call never returns.
    NoResponse,
}

#[derive(Debug, Default)]
struct Inner {
    values: BTreeMap<String, Versioned>,
    revision: i64,
    faults: Vec<Fault>,
    down: bool,
}

/// An in-memory key-value store with injected faults.
#[derive(Debug, Default)]
pub(crate) struct MemoryStore {
    inner: Mutex<Inner>,
}

impl MemoryStore {
    /// Sets the faults of the next writes, of which the last one is used first.
    pub(crate) fn inject_faults(&self, faults: &[Fault]) {
        self.inner().faults = faults.to_vec();
    }

    /// Sets whether the store is unavailable.
    pub(crate) fn set_down(&self, down: bool) {
        self.inner().down = down;
    }

    /// Returns the number of keys.
    pub(crate) fn len(&self) -> usize {
        self.inner().values.len()
    }

    fn inner(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().expect("no test panics here")
    }

    fn check_available(&self) -> Result<(), StoreError> {
        let message = "store set down by the test".to_owned();
        match self.inner().down {
            true => Err(StoreError::Unavailable { message }),
            false => Ok(()),
        }
    }

    fn write(&self, key: &str, expected: Option<ModRevision>, value: Bytes) -> Swap {
        let mut inner = self.inner();
        let stored = inner.values.get(key).cloned();
        if stored.as_ref().map(|stored| stored.modified) != expected {
            return Swap::Conflict(stored);
        }
        inner.revision += 1;
        let revision = ModRevision(inner.revision);
        let versioned = Versioned {
            key: key.to_owned(),
            value,
            created: stored.map_or(revision, |stored| stored.created),
            modified: revision,
        };
        inner.values.insert(key.to_owned(), versioned);
        Swap::Done(revision)
    }
}

impl KeyValueStore for MemoryStore {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Versioned>, StoreError>> {
        async move {
            self.check_available()?;
            Ok(self.inner().values.get(key).cloned())
        }
        .boxed()
    }

    fn list<'a>(&'a self, _prefix: &'a str) -> BoxFuture<'a, Result<Vec<Versioned>, StoreError>> {
        async { Ok(Vec::new()) }.boxed()
    }

    fn swap<'a>(
        &'a self,
        key: &'a str,
        expected: Option<ModRevision>,
        value: Bytes,
        _lease: Option<LeaseId>,
    ) -> BoxFuture<'a, Result<Swap, StoreError>> {
        async move {
            self.check_available()?;
            let fault = self.inner().faults.pop();
            let swap = match fault {
                Some(Fault::RequestLost) => None,
                _ => Some(self.write(key, expected, value)),
            };
            let message = "response dropped by the test".to_owned();
            match (fault, swap) {
                (Some(Fault::NoResponse), _) => std::future::pending().await,
                (None, Some(swap)) => Ok(swap),
                _ => Err(StoreError::OutcomeUnknown { message }),
            }
        }
        .boxed()
    }

    fn remove<'a>(
        &'a self,
        _key: &'a str,
        _expected: ModRevision,
    ) -> BoxFuture<'a, Result<Swap, StoreError>> {
        async { Ok(Swap::Conflict(None)) }.boxed()
    }

    fn grant(&self, _ttl: Duration) -> BoxFuture<'_, Result<LeaseId, StoreError>> {
        async move { self.check_available().map(|()| LeaseId(1)) }.boxed()
    }

    fn keep_alive(&self, _lease: LeaseId) -> BoxFuture<'_, Result<Duration, StoreError>> {
        async { Ok(Duration::from_secs(1)) }.boxed()
    }

    fn revoke(&self, _lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        async { Ok(()) }.boxed()
    }

    fn watch<'a>(
        &'a self,
        _prefix: &'a str,
        _after: ModRevision,
    ) -> BoxFuture<'a, Result<BoxStream<'static, Result<WatchEvent, StoreError>>, StoreError>> {
        async { Err(StoreError::LeaseExpired) }.boxed()
    }
}
