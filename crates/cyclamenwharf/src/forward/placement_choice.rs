//! Selects the next target of a request.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cw_policy::forward::Placement;
use cw_policy::forward::Progress;
use cw_policy::forward::Requirements;
use cw_policy::forward::Resume;
use cw_policy::forward::RunCopy;
use cw_policy::forward::Slot;
use cw_policy::forward::SoftwareFilter;
use cw_policy::forward::StartEstimate;
use cw_policy::forward::Topic;
use cw_types::TargetId;
use cw_types::Time;
use cw_wire::TargetHash;
use log::info;
use rand::RngExt;

use super::exchange_driver::ExchangeDriver;
use super::exchange_driver::millis;
use super::forward_context::ForwardState;

/// The range of the delay after which callers are told to come back, as a multiple of the time until a
/// target takes a request.
const RETURN_SPREAD: std::ops::Range<f64> = 1.0..1.5;

/// The result of the selection.
pub(super) enum PlacementChoice {
    /// Send to this target. The flag says whether it resumes from a copy there.
    Send(Placement, bool),
    /// Keep this slot at a target that is at its limit, and choose again when it takes the request.
    Wait(Slot),
    /// No target is available.
    NoTarget,
    /// No target has the software that began the stream.
    VersionGone,
    /// No target can start the request in time. One can after this delay.
    Crowded(Duration),
}

impl ExchangeDriver {
    /// Selects the target of the next send. A trial (`is_trial`) waits for one apart from other requests that may
    /// crash it.
    ///
    /// After a wait the choice is made anew, since targets, versions and roll-outs may have changed. All that `kept`, the
    /// slot that the request has waited for, stands for is that its target takes the request then.
    pub(super) fn place(
        &self,
        now: Time,
        resume: &Resume,
        is_trial: bool,
        kept: Option<&Slot>,
    ) -> PlacementChoice {
        let context = Arc::clone(&self.context);
        let mut state = context.state();
        let state = &mut *state;
        let origin = self.exchange.origin();
        if origin.is_some_and(|origin| state.is_version_gone(origin))
            || self.is_version_closed(now, state)
        {
            return PlacementChoice::VersionGone;
        }
        let filter = self.choose_side(now, state);
        let choice = self.place_within(now, state, resume, is_trial, filter, kept);
        if !matches!(
            choice,
            PlacementChoice::NoTarget | PlacementChoice::Crowded(_)
        ) {
            return choice;
        }
        match self.other_side(now, state, filter) {
            Some(filter) => self.place_within(now, state, resume, is_trial, filter, kept),
            None => choice,
        }
    }

    /// Selects the target of the next send among those with some software.
    fn place_within(
        &self,
        now: Time,
        state: &mut ForwardState,
        resume: &Resume,
        is_trial: bool,
        filter: SoftwareFilter,
        kept: Option<&Slot>,
    ) -> PlacementChoice {
        let origin = self.exchange.origin();
        let avoided = state.crashes.targets_to_avoid(self.keys.clone());
        let mut requirements = self.requirements(now, state, self.exchange.excluded());
        requirements.filter = filter;
        if let Some(copy) = &resume.copy
            && !state.fleet.may_have_copy(now, copy)
        {
            info!(
                request = self.request.head.id.as_str(),
                target_id = copy.keeper.as_str(),
                usability:? = state.fleet.usability(now, &copy.keeper);
                "the engine with the copy of a run is not usable"
            );
        }
        let usable_copy = resume.copy.as_ref().filter(|copy| {
            let fleet = &state.fleet;
            let is_usable = fleet.may_have_copy(now, copy) && fleet.has_slot(now, &copy.keeper);
            let software = fleet.software(&copy.keeper);
            let is_same = match origin {
                Some(_) => software == origin,
                None => software.is_some_and(|software| filter.accepts(software)),
            };
            is_usable && is_same && !(is_trial && avoided.contains(&copy.keeper))
        });
        if let Some(RunCopy { keeper: target, .. }) = usable_copy {
            let keeper = state
                .fleet
                .select_keeper(now, &requirements, target, &mut state.rng);
            return match state.fleet.placement(target.clone(), keeper) {
                Some(placement) => PlacementChoice::Send(placement, true),
                None => PlacementChoice::NoTarget,
            };
        }
        let kept = kept.filter(|slot| {
            let is_open = state.fleet.may_use_slot(now, &requirements, slot);
            is_open && !(is_trial && avoided.contains(&slot.target))
        });
        if let Some(slot) = kept.filter(|slot| slot.at <= now) {
            return self.place_in(now, &requirements, slot, state);
        }
        let choice = match self.place_apart(now, state, avoided, filter) {
            Some(placement) => self.admit(now, &requirements, placement, state),
            None if is_trial => return PlacementChoice::NoTarget,
            None => match state.fleet.place(now, &requirements, &mut state.rng) {
                Some(placement) => self.admit(now, &requirements, placement, state),
                None if kept.is_some() => PlacementChoice::NoTarget,
                None => self.wait_for_slot(now, &requirements, state),
            },
        };
        match (choice, kept) {
            (PlacementChoice::NoTarget | PlacementChoice::Crowded(_), Some(slot)) => {
                PlacementChoice::Wait(slot.clone())
            }
            (choice, _) => choice,
        }
    }

    /// Selects a target that is none of those to be avoided.
    fn place_apart(
        &self,
        now: Time,
        state: &mut ForwardState,
        avoided: BTreeSet<TargetId>,
        filter: SoftwareFilter,
    ) -> Option<Placement> {
        let mut excluded = avoided;
        excluded.extend(self.exchange.excluded().iter().cloned());
        let mut requirements = self.requirements(now, state, &excluded);
        requirements.filter = filter;
        state.fleet.place(now, &requirements, &mut state.rng)
    }

    /// Returns the placement at a target that takes the request in a slot that was kept for it.
    fn place_in(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        slot: &Slot,
        state: &mut ForwardState,
    ) -> PlacementChoice {
        let target = &slot.target;
        let keeper = match requirements.wants_copy {
            true => state
                .fleet
                .select_keeper(now, requirements, target, &mut state.rng),
            false => None,
        };
        match state.fleet.placement(target.clone(), keeper) {
            Some(placement) => PlacementChoice::Send(placement, false),
            None => PlacementChoice::NoTarget,
        }
    }

    /// Returns the decision for a request that no target takes now. One that could not be sent in time is refused at
    /// once. New requests do not wait for the end of the time in which targets want none, and leave the first slots behind
    /// it to those that were accepted.
    fn wait_for_slot(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        state: &mut ForwardState,
    ) -> PlacementChoice {
        let slot = state.fleet.next_slot(now, requirements);
        let interval = state.fleet.slot_interval(now, requirements);
        let next = slot.as_ref().map(|slot| now.until(slot.at));
        let Some(wait) = next.or(interval) else {
            return PlacementChoice::NoTarget;
        };
        let is_new = self.exchange.progress() == Progress::New;
        let slot = slot.filter(|slot| slot.is_paced || !slot.after_rest || !is_new);
        if let Some(slot) = slot.filter(|_| wait <= self.longest_slot_wait(now, state)) {
            return PlacementChoice::Wait(slot);
        }
        info!(
            request = self.request.head.id.as_str(),
            route = self.request.admitted.route.name.as_str(),
            after_ms = millis(wait);
            "all targets of a request are at their limits or want none for a while"
        );
        // Callers that are refused meanwhile do not come back at the same moment.
        let spread = state.rng.random_range(RETURN_SPREAD);
        PlacementChoice::Crowded(wait.mul_f64(spread))
    }

    fn longest_slot_wait(&self, now: Time, state: &ForwardState) -> Duration {
        let prompt = self.request.head.demand.prompt;
        let service = &self.request.service;
        let events = self.request.events.last().unwrap_or_default();
        let reading = state.run_times.max_prompt_time(service, prompt);
        let rest = state.run_times.rest_time(service, events);
        let silent_since = self.last_event_at.unwrap_or(self.exchange.plan().arrived);
        (self.exchange).longest_slot_wait(now, silent_since, reading.unwrap_or_default(), rest)
    }

    /// Returns the decision for a request at the selected `placement`, which may be too busy to
    /// start it in time. A request that was sent before, or whose caller already has the beginning
    /// of its answer, is always sent: it was accepted, and a late answer is better than none.
    fn admit(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        placement: Placement,
        state: &mut ForwardState,
    ) -> PlacementChoice {
        let plan = self.exchange.plan();
        let is_new = self.exchange.progress() == Progress::New;
        if requirements.demand.prompt == 0 || !is_new {
            return PlacementChoice::Send(placement, false);
        }
        let ForwardState {
            fleet,
            run_times,
            standing_queues,
            ..
        } = state;
        match fleet.estimate_start(
            now,
            requirements,
            run_times,
            standing_queues,
            plan.objective,
        ) {
            StartEstimate::InTime => PlacementChoice::Send(placement, false),
            StartEstimate::Late { after, limit } => {
                info!(
                    request = self.request.head.id.as_str(),
                    route = self.request.admitted.route.name.as_str(),
                    prompt = requirements.demand.prompt,
                    after_ms = millis(after),
                    limit_ms = millis(limit),
                    rank = plan.precedence.rank.to_string(),
                    reserve = plan.precedence.reserve(),
                    there:? = fleet.backlog(now, &placement.target, requirements, run_times),
                    peers = fleet.peer_count();
                    "no target can start a request in time"
                );
                PlacementChoice::Crowded(after.saturating_sub(limit))
            }
        }
    }

    /// Returns the requirements of the request on its target.
    pub(super) fn requirements<'a>(
        &'a self,
        now: Time,
        state: &ForwardState,
        excluded: &'a BTreeSet<TargetId>,
    ) -> Requirements<'a> {
        Requirements {
            service: &self.request.service,
            memory: self.request.memory,
            demand: self.request.head.demand,
            zone: &self.context.settings.zone,
            excluded,
            wants_copy: self.request.copies && self.exchange.wants_copy(),
            software: self.exchange.origin(),
            reader: self.prompt_reader(now, state),
            filter: SoftwareFilter::Any,
            peers_known: state.fleet.peer_count() > 0,
            precedence: self.exchange.plan().precedence,
            objective: self.exchange.plan().objective,
        }
    }

    /// Returns the target that has already read the prompt.
    fn prompt_reader(&self, now: Time, state: &ForwardState) -> Option<TargetHash> {
        let prompt = self.prompt_hash?;
        let own = state.own_prompts.find(now, prompt);
        own.or_else(|| state.peer_prompts.find(now, prompt))
    }

    /// Records the backlog at the selected target, and logs the inputs of the decision.
    pub(super) fn record_send(&mut self, now: Time, placement: &Placement, resumed: bool) {
        let context = Arc::clone(&self.context);
        let mut state = context.state();
        let targets_age = state.freshness(Topic::Targets).age(now);
        let load = state.fleet.load(now, &placement.target);
        let requirements = self.requirements(now, &state, self.exchange.excluded());
        let reader = requirements.reader;
        let is_reader = reader.is_some() && reader == state.fleet.hash(&placement.target);
        let found = (state.fleet).backlog(now, &placement.target, &requirements, &state.run_times);
        let in_pace = (state.fleet).is_in_pace(now, &placement.target, requirements.demand);
        self.backlog = found;
        if !in_pace && !is_reader {
            self.context.metrics.sends_beyond_pace.inc();
        }
        info!(
            request = self.request.head.id.as_str(),
            fingerprint = self.fingerprint.to_string(),
            route = self.request.admitted.route.name.as_str(),
            version = self.context.metrics.version.get(),
            target_id = placement.target.as_str(),
            copy_at = placement.keeper.as_ref().map_or("none", TargetId::as_str),
            resumed = u64::from(resumed),
            read_before = u64::from(reader.is_some()),
            read_there = u64::from(is_reader),
            after = self.request.events.last().unwrap_or_default(),
            resumes = self.request.head.first_attempt.as_deref().unwrap_or("none"),
            software = state.fleet.listing(&placement.target).map_or("none", |listing| {
                listing.version.as_str()
            }),
            load:? = load,
            found:? = self.backlog,
            in_pace = u64::from(in_pace),
            slowness = state.fleet.slowness(now, &placement.target),
            peers = state.fleet.peer_count(),
            targets_age_ms = targets_age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX)),
            targets_revision = state.directory_log.newest();
            "sending a request"
        );
    }

    /// Returns the address of a target.
    pub(super) fn address(&self, id: &TargetId) -> Option<SocketAddr> {
        let state = self.context.state();
        state.fleet.listing(id).map(|listing| listing.address)
    }
}
