//! Persists shared state of the entries in the key-value service.
//!
//! Each entry sends this state to the others at once, but only the service preserves it when all
//! entries fail together.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cw_store::KeyValueStore;
use cw_store::StoreError;
use cw_store::StoreRevision;
use cw_store::Swap;
use cw_store::Versioned;
use cw_wire::WireError;
use futures::future::BoxFuture;
use log::warn;

use super::forward_context::ForwardContext;

/// How often the key is written after changes. Each write is charged, and what happens between two
/// writes is lost with all entries.
const WRITE_PERIOD: Duration = Duration::from_secs(1);

/// The shortest time between two writes of one key.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// State that all entries share, under one key of the key-value service.
pub(super) trait SharedState: Send + Sync {
    /// The key.
    fn key(&self) -> &'static str;

    /// Returns the value to write if it differs from what was written last.
    ///
    /// # Errors
    ///
    /// Fails if the state cannot be encoded.
    fn changed_value(&mut self, context: &ForwardContext) -> Result<Option<Bytes>, WireError>;

    /// Records that the value that was returned last is written.
    fn record_written(&mut self);

    /// Forgets what is written, as the service may have lost it.
    fn forget_written(&mut self);

    /// Returns whether each entry reads the key at its start. Otherwise only the entry that writes it does.
    fn is_restored_at_start(&self) -> bool;

    /// Completes when the state has changed so much that it should be written at once.
    fn urgent_change<'a>(&'a self, context: &'a ForwardContext) -> BoxFuture<'a, ()>;

    /// Adds what entries before this one have written. It may be read several times, and late, so it must not replace
    /// what is known better.
    ///
    /// # Errors
    ///
    /// Fails if the value cannot be decoded.
    fn restore(&mut self, context: &ForwardContext, item: &Versioned) -> Result<(), WireError>;
}

/// Reads the key of a state at startup, and writes it if this entry is the writer.
pub(super) struct StateStore {
    pub(super) context: Arc<ForwardContext>,
    pub(super) store: Arc<dyn KeyValueStore>,
    pub(super) state: Box<dyn SharedState>,
}

impl StateStore {
    /// Runs until the future is dropped.
    pub(super) async fn run(mut self) {
        let mut is_restored = false;
        let mut revision = None;
        loop {
            let is_writer = self.context.state().fleet.is_writer(self.context.now());
            if !is_restored && (is_writer || self.state.is_restored_at_start()) {
                let result = self.restore().await;
                is_restored = self.log_failure(result);
            }
            if is_restored && is_writer {
                self.check_written(revision);
                let result = self.write_changes(&mut revision).await;
                self.log_failure(result);
            }
            tokio::time::sleep(MIN_WRITE_INTERVAL).await;
            let urgent = self.state.urgent_change(&self.context);
            // A timeout continues as well: other changes are written now.
            let _ = tokio::time::timeout(WRITE_PERIOD - MIN_WRITE_INTERVAL, urgent).await;
        }
    }

    /// Writes the value anew if the service has come back from an older copy since it was written.
    fn check_written(&mut self, written_at: Option<StoreRevision>) {
        let newest = StoreRevision(self.context.state().directory_log.newest());
        if let Some(written_at) = written_at
            && written_at.era() < newest.era()
        {
            self.state.forget_written();
        }
    }

    /// Logs and counts a failure. Returns whether the call succeeded.
    fn log_failure(&self, result: Result<(), StoreError>) -> bool {
        match result {
            Ok(()) => true,
            Err(error) => {
                self.context.metrics.record_store_message("failed");
                let key = self.state.key();
                warn!(key = key; "failed to read or write shared state: {error}");
                false
            }
        }
    }

    async fn restore(&mut self) -> Result<(), StoreError> {
        let Some(item) = self.store.get(self.state.key()).await? else {
            return Ok(());
        };
        if let Err(error) = self.state.restore(&self.context, &item) {
            let key = self.state.key();
            warn!(key = key; "failed to decode shared state: {error}");
        }
        Ok(())
    }

    async fn write_changes(
        &mut self,
        revision: &mut Option<StoreRevision>,
    ) -> Result<(), StoreError> {
        let changed = self.state.changed_value(&self.context);
        let changed = changed.map_err(|error| StoreError::Protocol {
            message: error.to_string(),
        })?;
        let Some(value) = changed else {
            return Ok(());
        };
        // The first conflict returns the revision that a previous writer left.
        for _ in 0..2 {
            let key = self.state.key();
            match self.store.swap(key, *revision, value.clone(), None).await? {
                Swap::Done(newest) => {
                    *revision = Some(newest);
                    self.state.record_written();
                    return Ok(());
                }
                Swap::Conflict(found) => *revision = found.map(|found| found.modified),
            }
        }
        Err(StoreError::Unavailable {
            message: "another writer keeps changing the key".to_owned(),
        })
    }
}
