//! The contents of the next batch.

use std::collections::BTreeMap;

use cw_types::HostId;
use cw_types::Revision;
use cw_types::TargetId;
use cw_types::Time;
use cw_wire::LoadUpdate;
use cw_wire::ProcessState;
use cw_wire::Report;
use cw_wire::ReportBatch;
use cw_wire::SilentTarget;
use cw_wire::TargetHash;

use super::ago;

/// The contents of the next batch: only the newest report, load, silence and state of each target
/// and entry.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    reports: BTreeMap<TargetId, (Time, Report)>,
    loads: BTreeMap<TargetHash, (Time, LoadUpdate)>,
    silent: BTreeMap<(HostId, TargetId), SilentTarget>,
    processes: BTreeMap<HostId, (Time, ProcessState)>,
}

impl Outbox {
    /// Adds a full report that was made at `made`, in place of an older report or load of its target.
    pub fn put_report(&mut self, made: Time, report: Report) {
        let newer =
            |old: &Report| (old.incarnation, old.sequence) < (report.incarnation, report.sequence);
        let old = self.reports.get(&report.target);
        if old.is_none_or(|(_, old)| newer(old)) {
            self.loads.remove(&report.hash());
            self.reports.insert(report.target.clone(), (made, report));
        }
    }

    /// Adds a load update that was reported at `made`.
    pub fn put_load(&mut self, made: Time, update: LoadUpdate) {
        let old = self.loads.get(&update.target);
        if old.is_none_or(|(_, old)| old.sequence < update.sequence) {
            self.loads.insert(update.target, (made, update));
        }
    }

    /// Adds a relay's statement that a target is silent.
    pub fn put_silence(&mut self, silence: SilentTarget) {
        let key = (silence.relay.clone(), silence.target.clone());
        self.silent.insert(key, silence);
    }

    /// Adds the state that an entry sent of itself at `made`.
    pub fn put_process(&mut self, made: Time, state: ProcessState) {
        let old = self.processes.get(&state.host);
        if old.is_none_or(|(_, old)| old.sequence < state.sequence) {
            self.processes.insert(state.host.clone(), (made, state));
        }
    }

    /// Adds the contents of another relay's batch, except its demands.
    pub fn put_batch(&mut self, now: Time, batch: &ReportBatch) {
        for (age, report) in &batch.reports {
            self.put_report(ago(now, *age), report.clone());
        }
        for update in &batch.loads {
            self.put_load(ago(now, update.age()), *update);
        }
        for silence in &batch.silent {
            self.put_silence(silence.clone());
        }
        for state in &batch.processes {
            self.put_process(ago(now, state.age), state.clone());
        }
    }

    /// Returns whether the outbox is empty.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
            && self.loads.is_empty()
            && self.silent.is_empty()
            && self.processes.is_empty()
    }

    /// Moves the contents of the outbox into a batch of the relay on `host`, with ages as of `now`.
    pub fn take(&mut self, now: Time, host: &HostId, revision: Revision) -> ReportBatch {
        let contents = std::mem::take(self);
        let aged_load = |(made, mut update): (Time, LoadUpdate)| {
            update.set_age(now.since(made));
            update
        };
        let aged_state = |(made, mut state): (Time, ProcessState)| {
            state.age = now.since(made);
            state
        };
        ReportBatch {
            relay: host.clone(),
            sequence: 0,
            revision,
            reports: contents
                .reports
                .into_values()
                .map(|(made, report)| (now.since(made), report))
                .collect(),
            loads: contents.loads.into_values().map(aged_load).collect(),
            silent: contents.silent.into_values().collect(),
            processes: contents.processes.into_values().map(aged_state).collect(),
            forwarded: false,
            demands: Vec::new(),
        }
    }
}
