//! Whether a target takes new work.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cw_types::ModelName;
use cw_types::VersionName;
use cw_wire::NotRunReason;
use cw_wire::TargetState;
use cw_wire::Work;

/// The versions that a target holds, by model.
type Versions = BTreeMap<ModelName, BTreeSet<VersionName>>;

/// Whether a target takes new work, and for which versions.
#[derive(Clone, Debug, Default)]
pub struct TargetGate {
    up: bool,
    leaving: bool,
    versions: Versions,
    unloading: BTreeSet<(ModelName, VersionName)>,
}

impl TargetGate {
    /// The target answers.
    pub fn set_up(&mut self, versions: Versions) {
        self.up = true;
        self.versions = versions;
        let held = &self.versions;
        let holds = |(model, version): &(ModelName, VersionName)| {
            held.get(model).is_some_and(|set| set.contains(version))
        };
        self.unloading.retain(holds);
    }

    /// The target does not answer.
    pub fn set_down(&mut self) {
        self.up = false;
    }

    /// The target is leaving, or no longer.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// A version is about to be unloaded, or is kept after all.
    pub fn set_unloading(&mut self, model: &ModelName, version: &VersionName, unloading: bool) {
        let key = (model.clone(), version.clone());
        match unloading {
            true => self.unloading.insert(key),
            false => self.unloading.remove(&key),
        };
    }

    /// No version is about to be unloaded any more.
    pub fn clear_unloading(&mut self) {
        self.unloading.clear();
    }

    /// Returns the target's state.
    pub fn state(&self) -> TargetState {
        match (self.leaving, self.up) {
            (true, _) => TargetState::Leaving,
            (false, true) => TargetState::Up,
            (false, false) => TargetState::Down,
        }
    }

    /// Returns the versions that take new work.
    pub fn versions(&self) -> Versions {
        let mut versions = self.versions.clone();
        for (model, version) in &self.unloading {
            if let Some(set) = versions.get_mut(model) {
                set.remove(version);
            }
        }
        versions
    }

    /// Returns why the target does not take new work, if it does not.
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
        let held = self.versions.get(&key.0);
        let ready = held.is_some_and(|set| set.contains(&key.1)) && !self.unloading.contains(&key);
        (!ready).then_some(NotRunReason::WrongVersion)
    }
}
