//! What is in use that a change would take away.

use std::collections::BTreeSet;

use cw_types::Config;
use cw_types::ModelName;
use cw_types::RecordKind;
use cw_types::VersionName;

use super::Breakage;
use super::Edit;
use super::Proposal;
use crate::View;

/// Returns the versions that a proposal removes while generations run on them.
///
/// A target that holds one version of a model runs all its generations on that version; what
/// targets with several versions run is not counted.
pub fn in_use(view: &View, proposal: &Proposal) -> Vec<Breakage> {
    removed(&view.config, proposal)
        .into_iter()
        .filter_map(|(model, version)| {
            let generations = running_on(view, &model, &version);
            (generations > 0).then_some(Breakage::Pinned {
                version,
                generations,
            })
        })
        .collect()
}

fn removed(config: &Config, proposal: &Proposal) -> BTreeSet<(ModelName, VersionName)> {
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

fn running_on(view: &View, model: &ModelName, version: &VersionName) -> u32 {
    let holds_only = |held: &BTreeSet<VersionName>| held.len() == 1 && held.contains(version);
    view.targets
        .values()
        .filter(|target| target.versions.get(model).is_some_and(holds_only))
        .filter(|target| target.versions.len() == 1)
        .map(|target| target.load.running)
        .sum()
}
