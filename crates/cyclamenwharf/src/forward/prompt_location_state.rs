//! Persists in the key-value service which targets have read recent prompts.
//!
//! Each entry sends this to the others at once, but only the service preserves it when all entries
//! fail together.

use std::sync::Arc;
use std::time::Duration;

use cw_store::KeyValueStore;
use cw_store::StoreError;
use cw_store::StoreRevision;
use cw_store::Swap;
use cw_wire::CachedPrompt;
use cw_wire::decode;
use cw_wire::encode;
use log::info;
use log::warn;

use super::forward_context::ForwardContext;

/// The key of the prompt locations.
const PROMPTS_KEY: &str = "cyclamenwharf/prompts";

/// How often the key is written after changes. Each write is charged, and prompts that are sent
/// between two writes are read again after a loss of all entries.
const WRITE_PERIOD: Duration = Duration::from_secs(1);

/// The maximum number of prompts in the value, which keeps it far below the size limit of the
/// service.
const MAX_PROMPTS: usize = 4096;

/// The maximum age of a prompt in the value, which is the duration of a long stream.
const MAX_AGE: Duration = Duration::from_secs(12);

/// Reads the key at startup, and writes it if this entry is the writer.
pub(super) struct PromptLocationStore {
    pub(super) context: Arc<ForwardContext>,
    pub(super) store: Arc<dyn KeyValueStore>,
}

impl PromptLocationStore {
    /// Runs until the future is dropped.
    pub(super) async fn run(self) {
        let mut is_restored = false;
        let mut revision = None;
        let mut last_written = Vec::new();
        loop {
            if !is_restored {
                is_restored = self.log_failure(self.restore().await);
            }
            let prompts = self.recent_prompts();
            let is_writer = self.context.state().fleet.is_writer(self.context.now());
            if is_restored && is_writer && prompts != last_written {
                let swap = self.write(&prompts, &mut revision).await;
                if self.log_failure(swap) {
                    last_written = prompts;
                }
            }
            tokio::time::sleep(WRITE_PERIOD).await;
        }
    }

    /// Logs and counts a failure. Returns whether the call succeeded.
    fn log_failure(&self, result: Result<(), StoreError>) -> bool {
        match result {
            Ok(()) => true,
            Err(error) => {
                self.context.metrics.record_store_message("failed");
                warn!("failed to read or write the prompt locations: {error}");
                false
            }
        }
    }

    /// Restores the locations that entries before a restart have written.
    async fn restore(&self) -> Result<(), StoreError> {
        let Some(item) = self.store.get(PROMPTS_KEY).await? else {
            return Ok(());
        };
        let now = self.context.now();
        match decode::<Vec<CachedPrompt>>(&item.value) {
            Ok(prompts) => {
                info!(prompts = prompts.len(); "restored the prompt locations");
                let mut state = self.context.state();
                for prompt in prompts {
                    state.peer_prompts.record(now, prompt);
                }
            }
            Err(error) => warn!("failed to decode the prompt locations: {error}"),
        }
        Ok(())
    }

    fn recent_prompts(&self) -> Vec<CachedPrompt> {
        let since = self.context.now().before(MAX_AGE);
        let state = self.context.state();
        let mut prompts = state.own_prompts.recorded_since(since);
        prompts.extend(state.peer_prompts.recorded_since(since));
        prompts.truncate(MAX_PROMPTS);
        prompts
    }

    async fn write(
        &self,
        prompts: &[CachedPrompt],
        revision: &mut Option<StoreRevision>,
    ) -> Result<(), StoreError> {
        let value = encode(&prompts).map_err(|error| StoreError::Protocol {
            message: error.to_string(),
        })?;
        // The first conflict returns the revision that a previous writer left.
        for _ in 0..2 {
            match self
                .store
                .swap(PROMPTS_KEY, *revision, value.clone(), None)
                .await?
            {
                Swap::Done(newest) => {
                    *revision = Some(newest);
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
