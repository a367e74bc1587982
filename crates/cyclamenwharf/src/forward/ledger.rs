//! Keeps in the key-value service where prompts were read.
//!
//! The other entries hear it at once, but when all of them die together only the service remembers.

use std::sync::Arc;
use std::time::Duration;

use cw_store::KeyValue;
use cw_store::ModRevision;
use cw_store::StoreError;
use cw_store::Swap;
use cw_wire::CachedPrompt;
use cw_wire::decode;
use cw_wire::encode;
use log::info;
use log::warn;

use super::shared::Shared;

/// The key.
const PROMPTS: &str = "cyclamenwharf/prompts";

/// How often the key is written when there is news: each write is charged, and prompts that were
/// sent in between are read anew after a loss of all entries.
const PERIOD: Duration = Duration::from_secs(1);

/// The most prompts that the key names, to stay far below the largest value.
const PROMPTS_MAX: usize = 4096;

/// How far back the key goes: the length of a long stream.
const SPAN: Duration = Duration::from_secs(12);

/// Keeps the key, if this is the entry that does so for all.
pub(super) struct Ledger {
    pub(super) shared: Arc<Shared>,
    pub(super) store: Arc<dyn KeyValue>,
}

impl Ledger {
    /// Runs until it is dropped.
    pub(super) async fn run(self) {
        let mut is_read = false;
        let mut revision = None;
        let mut written = Vec::new();
        loop {
            if !is_read {
                is_read = self.logged(self.recall().await);
            }
            let prompts = self.prompts();
            let is_scribe = self.shared.beliefs().fleet.is_scribe(self.shared.now());
            if is_read && is_scribe && prompts != written {
                let swap = self.write(&prompts, &mut revision).await;
                if self.logged(swap) {
                    written = prompts;
                }
            }
            tokio::time::sleep(PERIOD).await;
        }
    }

    fn logged(&self, end: Result<(), StoreError>) -> bool {
        match end {
            Ok(()) => true,
            Err(error) => {
                self.shared.metrics.stored("failed");
                warn!("where prompts were read cannot be kept: {error}");
                false
            }
        }
    }

    /// Reads what the entries of an earlier life knew.
    async fn recall(&self) -> Result<(), StoreError> {
        let Some(item) = self.store.get(PROMPTS).await? else {
            return Ok(());
        };
        let now = self.shared.now();
        match decode::<Vec<CachedPrompt>>(&item.value) {
            Ok(prompts) => {
                info!(prompts = prompts.len(); "where prompts were read is known again");
                let mut beliefs = self.shared.beliefs();
                for prompt in prompts {
                    beliefs.heard_prompts.note(now, prompt);
                }
            }
            Err(error) => warn!("the list of prompts cannot be read: {error}"),
        }
        Ok(())
    }

    fn prompts(&self) -> Vec<CachedPrompt> {
        let since = self.shared.now().before(SPAN);
        let beliefs = self.shared.beliefs();
        let mut prompts = beliefs.own_prompts.noted_since(since);
        prompts.extend(beliefs.heard_prompts.noted_since(since));
        prompts.truncate(PROMPTS_MAX);
        prompts
    }

    async fn write(
        &self,
        prompts: &[CachedPrompt],
        revision: &mut Option<ModRevision>,
    ) -> Result<(), StoreError> {
        let value = encode(&prompts).map_err(|error| StoreError::Protocol {
            message: error.to_string(),
        })?;
        // The first conflict tells the revision that an earlier life has left.
        for _ in 0..2 {
            match self
                .store
                .swap(PROMPTS, *revision, value.clone(), None)
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
            message: "somebody else writes the key".to_owned(),
        })
    }
}
