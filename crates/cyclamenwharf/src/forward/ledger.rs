//! Keeps in the key-value service where this entry's prompts were read.
//!
//! The other entries hear it at once, but when all of them die together only the service remembers.

use std::sync::Arc;
use std::time::Duration;

use cw_store::KeyValue;
use cw_store::ModRevision;
use cw_store::StoreError;
use cw_store::Swap;
use cw_types::Time;
use cw_wire::ReadPrompt;
use cw_wire::decode;
use cw_wire::encode;
use log::info;
use log::warn;

use super::shared::Shared;

/// What the keys begin with; the rest is the host's name.
const PROMPTS: &str = "cyclamenwharf/prompts/";

/// How often the key is written when there is news: each write is charged, and prompts that were
/// sent in between are read anew after a loss of all entries.
const PERIOD: Duration = Duration::from_secs(1);

/// How far back the key goes: the length of a long stream.
const SPAN: Duration = Duration::from_secs(12);

/// Keeps the key of this entry.
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
            if is_read && prompts != written {
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

    /// Reads what all entries of the last life knew.
    async fn recall(&self) -> Result<(), StoreError> {
        let found = self.store.list(PROMPTS).await?;
        let now = self.shared.now();
        let mut count = 0_usize;
        for item in found {
            match decode::<Vec<ReadPrompt>>(&item.value) {
                Ok(prompts) => {
                    count += prompts.len();
                    let mut beliefs = self.shared.beliefs();
                    for prompt in prompts {
                        beliefs.heard_prompts.note(now, prompt);
                    }
                }
                Err(error) => {
                    warn!(key = item.key.as_str(); "a list of prompts cannot be read: {error}");
                }
            }
        }
        info!(prompts = count; "where prompts were read is known again");
        Ok(())
    }

    fn prompts(&self) -> Vec<ReadPrompt> {
        let now = self.shared.now();
        let since = Time(
            now.0
                .saturating_sub(Time::default().until(Time::default() + SPAN).as_micros() as u64),
        );
        self.shared.beliefs().own_prompts.noted_since(since)
    }

    async fn write(
        &self,
        prompts: &[ReadPrompt],
        revision: &mut Option<ModRevision>,
    ) -> Result<(), StoreError> {
        let key = format!("{PROMPTS}{}", self.shared.settings.host);
        let value = encode(&prompts).map_err(|error| StoreError::Protocol {
            message: error.to_string(),
        })?;
        // The first conflict tells the revision that an earlier life has left.
        for _ in 0..2 {
            match self
                .store
                .swap(&key, *revision, value.clone(), None)
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
