//! Predicates on targets, and constructors of orders.

use cw_types::ModelName;
use cw_types::ModelVersion;
use cw_types::TargetKind;
use cw_types::VersionName;
use cw_wire::OrderKind;
use cw_wire::Pins;

use super::PlannerInput;
use crate::Liveness;
use crate::TargetView;

/// Returns whether a target is a live engine, to which orders can be sent.
pub(super) fn is_usable(seen: &TargetView) -> bool {
    seen.target.kind == TargetKind::Engine && seen.liveness == Liveness::Alive
}

pub(super) fn holds(seen: &TargetView, model: &ModelName, version: &VersionName) -> bool {
    seen.versions
        .get(model)
        .is_some_and(|versions| versions.contains(version))
}

/// Returns whether every target that holds a version reports no pinned attempts for it.
///
/// A generation whose target fails resumes on another target, so a pin on one target keeps the
/// version on all of them.
pub(super) fn is_unpinned(
    model: &ModelName,
    version: &VersionName,
    input: PlannerInput<'_>,
) -> bool {
    let is_pinned = |pins: &Pins| {
        pins.get(model)
            .and_then(|versions| versions.get(version))
            .is_some_and(|count| *count > 0)
    };
    input
        .view
        .targets
        .iter()
        .filter(|(_, seen)| seen.liveness != Liveness::Gone && holds(seen, model, version))
        .all(|(id, _)| input.pins.get(id).is_some_and(|pins| !is_pinned(pins)))
}

/// Returns the order to load a version.
pub(super) fn load_order(version: &ModelVersion) -> OrderKind {
    OrderKind::Load {
        model: version.model.clone(),
        version: version.version.clone(),
        weights: version.weights.clone(),
    }
}

/// Returns the order to unload a version.
pub(super) fn unload_order(model: &ModelName, version: &VersionName) -> OrderKind {
    OrderKind::Unload {
        model: model.clone(),
        version: version.clone(),
    }
}
