//! What is known of one target.

use std::collections::BTreeMap;

use cw_types::HostId;
use cw_types::Incarnation;
use cw_types::Time;
use cw_wire::LoadUpdate;
use cw_wire::Report;
use cw_wire::SilentTarget;
use cw_wire::TargetState;

use super::HostMark;
use super::MembershipLimits;
use crate::Liveness;

/// What is known of one target.
#[derive(Clone, Debug)]
pub(super) struct Member {
    /// The newest report.
    pub(super) report: Report,
    /// When it was made, by this process's clock.
    pub(super) made: Time,
    /// When the target last became alive.
    pub(super) returned: Time,
    /// The relays that say it is silent, with the life they mean and when they said so.
    silences: BTreeMap<HostId, (Incarnation, Time)>,
}

/// What the outside says of a target at one moment.
#[derive(Clone, Copy, Debug)]
pub(super) struct Circumstances {
    /// The present.
    pub(super) now: Time,
    /// Since when this process has run without a pause.
    pub(super) awake: Time,
    /// Whether operators drain the target.
    pub(super) drained: bool,
    /// What the host list says of its host.
    pub(super) mark: HostMark,
    /// How many witnesses there can be at most.
    pub(super) entries: usize,
}

impl Member {
    pub(super) fn new(report: Report, made: Time) -> Self {
        Self {
            report,
            made,
            returned: made,
            silences: BTreeMap::new(),
        }
    }

    /// Returns whether `report` is newer than the one at hand.
    ///
    /// An earlier life counts only when the later one is gone: a clock that was set back must not
    /// shut a target out, and a paused agent must not displace the one that took its place.
    pub(super) fn is_older_than(&self, report: &Report, gone: bool) -> bool {
        let have = (self.report.incarnation, self.report.sequence);
        (report.incarnation, report.sequence) > have
            || (gone && report.incarnation != self.report.incarnation)
    }

    /// Takes a newer report.
    pub(super) fn renew(&mut self, report: Report, made: Time, was: Liveness) {
        let up = report.state == TargetState::Up;
        if up && was != Liveness::Alive {
            self.returned = made;
        }
        self.report = report;
        self.made = made;
        self.silences.clear();
    }

    /// Takes a newer load of the same life.
    pub(super) fn update(&mut self, update: &LoadUpdate, made: Time) {
        self.report.sequence = update.sequence;
        self.report.load = update.unpack(&self.report.load);
        self.made = self.made.max(made);
        self.silences.clear();
    }

    /// Notes that a relay has not heard of the target.
    pub(super) fn on_silence(&mut self, now: Time, relay: &HostId, silence: &SilentTarget) {
        if silence.incarnation == self.report.incarnation {
            let statement = (silence.incarnation, now);
            self.silences.insert(relay.clone(), statement);
        }
    }

    /// Judges the target.
    pub(super) fn liveness(&self, at: &Circumstances, limits: &MembershipLimits) -> Liveness {
        let quiet = at.now.since(self.made.max(at.awake));
        if quiet < limits.fresh {
            return self.stated(at);
        }
        let witnesses = self.witnesses(at, limits);
        let needed = limits.witnesses.min(at.entries.max(1));
        let proven = witnesses >= needed || at.mark == HostMark::Absent;
        if proven && quiet >= limits.gone {
            return Liveness::Gone;
        }
        let doubted = witnesses > 0 || at.mark == HostMark::Absent || quiet >= limits.blind;
        match self.stated(at) {
            Liveness::Alive if doubted => Liveness::Suspect,
            stated => stated,
        }
    }

    fn witnesses(&self, at: &Circumstances, limits: &MembershipLimits) -> usize {
        self.silences
            .values()
            .filter(|(_, said)| at.now.since(*said) < limits.statement)
            .count()
    }

    /// What the target, its operators and the host list say of it.
    fn stated(&self, at: &Circumstances) -> Liveness {
        let leaving = self.report.state == TargetState::Leaving;
        if leaving || at.drained || at.mark == HostMark::Leaving {
            return Liveness::Leaving;
        }
        match self.report.state {
            TargetState::Up => Liveness::Alive,
            TargetState::Down | TargetState::Leaving => Liveness::Down,
        }
    }
}
