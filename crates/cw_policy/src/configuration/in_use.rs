//! The check for versions in use that a change would remove.

use std::collections::BTreeSet;

use cw_types::Config;
use cw_types::ModelName;
use cw_types::RecordKind;
use cw_types::VersionName;

use super::Breakage;
use super::Edit;
use super::Proposal;
use crate::View;

/// Returns a breakage for each version that a proposal removes while generations run on it.
///
/// A target that holds a single version runs all its generations on that version. Targets that
/// hold several are not counted.
pub fn in_use(view: &View, proposal: &Proposal) -> Vec<Breakage> {
    removed_versions(&view.config, proposal)
        .into_iter()
        .filter_map(|(model, version)| {
            let generations = running_generations(view, &model, &version);
            (generations > 0).then_some(Breakage::Pinned {
                version,
                generations,
            })
        })
        .collect()
}

fn removed_versions(config: &Config, proposal: &Proposal) -> BTreeSet<(ModelName, VersionName)> {
    proposal
        .edits
        .iter()
        .filter_map(|edit| match edit {
            Edit::Remove(key) if key.kind == RecordKind::ModelVersion => {
                config.versions.get(&key.name)
            }
            Edit::Remove(_) | Edit::Put(_) => None,
        })
        .map(|version| (version.model.clone(), version.version.clone()))
        .collect()
}

fn running_generations(view: &View, model: &ModelName, version: &VersionName) -> u32 {
    let holds_only = |held: &BTreeSet<VersionName>| held.len() == 1 && held.contains(version);
    view.targets
        .values()
        .filter(|target| target.versions.get(model).is_some_and(holds_only))
        .filter(|target| target.versions.len() == 1)
        .map(|target| target.load.running)
        .sum()
}
