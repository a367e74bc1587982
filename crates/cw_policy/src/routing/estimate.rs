//! An estimate of a target's present load from a report that is out of date.

use std::time::Duration;

use cw_types::Time;

use super::DispatchLog;
use super::RoutingCosts;
use super::candidate::Candidate;
use super::candidate::Group;

/// The smallest fraction of its limit that a target takes after it became alive again.
const MIN_RAMP_SHARE: f64 = 0.1;

/// The shortest service time that is assumed, in seconds.
const MIN_SERVICE_TIME_S: f64 = 1e-3;

/// The estimated present load of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Estimate {
    /// The attempts at the target, as a fraction of its limit.
    pub(super) utilization: f64,
    /// The expected wait of a new attempt before it starts.
    pub(super) wait: Duration,
    /// The attempts that the target can take beyond those that it has; negative when overloaded.
    free_slots: f64,
}

impl Estimate {
    /// Returns how many more attempts the target can take.
    pub(super) fn spare_capacity(&self) -> usize {
        self.free_slots.max(0.0) as usize
    }
}

/// Estimates the load of `candidate` from its report and this entry's dispatches since.
pub(super) fn estimate(
    now: Time,
    candidate: &Candidate,
    dispatches: &DispatchLog,
    costs: &RoutingCosts,
    group: &Group,
) -> Estimate {
    let load = &candidate.load;
    let reported = f64::from(load.running) + f64::from(load.waiting);
    let token_time = costs.prefill.as_secs_f64();
    let backlog = token_time * load.prefill.0 as f64;
    let delta = dispatches.delta(
        now,
        &candidate.id,
        candidate.reported_at,
        backlog,
        token_time,
    );
    let service_time = dispatches
        .mean_service_time()
        .unwrap_or(costs.service_time)
        .as_secs_f64();
    let service_time = service_time.max(MIN_SERVICE_TIME_S);
    let limit = f64::from(load.limit.max(1));
    // Other entries see the same report and act on it too, so it is weighted less as it ages.
    let age = now.since(candidate.reported_at).as_secs_f64();
    let report_weight = (-costs.report_decay * age / service_time).exp();
    let mean_load = group.utilization * limit;
    let expected_load = mean_load + (reported - mean_load) * report_weight;
    let outstanding = (expected_load + costs.dispatch_weight * f64::from(delta.attempts)).max(0.0);
    let limit = limit * ramp_share(now, candidate, group, costs.ramp_up);
    let queued = (outstanding + 1.0 - limit).max(0.0);
    let utilization = outstanding / limit;
    let batch = costs.batch_delay.as_secs_f64() * utilization.min(1.0);
    let wait = service_time * queued / limit + delta.backlog + batch;
    Estimate {
        utilization,
        wait: Duration::from_secs_f64(wait),
        free_slots: limit - outstanding,
    }
}

/// Returns the fraction of its limit that a target takes, which grows after it became alive again.
///
/// Targets that became alive at the same time share the work from the start.
fn ramp_share(now: Time, candidate: &Candidate, group: &Group, span: Duration) -> f64 {
    ramp(now, candidate.alive_since, span) / ramp(now, group.first_alive, span)
}

fn ramp(now: Time, alive_since: Time, span: Duration) -> f64 {
    if span.is_zero() {
        return 1.0;
    }
    let age = now.since(alive_since).as_secs_f64();
    (age / span.as_secs_f64()).clamp(MIN_RAMP_SHARE, 1.0)
}
