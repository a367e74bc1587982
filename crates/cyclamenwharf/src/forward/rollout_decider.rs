//! Decides how far ordered roll-outs go.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cw_policy::forward::SoftwareFilter;
use cw_policy::forward::Topic;
use cw_policy::rollout::RolloutInputs;
use cw_policy::rollout::RolloutStep;
use cw_policy::rollout::RunLength;
use cw_policy::rollout::SideChoice;
use cw_types::ServiceName;
use cw_types::Time;
use cw_wire::RolloutStage;
use cw_wire::RolloutState;
use log::info;
use log::warn;

use super::exchange_driver::millis;
use super::forward_context::ForwardContext;
use super::forward_context::ForwardState;

/// How often a roll-out is looked at. It is far shorter than the time in which a bad version must get nothing more,
/// and a decision takes microseconds.
pub(super) const DECISION_PERIOD: Duration = Duration::from_millis(100);

/// How often a roll-out in progress is described in the log, besides its changes.
const REPORT_PERIOD: Duration = Duration::from_secs(2);

/// The run time of a service before the first sample. Answers that are not streams take less.
const UNKNOWN_RUN_TIME: Duration = Duration::from_secs(1);

/// Decides about the roll-outs. Each entry does, since each may go back by itself; what one of them decides for all is
/// written by its `RolloutWriter`.
pub(super) struct RolloutDecider {
    context: Arc<ForwardContext>,
    /// When each roll-out was last described in the log.
    reported: BTreeMap<ServiceName, Time>,
    /// The services whose new version this entry has left by itself.
    retreats: BTreeSet<ServiceName>,
    /// The services of orders that the configuration does not have.
    unknown: BTreeSet<ServiceName>,
}

impl RolloutDecider {
    pub(super) fn new(context: Arc<ForwardContext>) -> Self {
        Self {
            context,
            reported: BTreeMap::new(),
            retreats: BTreeSet::new(),
            unknown: BTreeSet::new(),
        }
    }

    /// Runs until the future is dropped. Without an order it only waits for one.
    pub(super) async fn run(mut self) {
        loop {
            let services = self.context.rollout_services();
            for service in &services {
                self.attend(service);
            }
            let changed = self.context.rollouts_changed.notified();
            match services.is_empty() {
                true => changed.await,
                // A timeout continues as well: the evidence has changed meanwhile.
                false => drop(tokio::time::timeout(DECISION_PERIOD, changed).await),
            }
        }
    }

    /// Takes the next step of a roll-out.
    fn attend(&mut self, service: &ServiceName) {
        let now = self.context.now();
        let (step, inputs) = {
            let mut state = self.context.state();
            let state = &mut *state;
            let Some(config) = &state.config else {
                return;
            };
            if config.service(service).is_none() {
                if self.unknown.insert(service.clone()) {
                    let version = config.version();
                    warn!(
                        service = service.as_str(), version = version;
                        "the order of a roll-out names a service that the configuration does not have, and changes nothing"
                    );
                }
                return;
            }
            self.unknown.remove(service);
            let sizes = match state.rollouts.filter(service, SideChoice::New) {
                SoftwareFilter::Only(target) => {
                    let (new, old) = state.fleet.software_runs(service, target);
                    state.rollouts.record_runs(service, new, old);
                    state.fleet.software_sizes(service, target)
                }
                SoftwareFilter::Any | SoftwareFilter::Except(_) => (0, 0),
            };
            let (active_new, active_old) = sizes;
            let run_time = state.run_lengths.get(service);
            let run_time = run_time.and_then(RunLength::time_to_end);
            let inputs = RolloutInputs {
                active_new,
                active_old,
                run_time: run_time.unwrap_or(UNKNOWN_RUN_TIME),
                store_reachable: state.freshness(Topic::Config).own_age(now).is_some(),
                is_decider: state.fleet.is_writer(now),
            };
            let step = state.rollouts.decide(now, service, &inputs);
            if is_settled(state, now, service, active_old, self.context.settings.lapse) {
                state.settled_rollouts.insert(service.clone());
            }
            (step, inputs)
        };
        self.record_retreat(service, step == RolloutStep::Retreat);
        self.report(now, service, &inputs);
        if let RolloutStep::Write(next) = step {
            // What takes requests from the new version needs no consent of the key-value service.
            if next.stage == RolloutStage::RolledBack {
                self.context.put_in_force(&next);
            } else {
                let mut state = self.context.state();
                state.rollout_writes.insert(service.clone(), next);
            }
            self.context.rollout_write.notify_one();
        }
    }

    fn record_retreat(&mut self, service: &ServiceName, is_retreat: bool) {
        let is_changed = match is_retreat {
            true => self.retreats.insert(service.clone()),
            false => self.retreats.remove(service),
        };
        if is_changed {
            info!(
                service = service.as_str(),
                retreat = u64::from(is_retreat);
                "this entry decides by itself whether it uses the new version"
            );
            self.context.peer_update.notify_one();
        }
    }

    /// Describes a roll-out in progress in the log and in the metrics.
    fn report(&mut self, now: Time, service: &ServiceName, inputs: &RolloutInputs) {
        let Some(view) = self.context.state().rollouts.view(now, service) else {
            return;
        };
        let metrics = &self.context.metrics;
        metrics.record_rollout(service, &view, inputs.is_decider);
        let is_final = view.stage.is_some_and(RolloutStage::is_final);
        let last = self.reported.get(service);
        if is_final || last.is_some_and(|last| now.since(*last) < REPORT_PERIOD) {
            return;
        }
        self.reported.insert(service.clone(), now);
        info!(
            service = service.as_str(),
            order = view.order,
            stage:? = view.stage,
            share = view.share,
            sent_new = view.sent_new,
            sent_all = view.sent_all,
            allowance = view.allowance,
            answers_new = view.answers_new,
            failures_new = view.failures_new,
            answers_old = view.answers_old,
            failures_old = view.failures_old,
            runs_old = view.runs_old,
            targets_new = inputs.active_new,
            targets_old = inputs.active_old,
            evidence_ms = view.evidence_age.map_or(0, millis),
            remaining_ms = millis(view.remaining),
            decider = u64::from(inputs.is_decider),
            reaches_store = u64::from(inputs.store_reachable),
            retreat = view.retreat.as_deref().unwrap_or("none");
            "a roll-out is in progress"
        );
    }
}

/// Returns whether no choice of a target depends on a roll-out any more. The records of the targets that stop at its
/// end last for `lapse`. Versions come and go without an order as well, and are free to be used then.
fn is_settled(
    state: &ForwardState,
    now: Time,
    service: &ServiceName,
    active_old: usize,
    lapse: Duration,
) -> bool {
    let view = state.rollouts.view(now, service);
    let is_ended = view
        .and_then(|view| view.stage)
        .is_some_and(RolloutStage::is_final);
    let Some(current) = state.rollout_state(now, service) else {
        // Entries tell each other of an end for a while only.
        return is_ended;
    };
    let is_over = current.decided_age >= lapse * 2;
    match current.stage {
        RolloutStage::Completed => is_over,
        RolloutStage::RolledBack => is_over && active_old == 0,
        RolloutStage::InProgress | RolloutStage::Finishing => false,
    }
}

impl ForwardContext {
    /// Returns the services with an order.
    pub(super) fn rollout_services(&self) -> Vec<ServiceName> {
        self.state().rollouts.services().cloned().collect()
    }

    /// Puts a state into force at this entry, and tells the others.
    pub(super) fn put_in_force(&self, next: &RolloutState) {
        let now = self.now();
        if !self.state().rollouts.receive_state(now, next) {
            return;
        }
        info!(
            service = next.service.as_str(),
            target = next.target.as_str(),
            order = next.order,
            step = next.step,
            stage:? = next.stage,
            share_permille = next.share_permille,
            reason = next.reason.as_str(),
            sent_new = next.sent_new,
            sent_all = next.sent_all;
            "a roll-out has a new state"
        );
        self.announce_rollouts();
    }
}
