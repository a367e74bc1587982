//! What the target does.

use super::super::fixtures::chunk;
use super::super::fixtures::versions;
use super::Checked;
use super::World;
use super::pick;
use cw_policy::End;
use cw_policy::Flow;
use cw_types::AttemptId;
use cw_types::TokenCount;
use cw_wire::FinishReason;
use cw_wire::Load;
use cw_wire::NotRunReason;

impl World {
    pub(super) fn running(&self, n: u8) -> Option<AttemptId> {
        let at = pick(n, self.target.len())?;
        self.target.keys().nth(at).copied()
    }

    pub(super) fn accept(&mut self, n: u8) {
        if let Some(id) = self.running(n) {
            self.oracles.entry(id).or_default().ran = true;
            let steps = self.table.on_accepted(self.local(), id, TokenCount(0));
            self.apply(steps);
        }
    }

    pub(super) fn refuse(&mut self, n: u8) {
        let Some(id) = self.running(n) else {
            return;
        };
        if !self.oracles[&id].ran {
            self.target.remove(&id);
            let end = End::NotRun(NotRunReason::Busy);
            let steps = self.table.on_end(self.local(), id, end);
            self.apply(steps);
        }
    }

    pub(super) fn produce(&mut self, n: u8, count: u8) -> Checked {
        let Some(id) = self.running(n) else {
            return Ok(());
        };
        for _ in 0..count {
            if self.target.get(&id) != Some(&true) {
                return Ok(());
            }
            let now = self.local();
            let oracle = self.oracles.entry(id).or_default();
            oracle.ran = true;
            let index = oracle.produced;
            oracle.produced += 1;
            let (flow, steps) = self.table.on_output(now, id, chunk(id, index));
            match flow {
                Flow::Go => {}
                Flow::Hold => drop(self.target.insert(id, false)),
                Flow::Stop => return Err(format!("{id} ended without the target hearing of it")),
            }
            self.apply(steps);
        }
        Ok(())
    }

    pub(super) fn finish(&mut self, n: u8) {
        if let Some(id) = self.running(n) {
            self.target.remove(&id);
            self.oracles.entry(id).or_default().ran = true;
            let end = End::Done(FinishReason::Stop);
            let steps = self.table.on_end(self.local(), id, end);
            self.apply(steps);
        }
    }

    pub(super) fn break_off(&mut self, n: u8) {
        if let Some(id) = self.running(n) {
            self.target.remove(&id);
            // Nobody knows whether the target had taken it up.
            self.oracles.entry(id).or_default().ran = true;
            let steps = self.table.on_break(self.local(), id);
            self.apply(steps);
        }
    }

    pub(super) fn unload(&mut self, unload: bool) {
        let (model, version) = ("ledger".parse().unwrap(), "v1".parse().unwrap());
        if !unload || self.table.pinned(&model, &version) == 0 {
            self.unloading = unload;
            self.table.on_unloading(&model, &version, unload);
        }
    }

    pub(super) fn crash(&mut self) {
        self.down = true;
        self.unloading = false;
        let steps = self.table.on_down(self.local());
        self.apply(steps);
        while !self.target.is_empty() {
            self.break_off(0);
        }
        self.table.on_crash(self.local());
    }

    pub(super) fn up(&mut self) {
        self.down = false;
        let now = self.local();
        let steps = self.table.on_load(now, now, Load::default(), versions());
        self.apply(steps);
    }
}
