//! The roll-outs that one entry knows.

use std::collections::BTreeMap;
use std::time::Duration;

use cw_types::HostId;
use cw_types::Incarnation;
use cw_types::RouteName;
use cw_types::ServiceName;
use cw_types::Time;
use cw_wire::RolloutNotice;
use cw_wire::RolloutStage;
use cw_wire::RolloutState;
use cw_wire::SoftwareHash;

use super::ExposureLimits;
use super::OrderStep;
use super::RolloutInputs;
use super::RolloutOrder;
use super::RolloutStep;
use super::RolloutView;
use super::RunOutcome;
use super::Side;
use super::SideChoice;
use super::own_evidence;
use super::service_rollout::ServiceRollout;
use crate::forward::SoftwareFilter;

/// The roll-outs that one entry knows, by service.
#[derive(Clone, Debug, Default)]
pub struct Rollouts {
    limits: ExposureLimits,
    services: BTreeMap<ServiceName, ServiceRollout>,
}

impl Rollouts {
    /// Returns an entry's knowledge before the first order.
    pub fn new(limits: ExposureLimits) -> Self {
        Self {
            limits,
            services: BTreeMap::new(),
        }
    }

    /// Returns whether there is no order, so that there is nothing to write, send or decide.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Returns the services with an order.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// Records an order that was read from the store, and the state that was found beside it.
    pub fn record_order(
        &mut self,
        now: Time,
        order: RolloutOrder,
        state_found: Option<RolloutState>,
    ) -> OrderStep {
        let service = order.service.clone();
        let mut step = OrderStep::Begun;
        if let Some(known) = self.services.get_mut(&service) {
            if order.is_again(&known.order) {
                known.renew(now, order.revision);
                if let Some(state) = state_found {
                    self.receive_state(now, &state);
                }
                return OrderStep::Again;
            }
            if known.order.revision >= order.revision {
                if let Some(state) = state_found {
                    self.receive_state(now, &state);
                }
                return OrderStep::Known;
            }
            if known.stage() == Some(RolloutStage::Finishing) && known.verdict.is_none() {
                known.next = Some((now, order));
                return OrderStep::Deferred;
            }
            if !known.is_ended() {
                let stage = RolloutStage::RolledBack;
                step = OrderStep::Replaces(known.next_state(now, stage, 0.0, "a later order"));
            }
        }
        self.services
            .insert(service, ServiceRollout::new(now, order));
        if let Some(state) = state_found {
            self.receive_state(now, &state);
        }
        step
    }

    /// Forgets a service whose order the operators have removed, or that the configuration no longer has.
    pub fn forget(&mut self, service: &ServiceName) {
        self.services.remove(service);
    }

    /// Records a state that was read from the store, or that the store has just acknowledged. Returns whether it is
    /// newer than the one that was known.
    pub fn receive_state(&mut self, now: Time, state: &RolloutState) -> bool {
        let state = &self.renewed(now, state);
        let known = self.services.get(&state.service);
        let known = known.map(|rollout| rollout.order.revision);
        if known < Some(state.order) {
            // An entry that has not read the order yet keeps to it as well.
            let order = RolloutOrder::of_state(state);
            (self.services).insert(state.service.clone(), ServiceRollout::new(now, order));
        }
        let Some(rollout) = self.services.get_mut(&state.service) else {
            return false;
        };
        if rollout.order.revision != state.order || !rollout.receive_state(now, state) {
            return false;
        }
        if rollout.is_ended()
            && let Some((at, order)) = rollout.next.take()
        {
            (self.services).insert(state.service.clone(), ServiceRollout::new(at, order));
        }
        true
    }

    /// Returns a state under the later revision of its order, where this entry knows the order in another era of the store.
    fn renewed(&mut self, now: Time, state: &RolloutState) -> RolloutState {
        let mut state = state.clone();
        let order = RolloutOrder::of_state(&state);
        if let Some(known) = self.services.get_mut(&state.service) {
            if order.is_again(&known.order) {
                known.renew(now, order.revision);
            } else if known.order.is_again(&order) {
                state.order = known.order.revision;
            }
        }
        state
    }

    /// Records what another entry reports about a roll-out. Returns whether its state is newer than the one that was known.
    pub fn receive_notice(
        &mut self,
        now: Time,
        host: &HostId,
        incarnation: Incarnation,
        notice: &RolloutNotice,
    ) -> bool {
        let state = notice.state.as_ref();
        let is_newer = state.is_some_and(|state| self.receive_state(now, state));
        let Some(rollout) = self.services.get_mut(&notice.service) else {
            return is_newer;
        };
        if rollout.order.revision != notice.order {
            return is_newer;
        }
        let contact_at = now.before(notice.contact_age);
        rollout.contact_at = rollout.contact_at.max(contact_at);
        if rollout.verdict.is_none() {
            rollout.verdict.clone_from(&notice.verdict);
        }
        (rollout.others).receive(now, host, incarnation, &notice.evidence);
        is_newer
    }

    /// Returns the side of a target with this software, [`Side::Old`] without an order.
    pub fn side_of(&self, service: &ServiceName, software: SoftwareHash) -> Side {
        match self.services.get(service) {
            Some(rollout) if rollout.software == software => Side::New,
            _ => Side::Old,
        }
    }

    /// Returns where a request goes that may begin anywhere: a first send, a repeat or a copy. `draw` is uniform from
    /// 0 to 1.
    pub fn choose_side(&self, now: Time, service: &ServiceName, draw: f64) -> SideChoice {
        match self.services.get(service) {
            Some(rollout) => rollout.choose(now, draw),
            None => SideChoice::Any,
        }
    }

    /// Returns the software that a choice restricts a request to.
    pub fn filter(&self, service: &ServiceName, choice: SideChoice) -> SoftwareFilter {
        match (self.services.get(service), choice) {
            (None, _) | (_, SideChoice::Any) => SoftwareFilter::Any,
            (Some(rollout), SideChoice::Old) => SoftwareFilter::Except(rollout.software),
            (Some(rollout), SideChoice::New) => SoftwareFilter::Only(rollout.software),
        }
    }

    /// Records a request that was sent to a target of one side.
    pub fn record_send(
        &mut self,
        _now: Time,
        service: &ServiceName,
        route: &RouteName,
        side: Side,
    ) {
        if let Some(rollout) = self.services.get_mut(service) {
            own_evidence::record_send(&mut rollout.own, route, side);
        }
    }

    /// Records the time from the send to the first part of an answer, as soon as that has come.
    pub fn record_first(
        &mut self,
        _now: Time,
        service: &ServiceName,
        route: &RouteName,
        side: Side,
        time: Duration,
    ) {
        if let Some(rollout) = self.services.get_mut(service) {
            let evidence = own_evidence::side_evidence(&mut rollout.own, route, side);
            evidence.firsts.record(time);
        }
    }

    /// Records the end of a run that [`Self::record_send`] has counted.
    pub fn record_outcome(
        &mut self,
        _now: Time,
        service: &ServiceName,
        route: &RouteName,
        side: Side,
        outcome: RunOutcome,
    ) {
        if let Some(rollout) = self.services.get_mut(service) {
            own_evidence::record_outcome(&mut rollout.own, route, side, outcome);
        }
    }

    /// Records the runs in progress at this entry, those that began before the order as well.
    pub fn record_runs(&mut self, service: &ServiceName, new: u32, old: u32) {
        if let Some(rollout) = self.services.get_mut(service) {
            rollout.own.runs_new = new;
            rollout.own.runs_old = old;
        }
    }

    /// Returns what to tell the other entries, nothing without an order.
    pub fn notices(&self, now: Time) -> Vec<RolloutNotice> {
        let rollouts = self.services.values();
        rollouts.filter_map(|rollout| rollout.notice(now)).collect()
    }

    /// Decides what to do next about a roll-out. To be called by all entries several times a second, and right after
    /// an order or a notice was recorded, once the targets are known.
    pub fn decide(
        &mut self,
        now: Time,
        service: &ServiceName,
        inputs: &RolloutInputs,
    ) -> RolloutStep {
        match self.services.get_mut(service) {
            Some(rollout) => rollout.decide(now, &self.limits, inputs),
            None => RolloutStep::Stay,
        }
    }

    /// Returns what an operator sees of a roll-out.
    pub fn view(&self, now: Time, service: &ServiceName) -> Option<RolloutView> {
        let rollout = self.services.get(service)?;
        let (sent_all, sent_new) = rollout.sent();
        let heard_at = rollout.others.heard_at();
        Some(RolloutView {
            order: rollout.order.revision,
            target: rollout.order.target.clone(),
            stage: rollout.stage(),
            share: rollout.share(),
            sent_new,
            sent_all,
            allowance: rollout.allowance(now, &self.limits),
            answers_new: rollout.totals.new.ended(),
            failures_new: rollout.totals.new.failures,
            answers_old: rollout.totals.old.ended(),
            failures_old: rollout.totals.old.failures,
            evidence: rollout.evidence(),
            runs_old: rollout.others.runs_old(now, &rollout.own),
            evidence_age: heard_at.map(|at| now.since(at)),
            remaining: now.until(rollout.deadline()),
            retreat: rollout.retreat(now).map(str::to_owned),
        })
    }
}
