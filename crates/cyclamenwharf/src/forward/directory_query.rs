//! Queries the other entries for data that the key-value service does not give.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cw_policy::forward::Topic;
use cw_store::StoreRevision;
use cw_store::TransferProgress;
use cw_wire::DirectorySnapshot;
use cw_wire::DirectoryUpdate;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::Method;
use http::StatusCode;
use log::info;
use log::warn;

use super::directory_sync::DirectorySync;
use super::peer_api::CHANGES_PATH;
use super::peer_api::CONFIG_PATH;
use super::peer_api::CRASHES_PATH;
use super::peer_api::ROLLOUTS_HEADER;
use super::peer_api::TARGETS_PATH;
use super::target_records::apply_directory_update;
use super::target_records::apply_listing;
use super::target_records::record_known_targets;

/// The maximum number of other entries that are queried in a row. All entries may lack the same data, and
/// each asking each other one would keep small hosts from anything else.
const MAX_QUERIES: usize = 4;

/// The timeout of a query for missing changes. The service is asked next.
pub(super) const CHANGES_TIMEOUT: Duration = Duration::from_millis(150);

/// The time between the queries of an entry that has just started. Registering takes a few milliseconds.
const START_QUERY_PERIOD: Duration = Duration::from_millis(40);

/// The number of these queries, after which the entry reads the service itself.
const START_QUERIES: u32 = 25;

/// How often an entry that waits for the service looks whether another entry has announced newer data.
const ANNOUNCEMENT_POLL_PERIOD: Duration = Duration::from_millis(50);

/// How often an entry that has just started looks whether it knows the others. Reading the registry takes some
/// milliseconds, and no request is served meanwhile.
const REGISTRY_POLL_PERIOD: Duration = Duration::from_millis(10);

/// The same number for an entry that watches the service if none has the targets.
const WATCHER_START_QUERIES: u32 = 3;

impl DirectorySync {
    /// Takes the targets from another entry after the start, since a read of all of them takes several
    /// calls of the service. Returns whether that succeeded.
    ///
    /// Where all entries start at once, the watchers read the service and the others ask them. A watcher
    /// that starts later asks the others too, so that it can tell the differences since.
    pub(super) async fn start_from_peers(&self) -> bool {
        for round in 0..START_QUERIES {
            tokio::time::sleep(START_QUERY_PERIOD).await;
            let is_watcher = self.context.state().fleet.is_first_watcher();
            if is_watcher && round >= WATCHER_START_QUERIES {
                return false;
            }
            if let Some((_, source)) = self.context.sample_entries(1).pop() {
                self.query_targets(source).await;
            }
            if self.context.state().directory_log.newest() > 0 {
                return true;
            }
        }
        false
    }

    async fn query_targets(&self, source: SocketAddr) {
        let call = self
            .entries
            .call(Method::GET, source, TARGETS_PATH, Bytes::new());
        match call.await {
            Ok(answer) if answer.status == StatusCode::OK => {
                self.apply_peer_snapshot(&source.to_string(), &answer.body);
            }
            // The other entry has just started too.
            Ok(answer) if answer.status == StatusCode::NOT_FOUND => {}
            Ok(answer) => info!(
                entry = source.to_string();
                "an entry answered a query with status {}", answer.status
            ),
            Err(error) => {
                info!(entry = source.to_string(); "failed to query an entry: {error}");
            }
        }
    }

    /// Requests missing directory changes from the entry that announced them, so that not all entries read
    /// the service after a lost message. Returns whether that was the reason to ask, and none is missing now.
    pub(super) async fn query_missing_changes(&self) -> bool {
        let now = self.context.now();
        let (source, newest) = {
            let mut state = self.context.state();
            if !state.directory_log.is_behind(now) {
                return false;
            }
            (state.directory_source.take(), state.directory_log.newest())
        };
        let Some(source) = source else {
            return false;
        };
        let path = format!("{CHANGES_PATH}?{newest}");
        let call = self.entries.call(Method::GET, source, &path, Bytes::new());
        let update = match tokio::time::timeout(CHANGES_TIMEOUT, call).await {
            Ok(Ok(answer)) if answer.status == StatusCode::OK => {
                cw_wire::decode::<DirectoryUpdate>(&answer.body)
            }
            Ok(Ok(answer)) => {
                info!(
                    entry = source.to_string(), since = newest;
                    "an entry answered a query for changes with status {}", answer.status
                );
                return false;
            }
            Ok(Err(error)) => {
                info!(entry = source.to_string(); "failed to query an entry for changes: {error}");
                return false;
            }
            Err(_) => {
                info!(
                    entry = source.to_string();
                    "an entry did not answer a query for changes within {CHANGES_TIMEOUT:?}"
                );
                return false;
            }
        };
        let update = match update {
            Ok(update) => update,
            Err(error) => {
                warn!(entry = source.to_string(); "failed to decode the changes of an entry: {error}");
                return false;
            }
        };
        let now = self.context.now();
        let mut state = self.context.state();
        info!(
            entry = source.to_string(),
            changes = update.changes.len(),
            since = newest,
            newest = update.newest;
            "received the missing directory changes of another entry"
        );
        apply_directory_update(&self.context, now, &mut state, &update);
        record_known_targets(&self.context, &mut state);
        !state.directory_log.is_behind(now)
    }

    /// Queries the other entries for data that they have announced and this entry lacks, when the service
    /// does not answer or has older data.
    pub(super) async fn query_peers(&self) {
        let entries = match self.topic {
            Topic::Config => self.context.sample_config_sources(MAX_QUERIES),
            Topic::Targets => self.context.sample_entries(MAX_QUERIES),
        };
        for (entry, address) in entries {
            if !self.is_missing_updates() {
                return;
            }
            self.query_entry(entry.as_str(), address).await;
        }
    }

    /// Queries some other entries at the same time, before this one has any configuration.
    pub(super) async fn query_at_start(&self) {
        while !self.context.state().entry_list.is_registry_read() {
            tokio::time::sleep(REGISTRY_POLL_PERIOD).await;
        }
        let entries = self.context.sample_entries(MAX_QUERIES);
        let mut queries: FuturesUnordered<_> = entries
            .iter()
            .map(|(entry, address)| self.query_entry(entry.as_str(), *address))
            .collect();
        // One answer suffices: each of the others has had the newest configuration for a while.
        while let Some(is_answered) = queries.next().await {
            if is_answered {
                return;
            }
        }
    }

    /// Queries the other entries as soon as they announce data that this one lacks, until it has that. While the answer of
    /// the service arrives, nobody is asked: it would come over the same link.
    pub(super) async fn query_peers_while_silent(&self, progress: &TransferProgress) {
        let mut bytes = 0;
        loop {
            let arrived = progress.bytes();
            let is_silent = std::mem::replace(&mut bytes, arrived) == arrived;
            if is_silent && self.is_missing_updates() {
                self.query_peers().await;
                if !self.is_missing_updates() {
                    return;
                }
            }
            tokio::time::sleep(ANNOUNCEMENT_POLL_PERIOD).await;
        }
    }

    /// Queries one other entry for the data of the topic, and applies it. Returns whether it has any.
    async fn query_entry(&self, entry: &str, address: SocketAddr) -> bool {
        let path = match self.topic {
            Topic::Config => CONFIG_PATH,
            Topic::Targets => TARGETS_PATH,
        };
        let is_first = self.topic == Topic::Config && self.context.config().is_none();
        if is_first {
            self.query_crash_evidence(entry, address).await;
        }
        let call = self.entries.call(Method::GET, address, path, Bytes::new());
        match call.await {
            Ok(answer) if answer.status == StatusCode::OK => {
                if is_first && answer.headers.contains_key(ROLLOUTS_HEADER) {
                    self.query_rollouts(entry, address).await;
                }
                match self.topic {
                    Topic::Config => self.activate_config(&answer.body, entry),
                    Topic::Targets => self.apply_peer_snapshot(entry, &answer.body),
                }
                return true;
            }
            // The other entry has just started too.
            Ok(answer) if answer.status == StatusCode::NOT_FOUND => {}
            Ok(answer) => info!(
                entry = entry;
                "an entry answered a query with status {}", answer.status
            ),
            Err(error) => info!(entry = entry; "failed to query an entry: {error}"),
        }
        false
    }

    /// Asks another entry for the evidence against requests that crash targets, before its
    /// configuration lets requests in.
    async fn query_crash_evidence(&self, entry: &str, address: SocketAddr) {
        let call = self
            .entries
            .call(Method::GET, address, CRASHES_PATH, Bytes::new());
        match call.await {
            Ok(answer) if answer.status == StatusCode::OK => {
                self.apply_crash_evidence(entry, &answer.body);
            }
            // The other entry has none.
            Ok(answer) if answer.status == StatusCode::NOT_FOUND => {}
            Ok(answer) => info!(
                entry = entry;
                "an entry answered a query with status {}", answer.status
            ),
            Err(error) => info!(entry = entry; "failed to query an entry: {error}"),
        }
    }

    /// Returns whether this entry lacks data that other entries have announced, or has no targets.
    /// Without targets it would refuse requests that the other entries serve.
    pub(super) fn is_missing_updates(&self) -> bool {
        let state = self.context.state();
        match self.topic {
            Topic::Config => state.is_config_behind(),
            Topic::Targets => {
                let now = self.context.now();
                state.fleet.is_empty() || state.directory_log.is_behind(now)
            }
        }
    }

    /// Applies the targets that another entry knows. Later changes by the messages of that entry
    /// build on them.
    fn apply_peer_snapshot(&self, entry: &str, body: &[u8]) {
        let snapshot: DirectorySnapshot = match cw_wire::decode(body) {
            Ok(snapshot) => snapshot,
            Err(error) => {
                warn!(entry = entry; "failed to decode the targets of another entry: {error}");
                return;
            }
        };
        let now = self.context.now();
        let mut state = self.context.state();
        state.record_era(now, StoreRevision(snapshot.newest));
        if !state.directory_log.accepts_read(snapshot.newest) {
            info!(
                entry = entry,
                revision = snapshot.newest,
                newest = state.directory_log.newest();
                "ignored outdated targets of another entry"
            );
            return;
        }
        let known = state.listings.keys();
        let absent = known.filter(|id| !snapshot.targets.contains_key(*id));
        info!(
            entry = entry,
            targets = snapshot.targets.len(),
            absent = absent.count(),
            revision = snapshot.newest;
            "applied the targets of another entry"
        );
        if state.fleet.is_empty() {
            // The service has not answered yet, so the changes that other entries send apply from
            // now on.
            state.fleet.record_directory_failure();
        }
        for (id, value) in &snapshot.targets {
            apply_listing(&self.context, now, &mut state, id, value, snapshot.newest);
        }
        let names: BTreeSet<_> = snapshot.targets.keys().cloned().collect();
        state.fleet.retain_listed(now, &names);
        let last_change = snapshot.last_change.unwrap_or(snapshot.newest);
        state
            .directory_log
            .record_read(snapshot.newest, last_change);
        record_known_targets(&self.context, &mut state);
    }
}
