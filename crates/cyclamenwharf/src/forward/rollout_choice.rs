//! Keeps each choice of a target to the side of a roll-out that it may go to.

use cw_policy::forward::SoftwareFilter;
use cw_policy::rollout::Side;
use cw_policy::rollout::SideChoice;
use cw_types::ServiceName;
use cw_types::TargetId;
use cw_types::Time;
use cw_wire::RolloutStage;
use cw_wire::SoftwareHash;
use rand::RngExt;

use super::exchange_driver::ExchangeDriver;
use super::forward_context::ForwardState;

impl ForwardState {
    /// Returns the software that a service's order names, `None` without an order or long after its end.
    pub(super) fn ordered_software(&self, service: &ServiceName) -> Option<SoftwareHash> {
        if self.rollouts.is_empty() || self.settled_rollouts.contains(service) {
            return None;
        }
        match self.rollouts.filter(service, SideChoice::New) {
            SoftwareFilter::Only(software) => Some(software),
            SoftwareFilter::Any | SoftwareFilter::Except(_) => None,
        }
    }

    /// Returns whether an entry has found the ordered version of a service bad.
    fn is_bad(&self, now: Time, service: &ServiceName) -> bool {
        let notices = self.rollouts.notices(now);
        let mut notices = notices.iter();
        notices.any(|notice| notice.service == *service && notice.verdict.is_some())
    }

    /// Returns whether anything may be sent to the ordered version of a service.
    fn is_new_open(&self, now: Time, service: &ServiceName) -> bool {
        // The smallest draw goes to the new version at any share above zero.
        self.rollouts.choose_side(now, service, 0.0) != SideChoice::Old
    }

    /// Returns whether anything may be sent to the version before the ordered one, whose targets stop as soon as the
    /// roll-out is completed.
    fn is_old_open(&self, now: Time, service: &ServiceName) -> bool {
        let view = self.rollouts.view(now, service);
        let is_completed = view.is_some_and(|view| view.stage == Some(RolloutStage::Completed));
        // The largest draw goes to the version before at any share below one.
        !is_completed || self.rollouts.choose_side(now, service, 1.0) != SideChoice::New
    }
}

impl ExchangeDriver {
    /// Chooses where the request may begin. What has begun keeps its software.
    pub(super) fn choose_side(&self, now: Time, state: &mut ForwardState) -> SoftwareFilter {
        let service = &self.request.service;
        if self.exchange.origin().is_some() || state.ordered_software(service).is_none() {
            return SoftwareFilter::Any;
        }
        let draw = state.rng.random_range(0.0..1.0);
        let choice = state.rollouts.choose_side(now, service, draw);
        state.rollouts.filter(service, choice)
    }

    /// Returns where the request may begin if no target that `filter` accepts takes it in time. The old version still
    /// serves what the new one has no room for, until its targets stop. Nothing goes to the new one beyond its share.
    pub(super) fn other_side(
        &self,
        now: Time,
        state: &ForwardState,
        filter: SoftwareFilter,
    ) -> Option<SoftwareFilter> {
        let SoftwareFilter::Only(_) = filter else {
            return None;
        };
        let service = &self.request.service;
        let stage = state.rollouts.view(now, service)?.stage;
        (stage != Some(RolloutStage::Completed))
            .then(|| state.rollouts.filter(service, SideChoice::Old))
    }

    /// Returns whether a roll-out lets the request go to a target that was chosen a while ago.
    pub(super) fn may_use(&self, now: Time, state: &ForwardState, target: &TargetId) -> bool {
        let service = &self.request.service;
        let Some(ordered) = state.ordered_software(service) else {
            return true;
        };
        if self.exchange.origin().is_some() {
            return !self.is_version_closed(now, state);
        }
        match state.fleet.software(target) == Some(ordered) {
            true => state.is_new_open(now, service),
            false => state.is_old_open(now, service),
        }
    }

    /// Returns whether the stream was begun by a version that gets nothing any more: one that was found bad, or the
    /// one before, whose targets stop as soon as the roll-out is completed.
    pub(super) fn is_version_closed(&self, now: Time, state: &ForwardState) -> bool {
        let service = &self.request.service;
        let Some(origin) = self.exchange.origin() else {
            return false;
        };
        if state.ordered_software(service).is_none() {
            return false;
        }
        let stage = state
            .rollouts
            .view(now, service)
            .and_then(|view| view.stage);
        match state.rollouts.side_of(service, origin) {
            Side::New => stage == Some(RolloutStage::RolledBack) || state.is_bad(now, service),
            Side::Old => stage == Some(RolloutStage::Completed),
        }
    }
}
