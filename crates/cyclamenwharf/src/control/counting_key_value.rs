//! A key-value client that counts its calls.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cw_store::KeyValueStore;
use cw_store::LeaseId;
use cw_store::StoreError;
use cw_store::StoreRevision;
use cw_store::Swap;
use cw_store::Versioned;
use cw_store::WatchEvent;
use futures::future::BoxFuture;
use futures::stream::BoxStream;
use prometheus::IntCounterVec;

/// A key-value client that counts its calls, because the platform counts and limits them.
pub(super) struct CountingKeyValue {
    inner: Arc<dyn KeyValueStore>,
    calls: IntCounterVec,
}

impl CountingKeyValue {
    /// Returns a client that counts the calls to `inner` in `calls`, by the label `call`.
    pub(super) fn new(inner: Arc<dyn KeyValueStore>, calls: IntCounterVec) -> Self {
        Self { inner, calls }
    }

    fn count(&self, call: &str) {
        self.calls.with_label_values(&[call]).inc();
    }
}

impl KeyValueStore for CountingKeyValue {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Versioned>, StoreError>> {
        self.count("get");
        self.inner.get(key)
    }

    fn modified<'a>(
        &'a self,
        key: &'a str,
    ) -> BoxFuture<'a, Result<Option<StoreRevision>, StoreError>> {
        self.count("modified");
        self.inner.modified(key)
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<Versioned>, StoreError>> {
        self.count("list");
        self.inner.list(prefix)
    }

    fn list_stale<'a>(
        &'a self,
        prefix: &'a str,
    ) -> BoxFuture<'a, Result<Vec<Versioned>, StoreError>> {
        self.count("list_stale");
        self.inner.list_stale(prefix)
    }

    fn snapshot<'a>(
        &'a self,
        prefix: &'a str,
    ) -> BoxFuture<'a, Result<(Vec<Versioned>, StoreRevision), StoreError>> {
        self.count("snapshot");
        self.inner.snapshot(prefix)
    }

    fn swap<'a>(
        &'a self,
        key: &'a str,
        expected: Option<StoreRevision>,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'a, Result<Swap, StoreError>> {
        self.count("swap");
        self.inner.swap(key, expected, value, lease)
    }

    fn remove<'a>(
        &'a self,
        key: &'a str,
        expected: StoreRevision,
    ) -> BoxFuture<'a, Result<Swap, StoreError>> {
        self.count("remove");
        self.inner.remove(key, expected)
    }

    fn grant(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, StoreError>> {
        self.count("grant");
        self.inner.grant(ttl)
    }

    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<Duration, StoreError>> {
        self.count("keep_alive");
        self.inner.keep_alive(lease)
    }

    fn revoke(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        self.count("revoke");
        self.inner.revoke(lease)
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: StoreRevision,
    ) -> BoxFuture<'a, Result<BoxStream<'static, Result<WatchEvent, StoreError>>, StoreError>> {
        self.count("watch");
        self.inner.watch(prefix, after)
    }
}
