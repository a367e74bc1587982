//! Which target takes an attempt.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cw_policy::Liveness;
use cw_policy::TargetView;
use cw_policy::View;
use cw_types::RouteTarget;
use cw_types::TargetId;
use cw_types::TargetKind;

use super::job::Job;

/// Returns the target with the least load that can run the job.
pub(crate) fn choose(
    view: &View,
    job: &Job,
    exclude: &BTreeSet<TargetId>,
    in_flight: &BTreeMap<TargetId, u32>,
) -> Option<TargetId> {
    let load = |id: &TargetId, target: &TargetView| {
        let sent = in_flight.get(id).copied().unwrap_or_default();
        sent.max(target.load.running + target.load.waiting)
    };
    view.targets
        .iter()
        .filter(|(id, target)| !exclude.contains(*id) && serves(target, job))
        .min_by_key(|(id, target)| (target.liveness != Liveness::Alive, load(id, target), *id))
        .map(|(id, _)| id.clone())
}

fn serves(target: &TargetView, job: &Job) -> bool {
    let takes = matches!(target.liveness, Liveness::Alive | Liveness::Suspect);
    takes && holds(target, &job.to)
}

fn holds(target: &TargetView, to: &RouteTarget) -> bool {
    match (to, &target.target.kind) {
        (RouteTarget::Model { model, version, .. }, TargetKind::Engine) => target
            .versions
            .get(model)
            .is_some_and(|versions| versions.contains(version)),
        (RouteTarget::Service { service }, TargetKind::Service { service: own }) => service == own,
        _ => false,
    }
}
