//! Executes the steps that the attempt table decides on.

use std::sync::Arc;

use cw_policy::AttemptStep;
use cw_wire::Dispatch;
use cw_wire::Work;

use super::agent_state::AgentState;
use super::call_runner;
use super::generate_runner;

impl AgentState {
    /// Executes a step of the attempt table.
    pub(super) fn execute(self: &Arc<Self>, step: AttemptStep) {
        match step {
            AttemptStep::Start(dispatch) => self.spawn_runner(*dispatch),
            AttemptStep::Abort(id) => self.signals(id).abort.cancel(),
            AttemptStep::Resume(id) => self.signals(id).resume.notify_one(),
            AttemptStep::Wake(id) => {
                self.signals(id).output.send_replace(());
            }
        }
    }

    fn spawn_runner(self: &Arc<Self>, dispatch: Dispatch) {
        let state = Arc::clone(self);
        let signals = self.signals(dispatch.id);
        let Dispatch { id, rank, work, .. } = dispatch;
        match work {
            Work::Generate(work) => self.supervisor.spawn(async move {
                generate_runner::run(&state, id, rank, work, &signals).await;
            }),
            Work::Call(call) => self.supervisor.spawn(async move {
                call_runner::run(&state, id, call, &signals).await;
            }),
        }
    }
}
