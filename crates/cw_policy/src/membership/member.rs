//! The state of one target.

use std::collections::BTreeMap;

use cw_types::HostId;
use cw_types::Incarnation;
use cw_types::Time;
use cw_wire::LoadUpdate;
use cw_wire::Report;
use cw_wire::SilentTarget;
use cw_wire::TargetState;

use super::HostStatus;
use super::MembershipLimits;
use crate::Liveness;

/// The newest report of a target, and the relays that report its silence.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) report: Report,
    /// When the report was made, by this process's clock.
    pub(super) made_at: Time,
    /// When the target last became alive.
    pub(super) alive_since: Time,
    /// The relays that report the target's silence, with the incarnation that they refer to and the
    /// time of their statement.
    silences: BTreeMap<HostId, (Incarnation, Time)>,
}

/// What the liveness of a target depends on besides its reports.
#[derive(Clone, Copy, Debug)]
pub(super) struct LivenessContext {
    pub(super) now: Time,
    /// The start of the period in which this process has run without a pause.
    pub(super) running_since: Time,
    /// Whether an operator drains the target.
    pub(super) drained: bool,
    /// The status of the target's host in the host list.
    pub(super) host_status: HostStatus,
    /// The number of live entries, which bounds the number of witnesses.
    pub(super) entry_count: usize,
}

impl Member {
    pub(super) fn new(report: Report, made: Time) -> Self {
        Self {
            report,
            made_at: made,
            alive_since: made,
            silences: BTreeMap::new(),
        }
    }

    /// Returns whether `report` replaces the newest report.
    ///
    /// A report of an earlier incarnation is accepted only when the later incarnation is gone: an
    /// agent whose clock was set back must not be locked out, and an agent that resumes from a pause
    /// must not replace its successor.
    pub(super) fn is_superseded_by(&self, report: &Report, gone: bool) -> bool {
        let current = (self.report.incarnation, self.report.sequence);
        (report.incarnation, report.sequence) > current
            || (gone && report.incarnation != self.report.incarnation)
    }

    /// Replaces the report with a newer one. `was` is the liveness before it.
    pub(super) fn replace_report(&mut self, report: Report, made: Time, was: Liveness) {
        let up = report.state == TargetState::Up;
        if up && was != Liveness::Alive {
            self.alive_since = made;
        }
        self.report = report;
        self.made_at = made;
        self.silences.clear();
    }

    /// Applies a newer load of the same incarnation.
    pub(super) fn apply_load(&mut self, update: &LoadUpdate, made: Time) {
        self.report.sequence = update.sequence;
        self.report.load = update.unpack(&self.report.load);
        self.made_at = self.made_at.max(made);
        self.silences.clear();
    }

    /// Records that a relay reports the target's silence.
    pub(super) fn on_silence(&mut self, now: Time, relay: &HostId, silence: &SilentTarget) {
        if silence.incarnation == self.report.incarnation {
            let statement = (silence.incarnation, now);
            self.silences.insert(relay.clone(), statement);
        }
    }

    /// Returns the liveness of the target.
    pub(super) fn liveness(&self, at: &LivenessContext, limits: &MembershipLimits) -> Liveness {
        let silent_for = at.now.since(self.made_at.max(at.running_since));
        if silent_for < limits.silent_after {
            return self.declared_liveness(at);
        }
        let witnesses = self.witness_count(at, limits);
        let needed = limits.min_witnesses.min(at.entry_count.max(1));
        let confirmed = witnesses >= needed || at.host_status == HostStatus::Absent;
        if confirmed && silent_for >= limits.gone_after {
            return Liveness::Gone;
        }
        let suspect = witnesses > 0
            || at.host_status == HostStatus::Absent
            || silent_for >= limits.suspect_after;
        match self.declared_liveness(at) {
            Liveness::Alive if suspect => Liveness::Suspect,
            declared => declared,
        }
    }

    fn witness_count(&self, at: &LivenessContext, limits: &MembershipLimits) -> usize {
        self.silences
            .values()
            .filter(|(_, stated_at)| at.now.since(*stated_at) < limits.statement_ttl)
            .count()
    }

    /// Returns the liveness that the target, its operators and the host list declare.
    fn declared_liveness(&self, at: &LivenessContext) -> Liveness {
        let leaving = self.report.state == TargetState::Leaving;
        if leaving || at.drained || at.host_status == HostStatus::Leaving {
            return Liveness::Leaving;
        }
        match self.report.state {
            TargetState::Up => Liveness::Alive,
            TargetState::Down | TargetState::Leaving => Liveness::Down,
        }
    }
}
