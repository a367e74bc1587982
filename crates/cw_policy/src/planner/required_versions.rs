//! What the records ask of engines.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cw_types::Config;
use cw_types::ModelName;
use cw_types::ModelVersion;
use cw_types::RouteTarget;
use cw_types::VersionName;

/// What the records ask of engines for one model.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequiredVersions {
    /// The versions that should be loaded.
    pub versions: BTreeMap<VersionName, ModelVersion>,
    /// Versions that routes name without a record: they are not unloaded.
    pub routed: BTreeSet<VersionName>,
    /// How long a version that is not needed is kept after nothing is pinned to it.
    pub keep: Duration,
}

impl RequiredVersions {
    /// Reads the needs of all models that have a version record; others are not managed.
    pub fn from_config(config: &Config) -> BTreeMap<ModelName, RequiredVersions> {
        let mut needs = BTreeMap::<ModelName, RequiredVersions>::new();
        for version in config.versions.values() {
            let need = needs.entry(version.model.clone()).or_default();
            need.keep = need.keep.max(version.keep);
            if version.targets > 0 {
                need.versions
                    .insert(version.version.clone(), version.clone());
            }
        }
        for route in config.routes.values() {
            if let RouteTarget::Model { model, version, .. } = &route.to
                && let Some(need) = needs.get_mut(model)
            {
                need.routed.insert(version.clone());
            }
        }
        needs
    }

    /// Returns whether a version has to stay.
    pub fn wants(&self, version: &VersionName) -> bool {
        self.versions.contains_key(version) || self.routed.contains(version)
    }
}
