//! The choice of a request's next target.

use std::net::SocketAddr;
use std::sync::Arc;

use cw_policy::forward::Need;
use cw_policy::forward::Placement;
use cw_policy::forward::Resume;
use cw_policy::forward::RunCopy;
use cw_types::TargetId;
use cw_types::Time;
use cw_wire::TargetHash;
use log::info;

use super::courier::Courier;
use super::shared::Beliefs;

impl Courier {
    /// Chooses the target of the next send; the flag says that it goes on from a copy there.
    pub(super) fn place(&mut self, now: Time, resume: &Resume) -> Option<(Placement, bool)> {
        let shared = Arc::clone(&self.shared);
        let mut beliefs = shared.beliefs();
        let beliefs = &mut *beliefs;
        let need = self.need(beliefs.fleet.peers() > 0);
        let need = Need {
            read_at: self.read_at(now, beliefs),
            ..need
        };
        if let Some(copy) = &resume.copy
            && !beliefs.fleet.may_keep(now, copy)
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
            .filter(|copy| beliefs.fleet.may_keep(now, copy));
        if let Some(RunCopy { keeper: target, .. }) = kept {
            let copy = beliefs.fleet.keeper(now, &need, target, &mut beliefs.rng);
            let target = target.clone();
            return Some((Placement { target, copy }, true));
        }
        let placement = beliefs.fleet.place(now, &need, &mut beliefs.rng)?;
        Some((placement, false))
    }

    /// Returns what the request needs of a target.
    pub(super) fn need(&self, peers: bool) -> Need<'_> {
        Need {
            service: &self.parcel.service,
            memory: self.parcel.memory,
            demand: self.parcel.head.demand,
            zone: &self.shared.settings.zone,
            excluded: self.exchange.excluded(),
            copy: self.parcel.copies && self.exchange.wants_copy(),
            read_at: None,
            peers,
        }
    }

    /// Returns the target that has read the prompt before.
    fn read_at(&self, now: Time, beliefs: &Beliefs) -> Option<TargetHash> {
        let prompt = self.prompt?;
        let own = beliefs.own_prompts.find(now, prompt);
        own.or_else(|| beliefs.heard_prompts.find(now, prompt))
    }

    /// Writes down where the request goes, and what that was decided on.
    pub(super) fn log_send(&self, now: Time, placement: &Placement, resumed: bool) {
        let beliefs = self.shared.beliefs();
        let load = beliefs.fleet.load(now, &placement.target);
        let reader = self.read_at(now, &beliefs);
        let is_reader = reader == Some(TargetHash::from(&placement.target));
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
