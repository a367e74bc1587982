//! The readiness of a target for new work.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cw_types::ModelName;
use cw_types::VersionName;
use cw_wire::NotRunReason;
use cw_wire::TargetState;
use cw_wire::Work;

/// The loaded versions by model.
type Versions = BTreeMap<ModelName, BTreeSet<VersionName>>;

/// Whether a target accepts new work, and for which versions.
#[derive(Clone, Debug, Default)]
pub struct TargetReadiness {
    up: bool,
    leaving: bool,
    versions: Versions,
    unloading: BTreeSet<(ModelName, VersionName)>,
}

impl TargetReadiness {
    /// Marks the target as up, with these versions loaded.
    pub fn set_up(&mut self, versions: Versions) {
        self.up = true;
        self.versions = versions;
        let loaded = &self.versions;
        let is_loaded = |(model, version): &(ModelName, VersionName)| {
            loaded.get(model).is_some_and(|set| set.contains(version))
        };
        self.unloading.retain(is_loaded);
    }

    /// Marks the target as down.
    pub fn set_down(&mut self) {
        self.up = false;
    }

    /// Sets whether the target is leaving.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Sets whether a version is about to be unloaded.
    pub fn set_unloading(&mut self, model: &ModelName, version: &VersionName, unloading: bool) {
        let key = (model.clone(), version.clone());
        match unloading {
            true => self.unloading.insert(key),
            false => self.unloading.remove(&key),
        };
    }

    /// Marks no version as about to be unloaded.
    pub fn clear_unloading(&mut self) {
        self.unloading.clear();
    }

    /// Returns the state of the target.
    pub fn state(&self) -> TargetState {
        match (self.leaving, self.up) {
            (true, _) => TargetState::Leaving,
            (false, true) => TargetState::Up,
            (false, false) => TargetState::Down,
        }
    }

    /// Returns the versions that accept new work.
    pub fn versions(&self) -> Versions {
        let mut versions = self.versions.clone();
        for (model, version) in &self.unloading {
            if let Some(set) = versions.get_mut(model) {
                set.remove(version);
            }
        }
        versions
    }

    /// Returns the reason to refuse the work, if the target does not accept it.
    pub fn refusal(&self, work: &Work) -> Option<NotRunReason> {
        if self.leaving {
            return Some(NotRunReason::Leaving);
        }
        if !self.up {
            return Some(NotRunReason::TargetDown);
        }
        let Work::Generate(work) = work else {
            return None;
        };
        let key = (work.model.clone(), work.version.clone());
        let loaded = self.versions.get(&key.0);
        let ready =
            loaded.is_some_and(|set| set.contains(&key.1)) && !self.unloading.contains(&key);
        (!ready).then_some(NotRunReason::WrongVersion)
    }
}
