//! Keeps the configuration and the targets in sync with the key-value service.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cw_policy::budget::Backoff;
use cw_store::HttpClient;
use cw_store::KeyValueStore;
use cw_store::StoreError;
use cw_store::StoreRevision;
use cw_store::Versioned;
use cw_store::WatchEvent;
use cw_types::TargetId;
use cw_wire::DirectoryChange;
use futures::StreamExt;
use log::info;
use log::warn;

use super::crash_evidence_state::CRASHES_KEY;
use super::crash_evidence_state::restore_evidence;
use super::forward_context::ForwardContext;
use super::forward_context::ForwardState;
use super::target_records::apply_directory_change;
use super::target_records::apply_listing;
use super::target_records::set_target_count;
use super::target_records::target_id;

/// The delay after failed calls. The service charges for failed calls too, and its data must be
/// applied within seconds of its recovery.
const BACKOFF: Backoff = Backoff {
    base: Duration::from_millis(100),
    max: Duration::from_millis(800),
};

/// How often an entry that does not watch the service checks whether it should.
const ROLE_CHECK_PERIOD: Duration = Duration::from_millis(150);

/// The part of the key-value service that is kept in sync.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Topic {
    /// The single key that holds the configuration.
    Config,
    /// The keys of the target records, which share a prefix.
    Targets,
}

/// Keeps one part of the key-value service in sync.
pub(super) struct DirectorySync {
    pub(super) context: Arc<ForwardContext>,
    pub(super) store: Arc<dyn KeyValueStore>,
    pub(super) topic: Topic,
    /// The client for calls to the other entries.
    pub(super) entries: HttpClient,
}

impl DirectorySync {
    /// Runs until the future is dropped.
    pub(super) async fn run(self) {
        let mut failures = 0;
        if self.topic == Topic::Targets && self.start_from_peers().await {
            self.wait_until_needed().await;
        }
        loop {
            let result = tokio::select! {
                result = self.read_and_watch(&mut failures) => result,
                never = self.query_peers_until_known() => match never {},
            };
            match result {
                Ok(()) if self.topic == Topic::Config && self.is_missing_updates() => {
                    self.record_older_read();
                }
                Ok(()) => {
                    self.wait_until_needed().await;
                    continue;
                }
                Err(error) => self.record_failure(&error),
            }
            self.query_peers().await;
            let pause = {
                let mut state = self.context.state();
                BACKOFF.delay(failures, &mut state.rng)
            };
            failures += 1;
            tokio::time::sleep(pause).await;
        }
    }

    fn prefix(&self) -> &str {
        match self.topic {
            Topic::Config => self.context.dialect.config_key(),
            Topic::Targets => self.context.dialect.targets_prefix(),
        }
    }

    /// Waits until this entry has to call the service, either because it has become a watcher or
    /// because another entry has newer data.
    async fn wait_until_needed(&self) {
        loop {
            let behind = self.context.directory_behind.notified();
            // A timeout continues as well, since the role of this entry may have changed.
            let _ = tokio::time::timeout(ROLE_CHECK_PERIOD, behind).await;
            if self.topic == Topic::Targets {
                self.query_missing_changes().await;
            }
            let now = self.context.now();
            let state = self.context.state();
            let is_behind = match self.topic {
                Topic::Targets => state.directory_log.is_behind(now),
                Topic::Config => state.config.is_none() || state.is_config_behind(),
            };
            if is_behind || state.fleet.is_watcher(now) {
                return;
            }
        }
    }

    /// Reads the data, and watches it while this entry is a watcher, until a call fails.
    async fn read_and_watch(&self, failures: &mut u32) -> Result<(), StoreError> {
        let others = async {
            if self.topic == Topic::Config && self.context.config().is_none() {
                // The service may have come back from an older copy, which the others know better.
                futures::future::join(self.restore_crash_evidence(), self.query_at_start()).await;
            }
        };
        let (snapshot, ()) =
            futures::future::join(self.store.snapshot(self.prefix()), others).await;
        let (items, revision) = snapshot?;
        self.record_success();
        self.apply_snapshot(&items, revision);
        if !self.is_watcher() {
            return Ok(());
        }
        let mut watch = self.store.watch(self.prefix(), revision).await?;
        while let Some(event) = watch.next().await {
            let event = event?;
            *failures = 0;
            self.record_success();
            match event {
                WatchEvent::Put(item) => self.apply_put(&item),
                WatchEvent::Deleted { key, revision } => self.apply_delete(&key, revision),
                WatchEvent::Progress(_) => {
                    if !self.is_watcher() {
                        return Ok(());
                    }
                }
            }
        }
        Ok(())
    }

    /// Reads the evidence against requests that crash targets, before the first configuration lets
    /// requests in. If that fails, requests are served all the same, and the evidence follows.
    async fn restore_crash_evidence(&self) {
        let found = match self.store.get(CRASHES_KEY).await {
            Ok(found) => found,
            Err(error) => {
                info!("failed to read the evidence of requests that crash targets: {error}");
                return;
            }
        };
        if let Some(item) = found {
            self.apply_crash_evidence("the key-value service", &item.value);
        }
    }

    pub(super) fn apply_crash_evidence(&self, source: &str, value: &[u8]) {
        if let Err(error) = restore_evidence(&self.context, value) {
            warn!(
                source = source;
                "failed to decode the evidence of requests that crash targets: {error}"
            );
        }
    }

    fn is_watcher(&self) -> bool {
        let now = self.context.now();
        self.context.state().fleet.is_watcher(now)
    }

    // ---- State of the service ----

    fn record_success(&self) {
        self.context.metrics.record_store_message("answered");
        let now = self.context.now();
        if self.topic == Topic::Targets && self.context.state().fleet.record_directory_answer(now) {
            info!("the key-value service answers again");
        }
    }

    fn record_failure(&self, error: &StoreError) {
        self.context.metrics.record_store_message("failed");
        if *error == StoreError::Compacted {
            info!(
                topic:? = self.topic;
                "the watched revision was compacted; reading all keys again"
            );
            return;
        }
        if self.topic == Topic::Targets && self.context.state().fleet.record_directory_failure() {
            warn!("the key-value service does not answer: {error}");
        }
    }

    /// Logs that the service has an older configuration than another entry, since it has come back from an
    /// older copy or does not have the newest change yet.
    fn record_older_read(&self) {
        let state = self.context.state();
        info!(
            version = state.config_version(),
            announced = state.fleet.newest_config();
            "the key-value service has an older configuration than another entry"
        );
    }

    // ---- Data of the service ----

    fn apply_snapshot(&self, items: &[Versioned], revision: StoreRevision) {
        if self.topic == Topic::Config {
            items.iter().for_each(|item| self.apply_config(item));
            return;
        }
        let names: BTreeSet<TargetId> = items
            .iter()
            .filter_map(|item| self.target_id(&item.key))
            .collect();
        let now = self.context.now();
        let mut state = self.context.state();
        if !state.directory_log.accepts_read(revision.0) {
            info!(
                revision = revision.0,
                newest = state.directory_log.newest();
                "ignored outdated targets of the key-value service"
            );
            return;
        }
        let differences = self.differences(&state, items, &names);
        for item in items {
            if let Some(id) = self.target_id(&item.key) {
                apply_listing(
                    &self.context,
                    now,
                    &mut state,
                    &id,
                    &item.value,
                    item.modified.0,
                );
            }
        }
        state.fleet.retain_listed(now, &names);
        let is_first = state.directory_log.newest() == 0;
        info!(
            targets = items.len(),
            differences = differences.len(),
            revision = revision.0,
            known = state.directory_log.newest(),
            watcher = u64::from(state.fleet.is_watcher(now));
            "read the targets from the key-value service"
        );
        let last_change = items.iter().map(|item| item.modified.0).max();
        match is_first {
            true => (state.directory_log).record_read(revision.0, last_change.unwrap_or_default()),
            false => (state.directory_log).record_differences(revision.0, differences),
        }
        set_target_count(&self.context, state.fleet.len());
    }

    /// Returns the keys that differ between what is known and a read of all targets.
    fn differences(
        &self,
        state: &ForwardState,
        items: &[Versioned],
        names: &BTreeSet<TargetId>,
    ) -> Vec<(String, Option<Bytes>)> {
        let is_known = |item: &Versioned| {
            let id = self.target_id(&item.key);
            let known = id.and_then(|id| state.listings.get(&id));
            known.is_some_and(|known| *known == item.value)
        };
        let written = items.iter().filter(|item| !is_known(item));
        let written = written.map(|item| (item.key.clone(), Some(item.value.clone())));
        let prefix = self.context.dialect.targets_prefix();
        let deleted = state.listings.keys().filter(|id| !names.contains(*id));
        let deleted = deleted.map(|id| (format!("{prefix}{id}"), None));
        written.chain(deleted).collect()
    }

    fn apply_put(&self, item: &Versioned) {
        match self.topic {
            Topic::Config => self.apply_config(item),
            Topic::Targets => self.apply_change(&item.key, Some(item.value.clone()), item.modified),
        }
    }

    fn apply_config(&self, item: &Versioned) {
        if item.key == self.context.dialect.config_key() {
            self.activate_config(&item.value, "the key-value service");
        }
    }

    /// Activates a configuration if it can be parsed and is newer than the current one.
    pub(super) fn activate_config(&self, document: &Bytes, source: &str) {
        let config = match self.context.dialect.parse_config(document) {
            Ok(config) => config,
            Err(error) => {
                warn!(source = source; "failed to parse the configuration: {error}");
                return;
            }
        };
        let mut state = self.context.state();
        let current = state.config.as_ref().map(|config| config.version());
        if current.is_some_and(|current| current >= config.version()) {
            return;
        }
        info!(version = config.version(), source = source; "activated a configuration");
        let version = i64::try_from(config.version()).unwrap_or(i64::MAX);
        self.context.metrics.version.set(version);
        let services: BTreeSet<_> = config.services().cloned().collect();
        state.budgets.retain(|service| services.contains(service));
        state.run_times.retain(|service| services.contains(service));
        state
            .standing_queues
            .retain(|service| services.contains(service));
        state.config = Some(Arc::new(config));
        state.config_bytes = Some(document.clone());
        self.context.health.set_configured();
        self.context.peer_update.notify_one();
    }

    fn apply_delete(&self, key: &str, revision: StoreRevision) {
        if self.topic == Topic::Targets {
            self.apply_change(key, None, revision);
        }
    }

    /// Applies a change of the targets that this entry's watch delivered, and announces it to the
    /// other entries.
    fn apply_change(&self, key: &str, value: Option<Bytes>, revision: StoreRevision) {
        let now = self.context.now();
        let mut state = self.context.state();
        state
            .directory_log
            .record_change(key, value.clone(), revision.0);
        let change = DirectoryChange {
            previous: 0,
            revision: revision.0,
            key: key.to_owned(),
            value,
        };
        let trusted = state.fleet.is_trusted(now);
        apply_directory_change(&self.context, now, &mut state, &change, trusted);
        self.context.peer_update.notify_one();
    }

    fn target_id(&self, key: &str) -> Option<TargetId> {
        target_id(&self.context, key)
    }
}
