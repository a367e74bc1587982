//! Follows the configuration and the targets in the key-value service.

use std::collections::BTreeSet;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cw_policy::budget::Backoff;
use cw_store::HttpClient;
use cw_store::KeyValue;
use cw_store::ModRevision;
use cw_store::StoreError;
use cw_store::Versioned;
use cw_store::WatchEvent;
use cw_types::TargetId;
use cw_types::Time;
use cw_wire::DirectoryChange;
use cw_wire::DirectorySnapshot;
use futures::StreamExt;
use http::Method;
use http::StatusCode;
use log::info;
use log::warn;

use super::peer_api::CONFIG_PATH;
use super::peer_api::TARGETS_PATH;
use super::shared::Beliefs;
use super::shared::Shared;

/// How long to wait after calls that failed: the service prices refused calls too, and what it
/// holds must be in force within seconds of its return.
const BACKOFF: Backoff = Backoff {
    base: Duration::from_millis(100),
    most: Duration::from_millis(800),
};

/// How often an entry that does not watch the service looks whether it should.
const ROLE_PERIOD: Duration = Duration::from_millis(150);

/// How often an entry that knows nothing yet asks the others: the service answers sooner, as a rule.
const ASK_PERIOD: Duration = Duration::from_millis(250);

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
    /// A client of the other entries.
    pub(super) entries: HttpClient,
}

impl Directory {
    /// Runs until it is dropped.
    pub(super) async fn run(self) {
        let mut failures = 0;
        loop {
            let end = tokio::select! {
                end = self.follow(&mut failures) => end,
                never = self.ask_until_known() => match never {},
            };
            let Err(error) = end else {
                self.rest().await;
                continue;
            };
            self.lost(&error);
            self.ask().await;
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

    /// Waits until this entry has to call the service: it has become one of those that watch it, or
    /// another one knows what it does not.
    async fn rest(&self) {
        loop {
            let heard = self.shared.heard.notified();
            // Both ways on: the role may have changed too.
            let _ = tokio::time::timeout(ROLE_PERIOD, heard).await;
            let now = self.shared.now();
            let beliefs = self.shared.beliefs();
            let is_behind = match self.topic {
                Topic::Targets => beliefs.log.is_behind(),
                Topic::Config => beliefs.config.is_none() || beliefs.version() < beliefs.told,
            };
            if is_behind || beliefs.fleet.is_watcher(now) {
                return;
            }
        }
    }

    /// Reads, and watches while it is this entry's part, until a call fails.
    async fn follow(&self, failures: &mut u32) -> Result<(), StoreError> {
        let (found, revision) = self.store.snapshot(self.prefix()).await?;
        self.answered();
        self.relist(&found, revision);
        if !self.is_watcher() {
            return Ok(());
        }
        let mut watch = self.store.watch(self.prefix(), revision).await?;
        while let Some(event) = watch.next().await {
            let event = event?;
            *failures = 0;
            self.answered();
            match event {
                WatchEvent::Put(item) => self.put(&item),
                WatchEvent::Deleted { key, revision } => self.deleted(&key, revision),
                WatchEvent::Progress(_) => {
                    if !self.is_watcher() {
                        return Ok(());
                    }
                }
            }
        }
        Ok(())
    }

    fn is_watcher(&self) -> bool {
        let now = self.shared.now();
        self.shared.beliefs().fleet.is_watcher(now)
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

    fn relist(&self, found: &[Versioned], revision: ModRevision) {
        if self.topic == Topic::Config {
            found.iter().for_each(|item| self.configure(item));
            return;
        }
        let names: BTreeSet<TargetId> =
            found.iter().filter_map(|item| self.id(&item.key)).collect();
        let now = self.shared.now();
        let mut beliefs = self.shared.beliefs();
        for item in found {
            if let Some(id) = self.id(&item.key) {
                list(
                    &self.shared,
                    now,
                    &mut beliefs,
                    &id,
                    &item.value,
                    item.modified.0,
                );
            }
        }
        beliefs.fleet.relisted(now, &names);
        beliefs.log.read(revision.0);
        count(&self.shared, beliefs.fleet.len());
    }

    fn put(&self, item: &Versioned) {
        match self.topic {
            Topic::Config => self.configure(item),
            Topic::Targets => self.change(&item.key, Some(item.value.clone()), item.modified),
        }
    }

    fn configure(&self, item: &Versioned) {
        if item.key == self.shared.dialect.config_key() {
            self.put_in_force(&item.value, "the key-value service");
        }
    }

    /// Puts a configuration in force, if it can be read and is newer than the present one.
    fn put_in_force(&self, document: &Bytes, source: &str) {
        let config = match self.shared.dialect.read_config(document) {
            Ok(config) => config,
            Err(error) => {
                warn!(source = source; "the configuration cannot be read: {error}");
                return;
            }
        };
        let mut beliefs = self.shared.beliefs();
        let present = beliefs.config.as_ref().map(|config| config.version());
        if present.is_some_and(|present| present >= config.version()) {
            return;
        }
        info!(version = config.version(), source = source; "a configuration is in force");
        let version = i64::try_from(config.version()).unwrap_or(i64::MAX);
        self.shared.metrics.version.set(version);
        let services: BTreeSet<_> = config.services().cloned().collect();
        beliefs.budgets.retain(|service| services.contains(service));
        beliefs.pace.retain(|service| services.contains(service));
        beliefs.crowd.retain(|service| services.contains(service));
        beliefs.config = Some(Arc::new(config));
        beliefs.document = Some(document.clone());
        self.shared.health.set_configured();
        self.shared.news.notify_one();
    }

    // ---- What the other entries know ----

    /// Asks the other entries as long as nothing is known, so that a start does not wait for the end
    /// of a call that the service never answers.
    async fn ask_until_known(&self) -> Infallible {
        loop {
            tokio::time::sleep(ASK_PERIOD).await;
            let is_known = {
                let beliefs = self.shared.beliefs();
                match self.topic {
                    Topic::Config => beliefs.config.is_some(),
                    Topic::Targets => !beliefs.fleet.is_empty(),
                }
            };
            if !is_known {
                self.ask().await;
            }
        }
    }

    /// Asks the other entries, when the service does not answer, for what they have told of and this
    /// one does not have.
    async fn ask(&self) {
        let path = match self.topic {
            Topic::Config => CONFIG_PATH,
            Topic::Targets => TARGETS_PATH,
        };
        for (entry, address) in self.shared.entries() {
            if !self.is_lacking() {
                return;
            }
            let call = self.entries.call(Method::GET, address, path, Bytes::new());
            match call.await {
                Ok(answer) if answer.status == StatusCode::OK => match self.topic {
                    Topic::Config => self.put_in_force(&answer.body, entry.as_str()),
                    Topic::Targets => self.take_copy(entry.as_str(), &answer.body),
                },
                Ok(answer) => info!(entry = entry.as_str(); "an entry answered {}", answer.status),
                Err(error) => info!(entry = entry.as_str(); "an entry does not answer: {error}"),
            }
        }
    }

    /// Returns whether other entries have told of something that this one does not have, or this one
    /// has no targets: without any it could only refuse what the others serve.
    fn is_lacking(&self) -> bool {
        let beliefs = self.shared.beliefs();
        match self.topic {
            Topic::Config => beliefs.version() < beliefs.told,
            Topic::Targets => beliefs.fleet.is_empty() || beliefs.log.is_behind(),
        }
    }

    /// Takes in what another entry knows of the targets; its news follow on that.
    fn take_copy(&self, entry: &str, body: &[u8]) {
        let copy: DirectorySnapshot = match cw_wire::decode(body) {
            Ok(copy) => copy,
            Err(error) => {
                warn!(entry = entry; "an entry's targets cannot be read: {error}");
                return;
            }
        };
        info!(
            entry = entry,
            targets = copy.targets.len(),
            revision = copy.newest;
            "the targets are taken from another entry"
        );
        let now = self.shared.now();
        let mut beliefs = self.shared.beliefs();
        if beliefs.fleet.is_empty() {
            // The service has not answered yet, so from now on the others' news count.
            beliefs.fleet.directory_lost();
        }
        for (id, value) in &copy.targets {
            list(&self.shared, now, &mut beliefs, id, value, copy.newest);
        }
        beliefs.log.read(copy.newest);
        count(&self.shared, beliefs.fleet.len());
    }

    fn deleted(&self, key: &str, revision: ModRevision) {
        if self.topic == Topic::Targets {
            self.change(key, None, revision);
        }
    }

    /// Takes in a change of the targets, and tells the other entries.
    fn change(&self, key: &str, value: Option<Bytes>, revision: ModRevision) {
        let now = self.shared.now();
        let mut beliefs = self.shared.beliefs();
        beliefs.log.saw(now, key, value.clone(), revision.0);
        let change = DirectoryChange {
            previous: 0,
            revision: revision.0,
            key: key.to_owned(),
            value,
        };
        let trusted = beliefs.fleet.is_trusted(now);
        apply(&self.shared, now, &mut beliefs, &change, trusted);
        self.shared.news.notify_one();
    }

    fn id(&self, key: &str) -> Option<TargetId> {
        target_id(&self.shared, key)
    }
}

/// Takes in a change of the targets, whoever saw it; `trusted` says whether what vanished is gone.
pub(super) fn apply(
    shared: &Shared,
    now: Time,
    beliefs: &mut Beliefs,
    change: &DirectoryChange,
    trusted: bool,
) {
    let Some(id) = target_id(shared, &change.key) else {
        return;
    };
    match &change.value {
        Some(value) => list(shared, now, beliefs, &id, value, change.revision),
        None => {
            if beliefs.fleet.vanished(now, &id, trusted) {
                info!(
                    target_id = id.as_str(),
                    revision = change.revision,
                    trusted = u64::from(trusted);
                    "a target's entry is gone"
                );
            }
        }
    }
    count(shared, beliefs.fleet.len());
}

fn list(
    shared: &Shared,
    now: Time,
    beliefs: &mut Beliefs,
    id: &TargetId,
    value: &[u8],
    revision: i64,
) {
    match shared.dialect.read_listing(id.as_str(), value) {
        Ok(listing) => {
            if beliefs.fleet.listed(now, listing.clone()) {
                // An old entry, which does not undo that a target leaves, is not passed on either.
                if beliefs.fleet.listing(id) == Some(&listing) {
                    let value = Bytes::copy_from_slice(value);
                    beliefs.listings.insert(id.clone(), value);
                }
                info!(
                    target_id = id.as_str(),
                    service = listing.service.as_str(),
                    zone = listing.zone.as_str(),
                    address = listing.address.to_string(),
                    leaving = u64::from(listing.leaving),
                    revision = revision;
                    "a target is listed"
                );
            }
        }
        Err(error) => {
            warn!(target_id = id.as_str(); "a target's entry cannot be read: {error}");
            beliefs.fleet.removed(now, id);
        }
    }
}

fn target_id(shared: &Shared, key: &str) -> Option<TargetId> {
    key.strip_prefix(shared.dialect.targets_prefix())?
        .parse()
        .ok()
}

/// Shows how many targets there are.
pub(super) fn count(shared: &Shared, targets: usize) {
    let targets = i64::try_from(targets).unwrap_or(i64::MAX);
    shared.metrics.targets.set(targets);
}
