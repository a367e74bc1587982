//! How loaded a target is now, from a report that is old.

use std::time::Duration;

use cw_types::Time;

use super::DispatchLog;
use super::RoutingCosts;
use super::target_index::Candidate;
use super::target_index::Group;

/// The smallest share of its limit that a returned target takes.
const RAMP_FLOOR: f64 = 0.1;

/// The shortest time that an attempt is taken to hold its place, in seconds.
const HOLD_MIN: f64 = 1e-3;

/// How loaded a target is thought to be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Estimate {
    /// Attempts there, in units of the target's limit.
    pub(super) utilisation: f64,
    /// How long a new attempt waits before it starts.
    pub(super) wait: Duration,
    /// Attempts that it can take beyond those that are there; below zero when it is too full.
    free: f64,
}

impl Estimate {
    /// Returns how many more attempts the target can take.
    pub(super) fn room(&self) -> usize {
        self.free.max(0.0) as usize
    }
}

/// Estimates the load of `candidate` from its report and what this entry sent since.
pub(super) fn estimate(
    now: Time,
    candidate: &Candidate,
    dispatches: &DispatchLog,
    costs: &RoutingCosts,
    group: &Group,
) -> Estimate {
    let load = &candidate.load;
    let reported = f64::from(load.running) + f64::from(load.waiting);
    let cost = costs.prefill.as_secs_f64();
    let backlog = cost * load.prefill.0 as f64;
    let delta = dispatches.delta(now, &candidate.id, candidate.reported, backlog, cost);
    let hold = dispatches
        .mean_service_time()
        .unwrap_or(costs.hold)
        .as_secs_f64();
    let hold = hold.max(HOLD_MIN);
    let limit = f64::from(load.limit.max(1));
    // Other entries see the same report and act on it too, so it says less as it ages.
    let age = now.since(candidate.reported).as_secs_f64();
    let faith = (-costs.fade * age / hold).exp();
    let usual = group.utilisation * limit;
    let likely = usual + (reported - usual) * faith;
    let outstanding = (likely + costs.peers * f64::from(delta.attempts)).max(0.0);
    let limit = limit * share(now, candidate, group, costs.ramp);
    let queued = (outstanding + 1.0 - limit).max(0.0);
    let utilisation = outstanding / limit;
    let batch = costs.batch.as_secs_f64() * utilisation.min(1.0);
    let wait = hold * queued / limit + delta.backlog + batch;
    Estimate {
        utilisation,
        wait: Duration::from_secs_f64(wait),
        free: limit - outstanding,
    }
}

/// Returns the share of its limit that a target takes, which grows after its return.
///
/// Targets that returned together share the work from the start.
fn share(now: Time, candidate: &Candidate, group: &Group, span: Duration) -> f64 {
    ramp(now, candidate.returned, span) / ramp(now, group.returned, span)
}

fn ramp(now: Time, returned: Time, span: Duration) -> f64 {
    if span.is_zero() {
        return 1.0;
    }
    let age = now.since(returned).as_secs_f64();
    (age / span.as_secs_f64()).clamp(RAMP_FLOOR, 1.0)
}
