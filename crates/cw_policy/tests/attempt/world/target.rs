//! Actions of the target.

use super::super::fixtures::chunk;
use super::super::fixtures::versions;
use super::CheckResult;
use super::World;
use super::pick_index;
use cw_policy::AttemptEnd;
use cw_policy::FlowControl;
use cw_types::AttemptId;
use cw_types::TokenCount;
use cw_wire::FinishReason;
use cw_wire::Load;
use cw_wire::NotRunReason;

impl World {
    pub(super) fn pick_running(&self, n: u8) -> Option<AttemptId> {
        let at = pick_index(n, self.target.len())?;
        self.target.keys().nth(at).copied()
    }

    pub(super) fn accept(&mut self, n: u8) {
        if let Some(id) = self.pick_running(n) {
            self.oracles.entry(id).or_default().ran = true;
            let steps = self.table.on_accepted(self.agent_time(), id, TokenCount(0));
            self.apply(steps);
        }
    }

    pub(super) fn refuse(&mut self, n: u8) {
        let Some(id) = self.pick_running(n) else {
            return;
        };
        if !self.oracles[&id].ran {
            self.target.remove(&id);
            let end = AttemptEnd::NotRun(NotRunReason::Busy);
            let steps = self.table.on_end(self.agent_time(), id, end);
            self.apply(steps);
        }
    }

    pub(super) fn produce(&mut self, n: u8, count: u8) -> CheckResult {
        let Some(id) = self.pick_running(n) else {
            return Ok(());
        };
        for _ in 0..count {
            if self.target.get(&id) != Some(&true) {
                return Ok(());
            }
            let now = self.agent_time();
            let oracle = self.oracles.entry(id).or_default();
            oracle.ran = true;
            let index = oracle.produced;
            oracle.produced += 1;
            let (flow, steps) = self.table.on_output(now, id, chunk(id, index));
            match flow {
                FlowControl::Continue => {}
                FlowControl::Pause => drop(self.target.insert(id, false)),
                FlowControl::Stop => {
                    return Err(format!("{id} ended without an abort at the target"));
                }
            }
            self.apply(steps);
        }
        Ok(())
    }

    pub(super) fn finish(&mut self, n: u8) {
        if let Some(id) = self.pick_running(n) {
            self.target.remove(&id);
            self.oracles.entry(id).or_default().ran = true;
            let end = AttemptEnd::Done(FinishReason::Stop);
            let steps = self.table.on_end(self.agent_time(), id, end);
            self.apply(steps);
        }
    }

    pub(super) fn disconnect(&mut self, n: u8) {
        if let Some(id) = self.pick_running(n) {
            self.target.remove(&id);
            // The target may have accepted it.
            self.oracles.entry(id).or_default().ran = true;
            let steps = self.table.on_disconnect(self.agent_time(), id);
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
        let steps = self.table.on_down(self.agent_time());
        self.apply(steps);
        while !self.target.is_empty() {
            self.disconnect(0);
        }
        self.table.on_crash(self.agent_time());
    }

    pub(super) fn up(&mut self) {
        self.down = false;
        let now = self.agent_time();
        let steps = self.table.on_load(now, now, Load::default(), versions());
        self.apply(steps);
    }
}
