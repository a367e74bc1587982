//! What the control state answers.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use cw_types::Time;
use cw_types::readable_schemas;
use cw_wire::ProcessState;
use cw_wire::Report;
use cw_wire::ReportBatch;

use super::Inspection;
use super::core::Core;

impl Core {
    /// Returns all that this entry knows of targets and entries.
    pub(super) fn whole(&self, now: Time) -> ReportBatch {
        let aged = |(age, state): (Duration, &ProcessState)| ProcessState {
            age,
            ..state.clone()
        };
        ReportBatch {
            relay: self.parts.own.host.clone(),
            sequence: 0,
            revision: self.in_force.revision(),
            reports: self.members.reports(now),
            loads: Vec::new(),
            silent: Vec::new(),
            processes: self.processes.live(now).map(aged).collect(),
            forwarded: true,
            demands: Vec::new(),
        }
    }

    /// Returns what this entry says of itself.
    pub(super) fn state(&self) -> ProcessState {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        ProcessState {
            host: self.parts.own.host.clone(),
            sequence: since.unwrap_or_default().as_micros() as u64,
            age: Duration::ZERO,
            revision: self.in_force.revision(),
            schemas: readable_schemas(),
        }
    }

    /// Returns how things are.
    pub(super) fn inspect(&self, now: Time) -> Inspection {
        let aged = |(age, state): (Duration, &ProcessState)| (age, state.clone());
        let reports = self.members.reports(now);
        let pins =
            |(_, report): &(Duration, Report)| (report.target.clone(), report.pinned.clone());
        let revision = |(_, report): &(Duration, Report)| (report.target.clone(), report.revision);
        Inspection {
            in_force: self.in_force.clone(),
            processes: self.processes.live(now).map(aged).collect(),
            pins: reports.iter().map(pins).collect(),
            agents: reports.iter().map(revision).collect(),
            planner: self.planner.clone(),
            view: self.parts.view.load_full(),
        }
    }
}
