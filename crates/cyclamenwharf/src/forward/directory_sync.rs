//! Keeps the configuration and the targets in sync with the key-value service.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cw_policy::forward::Topic;
use cw_store::HttpClient;
use cw_store::KeyValueStore;
use cw_store::StoreError;
use cw_store::StoreRevision;
use cw_store::Versioned;
use cw_store::WatchEvent;
use cw_types::TargetId;
use cw_types::Time;
use cw_wire::DirectoryChange;
use futures::StreamExt;
use log::info;
use log::warn;

use super::forward_context::ForwardContext;
use super::forward_context::ForwardState;
use super::target_records::apply_directory_change;
use super::target_records::apply_listing;
use super::target_records::record_known_targets;
use super::target_records::target_id;

/// How often an entry that does not watch the service checks whether it should.
const ROLE_CHECK_PERIOD: Duration = Duration::from_millis(150);

/// How long an entry that has taken the targets from another one waits for the word of a watching entry. Each
/// sends one several times a second.
const FIRST_WORD_DELAY: Duration = Duration::from_millis(400);

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
        if self.topic == Topic::Targets && self.start_from_peers().await {
            let now = self.context.now();
            let mut state = self.context.state();
            state.freshness(self.topic).rest(now + FIRST_WORD_DELAY);
        }
        futures::future::join(self.watch_in_turn(), self.keep_fresh()).await;
    }

    pub(super) fn prefix(&self) -> &str {
        match self.topic {
            Topic::Config => self.context.dialect.operator_prefix(),
            Topic::Targets => self.context.dialect.targets_prefix(),
        }
    }

    // ---- Watching the service for all ----

    /// Watches the service while it is this entry's turn.
    async fn watch_in_turn(&self) {
        loop {
            tokio::time::sleep(ROLE_CHECK_PERIOD).await;
            let Some(after) = self.watch_start() else {
                continue;
            };
            if let Err(error) = self.watch(after).await {
                self.record_failure(&error);
                self.context.state().freshness(self.topic).expire();
                self.context.directory_behind.notify_waiters();
            }
        }
    }

    /// Returns the revision after which this entry has to watch the service, `None` if it has not to, or if
    /// the service has not answered it recently. In the second case it asks the service first.
    fn watch_start(&self) -> Option<StoreRevision> {
        let now = self.context.now();
        let mut state = self.context.state();
        if !state.fleet.is_watcher(now, self.topic) {
            return None;
        }
        if state.freshness(self.topic).own_age(now).is_none() {
            state.freshness(self.topic).expire();
            self.context.directory_behind.notify_waiters();
            return None;
        }
        match self.topic {
            Topic::Config => state.config_revision,
            Topic::Targets => Some(StoreRevision(state.directory_log.newest())),
        }
    }

    /// Watches the service until another entry does, or a call fails.
    async fn watch(&self, after: StoreRevision) -> Result<(), StoreError> {
        let mut watch = self.store.watch(self.prefix(), after).await?;
        while let Some(event) = watch.next().await {
            let event = event?;
            self.record_success();
            match event {
                WatchEvent::Progress { revision, age } => {
                    let now = self.context.now();
                    self.confirm(now.before(age), revision);
                    if !self.is_watcher() {
                        return Ok(());
                    }
                }
                event => self.apply_event(event),
            }
        }
        Ok(())
    }

    /// Records that all changes up to a revision are known, which the service had as its newest as of a time.
    pub(super) fn confirm(&self, as_of: Time, revision: StoreRevision) {
        let now = self.context.now();
        let mut state = self.context.state();
        state.record_era(now, revision);
        match self.topic {
            Topic::Config => state.config_revision = Some(revision),
            Topic::Targets => {
                state.directory_log.record_known(revision.0);
                state.fleet.confirm_targets(as_of, revision.era());
            }
        }
        state.freshness(self.topic).confirm(as_of);
    }

    fn is_watcher(&self) -> bool {
        let now = self.context.now();
        self.context.state().fleet.is_watcher(now, self.topic)
    }

    // ---- State of the service ----

    pub(super) fn record_success(&self) {
        self.context.metrics.record_store_message("answered");
        let now = self.context.now();
        if self.topic == Topic::Targets && self.context.state().fleet.record_directory_answer(now) {
            info!("the key-value service answers again");
        }
    }

    pub(super) fn record_failure(&self, error: &StoreError) {
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

    // ---- Data of the service ----

    pub(super) fn apply_snapshot(&self, items: &[Versioned], revision: StoreRevision) {
        if self.topic == Topic::Config {
            // An order keeps requests from a version, so it is known before a configuration lets them in.
            items.iter().for_each(|item| self.apply_order(item));
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
            watcher = u64::from(state.fleet.is_watcher(now, Topic::Targets));
            "read the targets from the key-value service"
        );
        let last_change = items.iter().map(|item| item.modified.0).max();
        match is_first {
            true => (state.directory_log).record_read(revision.0, last_change.unwrap_or_default()),
            false => (state.directory_log).record_differences(revision.0, differences),
        }
        record_known_targets(&self.context, &mut state);
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

    fn apply_event(&self, event: WatchEvent) {
        match event {
            WatchEvent::Put(item) if self.topic == Topic::Config => {
                self.apply_order(&item);
                self.apply_config(&item);
            }
            WatchEvent::Put(item) => {
                self.apply_change(&item.key, Some(item.value.clone()), item.modified);
            }
            WatchEvent::Deleted { key, revision } if self.topic == Topic::Targets => {
                self.apply_change(&key, None, revision);
            }
            // A configuration is never deleted, and a roll-out goes on without its order.
            WatchEvent::Deleted { .. } | WatchEvent::Progress { .. } => {}
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
            .rank_demand
            .retain(|service| services.contains(service));
        state
            .standing_queues
            .retain(|service| services.contains(service));
        let now = self.context.now();
        state
            .stream_life
            .record_timeout(now, config.longest_timeout());
        let life = state.stream_life.longest(now);
        state.origins.set_life(life);
        state.config = Some(Arc::new(config));
        state.config_bytes = Some(document.clone());
        self.context.health.set_configured();
        self.context.peer_update.notify_one();
    }

    /// Applies a change of the targets that this entry's watch delivered, and announces it to the
    /// other entries.
    fn apply_change(&self, key: &str, value: Option<Bytes>, revision: StoreRevision) {
        let now = self.context.now();
        let mut state = self.context.state();
        let log = &mut state.directory_log;
        if !log.record_change(key, value.clone(), revision.0) {
            info!(
                key = key,
                revision = revision.0,
                newest = log.newest();
                "ignored a change that a read of all targets has shown before"
            );
            return;
        }
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
