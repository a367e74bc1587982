//! Cancellations, repeated dispatches, crashes of agents, and time.

use std::time::Duration;

use cw_policy::AttemptAnswer;
use cw_policy::Event;
use cw_types::AttemptNo;
use cw_wire::Cancel;

use super::PendingCancel;
use super::World;

impl World {
    pub(super) fn push_cancel(
        &mut self,
        caller: usize,
        attempt: AttemptNo,
        requester: Option<usize>,
    ) {
        let (agent, stamp) = self.callers[caller].sent[&attempt];
        let id = self.attempt_id(caller, attempt);
        self.pending_cancels.push_back(PendingCancel {
            agent,
            cancel: Cancel { id, stamp },
            requester,
        });
    }

    pub(super) fn deliver_cancel(&mut self, at: usize, lost: bool) {
        if self.pending_cancels.is_empty() {
            return;
        }
        let at = at % self.pending_cancels.len();
        let pending = self
            .pending_cancels
            .remove(at)
            .expect("the index is in range");
        let agent = &mut self.agents[pending.agent];
        let mut ran = None;
        if agent.alive && !lost {
            let clock = agent.clock(self.now);
            let (cancelled, steps) = agent.table.on_cancel(clock, &pending.cancel);
            agent.carry_out(clock, steps);
            ran = Some(cancelled.ran);
        }
        if let Some(caller) = pending.requester {
            let attempt = pending.cancel.id.attempt;
            self.feed(caller, Event::CancelResult { attempt, ran });
        }
    }

    pub(super) fn repeat_dispatch(&mut self, at: usize) {
        if self.sent_dispatches.is_empty() {
            return;
        }
        let at = at % self.sent_dispatches.len();
        let (agent, dispatch) = self.sent_dispatches[at].clone();
        let agent = &mut self.agents[agent];
        if !agent.alive {
            return;
        }
        let clock = agent.clock(self.now);
        let (answer, steps) = agent.table.on_dispatch(clock, dispatch);
        agent.carry_out(clock, steps);
        if let AttemptAnswer::Read(reader) = answer {
            agent.table.on_detach(clock, &reader);
        }
    }

    pub(super) fn kill_agent(&mut self, at: usize) {
        self.agents[at].kill();
        for (caller, id) in self.links() {
            let link = self.link(caller, id);
            if link.agent == at && link.request.is_none() {
                link.reader = None;
                link.ended = true;
            }
        }
    }

    pub(super) fn restart_agent(&mut self, at: usize) {
        self.agents[at].engine_up = true;
        self.agents[at].restart(self.now);
    }

    pub(super) fn advance_time(&mut self, duration: Duration) {
        self.now = self.now + duration;
        for agent in self.agents.iter_mut().filter(|agent| agent.alive) {
            let clock = agent.clock(self.now);
            let steps = agent.table.on_tick(clock);
            agent.carry_out(clock, steps);
        }
        self.deliver_heartbeats();
        for caller in 0..self.callers.len() {
            let machine = &self.callers[caller].machine;
            if machine.deadline().is_some_and(|at| at <= self.now) {
                self.feed(caller, Event::Tick);
            }
        }
    }

    /// Delivers heartbeats on links without buffered frames.
    pub(super) fn deliver_heartbeats(&mut self) {
        for (caller, id) in self.links() {
            let now = self.now;
            let Some(link) = self.callers[caller].links.get(&id) else {
                continue;
            };
            let agent = &self.agents[link.agent];
            let quiet = !link.silent && !link.ended && link.frames.is_empty();
            if let (true, true, Some(reader)) = (agent.alive, quiet, link.reader) {
                let frame = agent.table.heartbeat(agent.clock(now), reader.id);
                self.feed(caller, Event::Frame { link: id, frame });
            }
        }
    }
}
