//! The choice of a request's next target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cw_policy::forward::Need;
use cw_policy::forward::Placement;
use cw_policy::forward::Resume;
use cw_policy::forward::RunCopy;
use cw_policy::forward::StartEstimate;
use cw_types::TargetId;
use cw_types::Time;
use cw_wire::TargetHash;
use log::info;

use super::courier::Courier;
use super::courier::millis;
use super::shared::Beliefs;

/// Where the next send goes.
pub(super) enum Choice {
    /// To this target; the flag says that it goes on from a copy there.
    Go(Placement, bool),
    /// There is no target.
    NoTarget,
    /// No target can begin it soon enough; one can after this time.
    Crowded(Duration),
}

impl Courier {
    /// Chooses the target of the next send.
    pub(super) fn place(&self, now: Time, resume: &Resume) -> Choice {
        let shared = Arc::clone(&self.shared);
        let mut beliefs = shared.beliefs();
        let beliefs = &mut *beliefs;
        let need = self.need(now, beliefs);
        if let Some(copy) = &resume.copy
            && !beliefs.fleet.may_have_copy(now, copy)
        {
            info!(
                request = self.parcel.head.id.as_str(),
                target_id = copy.keeper.as_str(),
                usability:? = beliefs.fleet.usability(now, &copy.keeper);
                "the copy of a run is out of reach"
            );
        }
        let kept = resume
            .copy
            .as_ref()
            .filter(|copy| beliefs.fleet.may_have_copy(now, copy));
        if let Some(RunCopy { keeper: target, .. }) = kept {
            let copy = beliefs.fleet.keeper(now, &need, target, &mut beliefs.rng);
            let target = target.clone();
            return Choice::Go(Placement { target, copy }, true);
        }
        let Some(placement) = beliefs.fleet.place(now, &need, &mut beliefs.rng) else {
            return Choice::NoTarget;
        };
        self.admit(now, &need, placement, beliefs)
    }

    /// Returns where a request goes that would go to `placement`, which may be too busy to begin it
    /// in time. One that was sent before, or whose caller has the beginning of its answer, goes anyway:
    /// it was accepted, and a late answer is better than none.
    fn admit(
        &self,
        now: Time,
        need: &Need<'_>,
        placement: Placement,
        beliefs: &mut Beliefs,
    ) -> Choice {
        let plan = self.exchange.plan();
        let is_accepted = self.exchange.sends() > 0 || self.parcel.events.last().is_some();
        if need.demand.prompt == 0 || is_accepted {
            return Choice::Go(placement, false);
        }
        let Beliefs {
            fleet, pace, crowd, ..
        } = beliefs;
        match fleet.estimate_start(now, need, pace, crowd, plan.objective) {
            StartEstimate::InTime => Choice::Go(placement, false),
            StartEstimate::Late { after, limit } => {
                info!(
                    request = self.parcel.head.id.as_str(),
                    route = self.parcel.admitted.route.name.as_str(),
                    prompt = need.demand.prompt,
                    after_ms = millis(after),
                    limit_ms = millis(limit),
                    there:? = fleet.backlog(now, &placement.target, need, pace),
                    peers = fleet.peers();
                    "no target can begin a request soon enough"
                );
                Choice::Crowded(after.saturating_sub(limit))
            }
        }
    }

    /// Returns what the request needs of a target.
    pub(super) fn need(&self, now: Time, beliefs: &Beliefs) -> Need<'_> {
        Need {
            service: &self.parcel.service,
            memory: self.parcel.memory,
            demand: self.parcel.head.demand,
            zone: &self.shared.settings.zone,
            excluded: self.exchange.excluded(),
            copy: self.parcel.copies && self.exchange.wants_copy(),
            read_at: self.read_at(now, beliefs),
            peers: beliefs.fleet.peers() > 0,
        }
    }

    /// Returns the target that has read the prompt before.
    fn read_at(&self, now: Time, beliefs: &Beliefs) -> Option<TargetHash> {
        let prompt = self.prompt?;
        let own = beliefs.own_prompts.find(now, prompt);
        own.or_else(|| beliefs.heard_prompts.find(now, prompt))
    }

    /// Notes what the request finds where it goes, and writes down what that was decided on.
    pub(super) fn note_send(&mut self, now: Time, placement: &Placement, resumed: bool) {
        let shared = Arc::clone(&self.shared);
        let beliefs = shared.beliefs();
        let load = beliefs.fleet.load(now, &placement.target);
        let need = self.need(now, &beliefs);
        let reader = need.read_at;
        let is_reader = reader == Some(TargetHash::from(&placement.target));
        let found = (beliefs.fleet).backlog(now, &placement.target, &need, &beliefs.pace);
        self.found = found;
        info!(
            request = self.parcel.head.id.as_str(),
            route = self.parcel.admitted.route.name.as_str(),
            version = self.shared.metrics.version.get(),
            target_id = placement.target.as_str(),
            copy_at = placement.copy.as_ref().map_or("none", TargetId::as_str),
            resumed = u64::from(resumed),
            read_before = u64::from(reader.is_some()),
            read_there = u64::from(is_reader),
            after = self.parcel.events.last().unwrap_or_default(),
            load:? = load,
            found:? = self.found,
            peers = beliefs.fleet.peers();
            "a request is sent"
        );
    }

    /// Returns where a target listens.
    pub(super) fn address(&self, id: &TargetId) -> Option<SocketAddr> {
        let beliefs = self.shared.beliefs();
        beliefs.fleet.listing(id).map(|listing| listing.address)
    }
}
