//! Orders: what the engine has loaded.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cw_types::AdapterName;
use cw_types::ModelName;
use cw_types::VersionName;
use cw_wire::OrderKind;

use super::api::Versions;

/// What an order leads to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum OrderOutcome {
    /// It is done.
    Done,
    /// It has begun before.
    InProgress,
    /// These weights are to be read, then [`LoadedVersions::finish_loading`] is called.
    ReadWeights(String),
    /// Refused: a higher number was seen.
    Fenced(u64),
    /// Refused.
    Refused(String),
}

/// A model and a version of it.
pub(super) type VersionKey = (ModelName, VersionName);

/// What an engine has loaded, and the highest_fencing fencing number that it has seen.
#[derive(Debug, Default)]
pub(super) struct LoadedVersions {
    /// The versions that are ready.
    pub(super) versions: Versions,
    adapters: BTreeMap<VersionKey, BTreeSet<AdapterName>>,
    loading: BTreeSet<VersionKey>,
    highest_fencing: u64,
}

impl LoadedVersions {
    /// Returns an engine with these versions.
    pub(super) fn new(versions: Versions) -> Self {
        Self {
            versions,
            ..Self::default()
        }
    }

    /// Returns whether a request can be served.
    pub(super) fn can_serve(&self, key: &VersionKey, adapter: Option<&AdapterName>) -> bool {
        let version = self
            .versions
            .get(&key.0)
            .is_some_and(|names| names.contains(&key.1));
        let adapter = adapter.is_none_or(|name| {
            self.adapters
                .get(key)
                .is_some_and(|names| names.contains(name))
        });
        version && adapter
    }

    /// Takes an order; an engine that is not `fenced` ignores its number.
    pub(super) fn apply(&mut self, fencing: u64, fenced: bool, order: OrderKind) -> OrderOutcome {
        if fenced && fencing < self.highest_fencing {
            return OrderOutcome::Fenced(self.highest_fencing);
        }
        self.highest_fencing = self.highest_fencing.max(fencing);
        match order {
            OrderKind::Load {
                model,
                version,
                weights,
            } => self.load((model, version), weights),
            OrderKind::Unload { model, version } => self.unload(&(model, version)),
            OrderKind::LoadAdapter {
                model,
                version,
                adapter,
            } => self.load_adapter((model, version), adapter),
            OrderKind::Role { .. } => OrderOutcome::Done,
        }
    }

    /// Ends the loading of a version.
    pub(super) fn finish_loading(&mut self, key: VersionKey, success: bool) {
        self.loading.remove(&key);
        if success {
            self.versions.entry(key.0).or_default().insert(key.1);
        }
    }

    fn load(&mut self, key: VersionKey, weights: String) -> OrderOutcome {
        if self.can_serve(&key, None) {
            return OrderOutcome::Done;
        }
        match self.loading.insert(key) {
            true => OrderOutcome::ReadWeights(weights),
            false => OrderOutcome::InProgress,
        }
    }

    fn unload(&mut self, key: &VersionKey) -> OrderOutcome {
        if let Some(names) = self.versions.get_mut(&key.0) {
            names.remove(&key.1);
        }
        self.adapters.remove(key);
        OrderOutcome::Done
    }

    fn load_adapter(&mut self, key: VersionKey, adapter: AdapterName) -> OrderOutcome {
        if !self.can_serve(&key, None) {
            return OrderOutcome::Refused(format!("{} {} is not loaded", key.0, key.1));
        }
        self.adapters.entry(key).or_default().insert(adapter);
        OrderOutcome::Done
    }
}
