//! Follows the configuration and the targets in the key-value service.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cw_policy::budget::Backoff;
use cw_store::KeyValue;
use cw_store::StoreError;
use cw_store::Versioned;
use cw_store::WatchEvent;
use cw_types::TargetId;
use futures::StreamExt;
use log::info;
use log::warn;

use super::shared::Shared;

/// How long to wait after calls that failed: the service prices refused calls too, and what it
/// holds must be in force within seconds of its return.
const BACKOFF: Backoff = Backoff {
    base: Duration::from_millis(100),
    most: Duration::from_millis(800),
};

/// What part of the key-value service is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Topic {
    /// The configuration.
    Config,
    /// The targets.
    Targets,
}

/// Follows one part of the key-value service.
pub(super) struct Directory {
    pub(super) shared: Arc<Shared>,
    pub(super) store: Arc<dyn KeyValue>,
    pub(super) topic: Topic,
}

impl Directory {
    /// Runs until it is dropped.
    pub(super) async fn run(self) {
        let mut failures = 0;
        loop {
            let Err(error) = self.follow(&mut failures).await else {
                continue;
            };
            self.lost(&error);
            let pause = {
                let mut beliefs = self.shared.beliefs();
                BACKOFF.wait(failures, &mut beliefs.rng)
            };
            failures += 1;
            tokio::time::sleep(pause).await;
        }
    }

    fn prefix(&self) -> &str {
        match self.topic {
            Topic::Config => self.shared.dialect.config_key(),
            Topic::Targets => self.shared.dialect.targets_prefix(),
        }
    }

    /// Reads and watches until a call fails.
    async fn follow(&self, failures: &mut u32) -> Result<(), StoreError> {
        let (found, revision) = self.store.snapshot(self.prefix()).await?;
        self.answered();
        self.relist(&found);
        let mut watch = self.store.watch(self.prefix(), revision).await?;
        while let Some(event) = watch.next().await {
            let event = event?;
            *failures = 0;
            self.answered();
            match event {
                WatchEvent::Put(item) => self.put(&item),
                WatchEvent::Deleted { key, .. } => self.deleted(&key),
                WatchEvent::Progress(_) => {}
            }
        }
        Ok(())
    }

    // ---- Whether the service answers ----

    fn answered(&self) {
        self.shared.metrics.stored("answered");
        let now = self.shared.now();
        if self.topic == Topic::Targets && self.shared.beliefs().fleet.directory_back(now) {
            info!("the key-value service answers again");
        }
    }

    fn lost(&self, error: &StoreError) {
        self.shared.metrics.stored("failed");
        if *error == StoreError::Compacted {
            info!(topic:? = self.topic; "the watched history is gone; reading anew");
            return;
        }
        if self.topic == Topic::Targets && self.shared.beliefs().fleet.directory_lost() {
            warn!("the key-value service does not answer: {error}");
        }
    }

    // ---- What it says ----

    fn relist(&self, found: &[Versioned]) {
        found.iter().for_each(|item| self.put(item));
        if self.topic == Topic::Targets {
            let names: BTreeSet<TargetId> =
                found.iter().filter_map(|item| self.id(&item.key)).collect();
            let now = self.shared.now();
            let mut beliefs = self.shared.beliefs();
            beliefs.fleet.relisted(now, &names);
            self.count(beliefs.fleet.len());
        }
    }

    fn put(&self, item: &Versioned) {
        match self.topic {
            Topic::Config => self.configure(item),
            Topic::Targets => self.list(item),
        }
    }

    fn configure(&self, item: &Versioned) {
        if item.key != self.shared.dialect.config_key() {
            return;
        }
        let config = match self.shared.dialect.read_config(&item.value) {
            Ok(config) => config,
            Err(error) => {
                warn!(revision = item.modified.0; "the configuration cannot be read: {error}");
                return;
            }
        };
        let mut beliefs = self.shared.beliefs();
        let present = beliefs.config.as_ref().map(|config| config.version());
        if present.is_some_and(|present| present >= config.version()) {
            return;
        }
        info!(version = config.version(), revision = item.modified.0; "a configuration is in force");
        let version = i64::try_from(config.version()).unwrap_or(i64::MAX);
        self.shared.metrics.version.set(version);
        let services: BTreeSet<_> = config.services().cloned().collect();
        beliefs.budgets.retain(|service| services.contains(service));
        beliefs.pace.retain(|service| services.contains(service));
        beliefs.config = Some(Arc::new(config));
        self.shared.health.set_configured();
    }

    fn list(&self, item: &Versioned) {
        let Some(id) = self.id(&item.key) else {
            return;
        };
        let listing = self.shared.dialect.read_listing(id.as_str(), &item.value);
        let now = self.shared.now();
        let mut beliefs = self.shared.beliefs();
        match listing {
            Ok(listing) => {
                if beliefs.fleet.listed(now, listing.clone()) {
                    info!(
                        target_id = id.as_str(),
                        service = listing.service.as_str(),
                        zone = listing.zone.as_str(),
                        address = listing.address.to_string(),
                        leaving = u64::from(listing.leaving),
                        revision = item.modified.0;
                        "a target is listed"
                    );
                }
            }
            Err(error) => {
                warn!(target_id = id.as_str(); "a target's entry cannot be read: {error}");
                beliefs.fleet.removed(now, &id);
            }
        }
        self.count(beliefs.fleet.len());
    }

    fn deleted(&self, key: &str) {
        let Some(id) = self.id(key).filter(|_| self.topic == Topic::Targets) else {
            return;
        };
        let now = self.shared.now();
        let mut beliefs = self.shared.beliefs();
        if beliefs.fleet.removed(now, &id) {
            info!(target_id = id.as_str(); "a target's entry is gone");
        }
        self.count(beliefs.fleet.len());
    }

    fn id(&self, key: &str) -> Option<TargetId> {
        key.strip_prefix(self.shared.dialect.targets_prefix())?
            .parse()
            .ok()
    }

    fn count(&self, targets: usize) {
        let targets = i64::try_from(targets).unwrap_or(i64::MAX);
        self.shared.metrics.targets.set(targets);
    }
}
