//! The interface of the key-value service.

use std::time::Duration;

use bytes::Bytes;
use cw_macro::data;
use futures::FutureExt;
use futures::future::BoxFuture;
use futures::stream::BoxStream;
use snafu::Snafu;

use crate::StoreRevision;
use crate::TransferProgress;

/// The id of a lease: the service deletes the keys attached to a lease when it expires.
#[data(Copy, Eq, Hash, PartialOrd, Ord)]
#[serde(transparent)]
pub struct LeaseId(pub i64);

/// A key with its value and its revisions.
#[data(Eq)]
pub struct Versioned {
    /// The full key, also if it was found by its prefix.
    pub key: String,
    /// The value that was written at `modified`.
    pub value: Bytes,
    /// The revision at which the key was created, since its last deletion.
    pub created: StoreRevision,
    /// The revision at which the key was last changed.
    pub modified: StoreRevision,
}

/// The outcome of a compare-and-swap.
#[data(Eq)]
pub enum Swap {
    /// The value was written at this revision.
    Done(StoreRevision),
    /// The key was not at the expected revision; this is its current value, if it exists.
    Conflict(Option<Versioned>),
}

/// An event of a watch.
#[data(Eq)]
pub enum WatchEvent {
    /// The key has a new value.
    Put(Versioned),
    /// The key was deleted.
    Deleted {
        /// The full key that was deleted.
        key: String,
        /// The revision of the deletion.
        revision: StoreRevision,
    },
    /// The watch is alive, and all changes up to a revision have been reported.
    Progress {
        /// The revision.
        revision: StoreRevision,
        /// How long ago, at most, the service had no later change.
        age: Duration,
    },
}

/// The error of a call to a service.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum StoreError {
    /// The call did not reach the service or was rejected by it, so it had no effect.
    #[snafu(display("the service is unavailable: {message}"))]
    Unavailable {
        /// Why the call did not reach the service or was rejected.
        message: String,
    },
    /// The call may have taken effect: no complete response arrived, or the service reported an
    /// error that leaves the outcome open.
    #[snafu(display("the outcome of the call is unknown: {message}"))]
    OutcomeUnknown {
        /// Why no conclusive response was received.
        message: String,
    },
    /// The lease does not exist or has expired.
    #[snafu(display("the lease has expired"))]
    LeaseExpired,
    /// The service has compacted the changes that the watch starts from; the caller must list the
    /// keys again.
    #[snafu(display("the revision at which the watch starts has been compacted"))]
    Compacted,
    /// The response does not follow the service's protocol.
    #[snafu(display("invalid response from the service: {message}"))]
    Protocol {
        /// What is invalid.
        message: String,
    },
}

/// A key-value service with compare-and-swap, leases and watches.
pub trait KeyValueStore: Send + Sync {
    /// Returns the value of a key, or `None` if the key does not exist.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Versioned>, StoreError>>;

    /// Returns the revision at which a key was last changed, without transferring the value if the
    /// service supports that.
    fn modified<'a>(
        &'a self,
        key: &'a str,
    ) -> BoxFuture<'a, Result<Option<StoreRevision>, StoreError>> {
        async move { Ok(self.get(key).await?.map(|found| found.modified)) }.boxed()
    }

    /// Returns all keys that begin with `prefix`, in order.
    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<Versioned>, StoreError>>;

    /// Returns all keys that begin with `prefix`, with values that may be seconds old if the
    /// service can serve these more cheaply.
    fn list_stale<'a>(
        &'a self,
        prefix: &'a str,
    ) -> BoxFuture<'a, Result<Vec<Versioned>, StoreError>> {
        self.list(prefix)
    }

    /// Returns all keys that begin with `prefix`, and the revision after which to watch them.
    fn snapshot<'a>(
        &'a self,
        prefix: &'a str,
    ) -> BoxFuture<'a, Result<(Vec<Versioned>, StoreRevision), StoreError>> {
        async move {
            let found = self.list(prefix).await?;
            let newest = found.iter().map(|item| item.modified).max();
            Ok((found, newest.unwrap_or_default()))
        }
        .boxed()
    }

    /// Returns the same as [`Self::snapshot`], over connections that are opened for it if the service supports
    /// that: those that are open may have gone silent. Records in the progress how much has arrived, if the service
    /// supports that.
    fn fresh_snapshot<'a>(
        &'a self,
        prefix: &'a str,
        _progress: &'a TransferProgress,
    ) -> BoxFuture<'a, Result<(Vec<Versioned>, StoreRevision), StoreError>> {
        self.snapshot(prefix)
    }

    /// Writes `value` if the key was last changed at `expected`, and attaches the key to `lease`.
    /// If `expected` is `None`, the key must not exist.
    fn swap<'a>(
        &'a self,
        key: &'a str,
        expected: Option<StoreRevision>,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'a, Result<Swap, StoreError>>;

    /// Deletes a key if it was last changed at `expected`.
    fn remove<'a>(
        &'a self,
        key: &'a str,
        expected: StoreRevision,
    ) -> BoxFuture<'a, Result<Swap, StoreError>>;

    /// Creates a lease that expires after `ttl` unless it is kept alive.
    fn grant(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, StoreError>>;

    /// Renews a lease and returns its new time to live.
    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<Duration, StoreError>>;

    /// Revokes a lease.
    fn revoke(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Watches all keys that begin with `prefix`, from the first change after the revision `after`.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: StoreRevision,
    ) -> BoxFuture<'a, Result<BoxStream<'static, Result<WatchEvent, StoreError>>, StoreError>>;
}
