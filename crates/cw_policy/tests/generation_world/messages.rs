//! Cancellations, late dispatches, deaths of agents, and time.

use std::time::Duration;

use cw_policy::AttemptAnswer;
use cw_policy::Event;
use cw_types::AttemptNo;
use cw_wire::Cancel;

use super::Asked;
use super::World;

impl World {
    pub(super) fn push_cancel(&mut self, caller: usize, attempt: AttemptNo, prover: Option<usize>) {
        let (agent, stamp) = self.callers[caller].sent[&attempt];
        let id = self.attempt(caller, attempt);
        self.cancels.push_back(Asked {
            agent,
            cancel: Cancel { id, stamp },
            prover,
        });
    }

    pub(super) fn cancel(&mut self, at: usize, lost: bool) {
        if self.cancels.is_empty() {
            return;
        }
        let at = at % self.cancels.len();
        let asked = self.cancels.remove(at).expect("it is in the queue");
        let agent = &mut self.agents[asked.agent];
        let mut ran = None;
        if agent.alive && !lost {
            let clock = agent.clock(self.now);
            let (cancelled, steps) = agent.table.on_cancel(clock, &asked.cancel);
            agent.take(clock, steps);
            ran = Some(cancelled.ran);
        }
        if let Some(caller) = asked.prover {
            let attempt = asked.cancel.id.attempt;
            self.feed(caller, Event::CancelResult { attempt, ran });
        }
    }

    pub(super) fn late(&mut self, at: usize) {
        if self.dispatches.is_empty() {
            return;
        }
        let at = at % self.dispatches.len();
        let (agent, dispatch) = self.dispatches[at].clone();
        let agent = &mut self.agents[agent];
        if !agent.alive {
            return;
        }
        let clock = agent.clock(self.now);
        let (answer, steps) = agent.table.on_dispatch(clock, dispatch);
        agent.take(clock, steps);
        if let AttemptAnswer::Read(reader) = answer {
            agent.table.on_leave(clock, &reader);
        }
    }

    pub(super) fn kill_agent(&mut self, at: usize) {
        self.agents[at].kill();
        for (caller, id) in self.links() {
            let link = self.link(caller, id);
            if link.agent == at && link.ask.is_none() {
                link.reader = None;
                link.ended = true;
            }
        }
    }

    pub(super) fn restart(&mut self, at: usize) {
        self.agents[at].up = true;
        self.agents[at].restart(self.now);
    }

    pub(super) fn pass(&mut self, span: Duration) {
        self.now = self.now + span;
        for agent in self.agents.iter_mut().filter(|agent| agent.alive) {
            let clock = agent.clock(self.now);
            let steps = agent.table.on_tick(clock);
            agent.take(clock, steps);
        }
        self.beat();
        for caller in 0..self.callers.len() {
            let machine = &self.callers[caller].machine;
            if machine.deadline().is_some_and(|at| at <= self.now) {
                self.feed(caller, Event::Tick);
            }
        }
    }

    /// Heartbeats arrive on links that carry nothing else.
    pub(super) fn beat(&mut self) {
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
