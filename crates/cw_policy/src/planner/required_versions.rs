//! The model versions that the records require on engines.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cw_types::Config;
use cw_types::ModelName;
use cw_types::ModelVersion;
use cw_types::RouteTarget;
use cw_types::VersionName;

/// The versions of one model that the records require on engines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequiredVersions {
    /// The versions to be loaded.
    pub versions: BTreeMap<VersionName, ModelVersion>,
    /// The versions that routes name. They are not unloaded, even without a record.
    pub routed: BTreeSet<VersionName>,
    /// How long a version that is not required stays loaded after its last pin is gone.
    pub retention: Duration,
}

impl RequiredVersions {
    /// Returns the required versions of every model that has a version record. Other models are not
    /// managed by the planner.
    pub fn from_config(config: &Config) -> BTreeMap<ModelName, RequiredVersions> {
        let mut models = BTreeMap::<ModelName, RequiredVersions>::new();
        for version in config.versions.values() {
            let required = models.entry(version.model.clone()).or_default();
            required.retention = required.retention.max(version.keep);
            if version.targets > 0 {
                required
                    .versions
                    .insert(version.version.clone(), version.clone());
            }
        }
        for route in config.routes.values() {
            if let RouteTarget::Model { model, version, .. } = &route.to
                && let Some(required) = models.get_mut(model)
            {
                required.routed.insert(version.clone());
            }
        }
        models
    }

    /// Returns whether a version must not be unloaded.
    pub fn requires(&self, version: &VersionName) -> bool {
        self.versions.contains_key(version) || self.routed.contains(version)
    }
}
