//! The versions that the engine has loaded, and the orders that change them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cw_types::AdapterName;
use cw_types::ModelName;
use cw_types::VersionName;
use cw_wire::OrderKind;

use super::api::Versions;

/// The result of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum OrderOutcome {
    /// The order is complete.
    Done,
    /// An earlier order has started the same load, which is not complete yet.
    InProgress,
    /// The caller must read these weights and then call [`LoadedVersions::finish_loading`].
    ReadWeights(String),
    /// The order is refused, because the engine has seen this higher fencing number.
    Fenced(u64),
    /// The order is refused for this reason.
    Refused(String),
}

/// A model and one of its versions.
pub(super) type VersionKey = (ModelName, VersionName);

/// The versions and adapters that an engine has loaded, and the highest fencing number that it has
/// seen.
#[derive(Debug, Default)]
pub(super) struct LoadedVersions {
    /// The versions that can be served.
    pub(super) versions: Versions,
    adapters: BTreeMap<VersionKey, BTreeSet<AdapterName>>,
    loading: BTreeSet<VersionKey>,
    highest_fencing: u64,
}

impl LoadedVersions {
    /// Returns a state in which these versions are loaded.
    pub(super) fn new(versions: Versions) -> Self {
        Self {
            versions,
            ..Self::default()
        }
    }

    /// Returns whether the version, and the adapter if given, are loaded.
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

    /// Applies an order. Its fencing number is checked only if `fenced` is set.
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

    /// Completes the loading of a version, which is loaded if `success` is set.
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
