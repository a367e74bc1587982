//! Queries of the control state.

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
    /// Returns the full state: all reports and entry states that this entry knows.
    pub(super) fn full_state(&self, now: Time) -> ReportBatch {
        let with_age = |(age, state): (Duration, &ProcessState)| ProcessState {
            age,
            ..state.clone()
        };
        ReportBatch {
            relay: self.parts.own_entry.host.clone(),
            sequence: 0,
            revision: self.active_config.revision(),
            reports: self.members.reports(now),
            loads: Vec::new(),
            silent: Vec::new(),
            processes: self.processes.live(now).map(with_age).collect(),
            forwarded: true,
            demands: Vec::new(),
        }
    }

    /// Returns the state that this entry announces. The sequence number is the time of day in
    /// microseconds, so that it also increases across restarts.
    pub(super) fn process_state(&self) -> ProcessState {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        ProcessState {
            host: self.parts.own_entry.host.clone(),
            sequence: since.unwrap_or_default().as_micros() as u64,
            age: Duration::ZERO,
            revision: self.active_config.revision(),
            schemas: readable_schemas(),
        }
    }

    /// Returns a copy of the state for the admin API and the planner.
    pub(super) fn inspect(&self, now: Time) -> Inspection {
        let cloned = |(age, state): (Duration, &ProcessState)| (age, state.clone());
        let reports = self.members.reports(now);
        let pins =
            |(_, report): &(Duration, Report)| (report.target.clone(), report.pinned.clone());
        let revision = |(_, report): &(Duration, Report)| (report.target.clone(), report.revision);
        Inspection {
            active_config: self.active_config.clone(),
            processes: self.processes.live(now).map(cloned).collect(),
            pins: reports.iter().map(pins).collect(),
            agents: reports.iter().map(revision).collect(),
            planner: self.planner.clone(),
            view: self.parts.view.load_full(),
        }
    }
}
