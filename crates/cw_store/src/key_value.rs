//! The key-value service.

use std::time::Duration;

use bytes::Bytes;
use cw_macro::data;
use futures::FutureExt;
use futures::future::BoxFuture;
use futures::stream::BoxStream;
use snafu::Snafu;

/// The service's own revision at which a key was last changed.
#[data(Copy, Default, Eq, Hash, PartialOrd, Ord)]
#[serde(transparent)]
pub struct ModRevision(pub i64);

/// A lease: keys bound to it vanish when it is not kept alive.
#[data(Copy, Eq, Hash, PartialOrd, Ord)]
#[serde(transparent)]
pub struct LeaseId(pub i64);

/// A value and the revision that wrote it.
#[data(Eq)]
pub struct Versioned {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// The revision at which the key was created in this life.
    pub created: ModRevision,
    /// The revision at which it was last changed.
    pub modified: ModRevision,
}

/// The outcome of a compare-and-swap.
#[data(Eq)]
pub enum Swap {
    /// The value was written at this revision.
    Done(ModRevision),
    /// The key was not as expected; this is what it holds.
    Conflict(Option<Versioned>),
}

/// A change that a watch saw.
#[data(Eq)]
pub enum WatchEvent {
    /// The key has a new value.
    Put(Versioned),
    /// The key is gone.
    Deleted {
        /// The key.
        key: String,
        /// The revision that removed it.
        revision: ModRevision,
    },
    /// The service says that the watch lives.
    Progress(ModRevision),
}

/// A call that failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum StoreError {
    /// The call never reached the service, or was refused by it: it had no effect.
    #[snafu(display("the service is unavailable: {message}"))]
    Unavailable {
        /// What happened.
        message: String,
    },
    /// The answer was lost: the call may have had its effect.
    #[snafu(display("the answer was lost: {message}"))]
    OutcomeUnknown {
        /// What happened.
        message: String,
    },
    /// The lease does not exist or has lapsed.
    #[snafu(display("the lease has lapsed"))]
    LeaseExpired,
    /// The changes that a watch asks for are no longer kept: what they led to must be read.
    #[snafu(display("the history that the watch needs is gone"))]
    Compacted,
    /// The answer makes no sense.
    #[snafu(display("the service answered what it should not: {message}"))]
    Protocol {
        /// What it answered.
        message: String,
    },
}

/// A key-value service with compare-and-swap, leases and watches.
pub trait KeyValueStore: Send + Sync {
    /// Reads one key.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Versioned>, StoreError>>;

    /// Returns when a key was last changed, without its value where the service can do that.
    fn modified<'a>(
        &'a self,
        key: &'a str,
    ) -> BoxFuture<'a, Result<Option<ModRevision>, StoreError>> {
        async move { Ok(self.get(key).await?.map(|found| found.modified)) }.boxed()
    }

    /// Reads all keys that begin with `prefix`, in order.
    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<Versioned>, StoreError>>;

    /// Reads all keys that begin with `prefix`, perhaps as they were seconds ago, where the service
    /// can do that with less work.
    fn list_stale<'a>(
        &'a self,
        prefix: &'a str,
    ) -> BoxFuture<'a, Result<Vec<Versioned>, StoreError>> {
        self.list(prefix)
    }

    /// Reads all keys that begin with `prefix`, and the revision from which to watch them.
    fn snapshot<'a>(
        &'a self,
        prefix: &'a str,
    ) -> BoxFuture<'a, Result<(Vec<Versioned>, ModRevision), StoreError>> {
        async move {
            let found = self.list(prefix).await?;
            let newest = found.iter().map(|item| item.modified).max();
            Ok((found, newest.unwrap_or_default()))
        }
        .boxed()
    }

    /// Writes `value` if the key was last changed at `expected`; `None` if it does not exist.
    fn swap<'a>(
        &'a self,
        key: &'a str,
        expected: Option<ModRevision>,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'a, Result<Swap, StoreError>>;

    /// Removes a key if it was last changed at `expected`.
    fn remove<'a>(
        &'a self,
        key: &'a str,
        expected: ModRevision,
    ) -> BoxFuture<'a, Result<Swap, StoreError>>;

    /// Grants a lease for `ttl`.
    fn grant(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, StoreError>>;

    /// Keeps a lease alive, and returns the time that it has now.
    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<Duration, StoreError>>;

    /// Ends a lease.
    fn revoke(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Watches all keys that begin with `prefix`, from the change after `after`.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: ModRevision,
    ) -> BoxFuture<'a, Result<BoxStream<'static, Result<WatchEvent, StoreError>>, StoreError>>;
}
