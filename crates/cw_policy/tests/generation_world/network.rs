//! Links between entries and agents.

use cw_policy::AttemptAnswer;
use cw_policy::Effect;
use cw_policy::Event;
use cw_policy::LinkId;
use cw_policy::ReadStep;

use super::AHEAD;
use super::Ask;
use super::Link;
use super::World;

impl World {
    pub(super) fn links(&self) -> Vec<(usize, LinkId)> {
        let callers = self.callers.iter().enumerate();
        callers
            .flat_map(|(at, caller)| caller.links.keys().map(move |link| (at, *link)))
            .collect()
    }

    pub(super) fn on_link(&mut self, at: usize, act: impl Fn(&mut Self, usize, LinkId)) {
        let links = self.links();
        if !links.is_empty() {
            let (caller, link) = links[at % links.len()];
            act(self, caller, link);
        }
    }

    pub(super) fn link(&mut self, caller: usize, link: LinkId) -> &mut Link {
        let links = &mut self.callers[caller].links;
        links.get_mut(&link).expect("the link is open")
    }

    pub(super) fn deliver(&mut self, caller: usize, id: LinkId) {
        let link = self.link(caller, id);
        if link.silent {
            return;
        }
        if let Some(ask) = link.ask.take() {
            return self.ask(caller, id, ask);
        }
        let frame = link.frames.pop_front();
        let over = frame.is_none() && link.ended;
        if let Some(frame) = frame {
            self.feed(caller, Event::Frame { link: id, frame });
        } else if over {
            self.close(caller, id);
            let effect = Effect::Possible;
            self.feed(caller, Event::Closed { link: id, effect });
        }
    }

    /// A request reaches its agent.
    pub(super) fn ask(&mut self, caller: usize, id: LinkId, ask: Ask) {
        let at = self.link(caller, id).agent;
        let agent = &mut self.agents[at];
        if !agent.alive {
            self.close(caller, id);
            let effect = Effect::None;
            return self.feed(caller, Event::Closed { link: id, effect });
        }
        let clock = agent.clock(self.now);
        let answer = match ask {
            Ask::Dispatch(dispatch) => {
                self.dispatches.push((at, (*dispatch).clone()));
                let (answer, steps) = agent.table.on_dispatch(clock, *dispatch);
                agent.take(clock, steps);
                answer
            }
            Ask::Attach(attach) => agent.table.on_attach(clock, &attach),
        };
        let link = self.link(caller, id);
        match answer {
            AttemptAnswer::Read(reader) => link.reader = Some(reader),
            AttemptAnswer::Frame(frame) => {
                link.frames.push_back(*frame);
                link.ended = true;
            }
        }
    }

    /// Agents write what their readers have not got yet.
    pub(super) fn read_ahead(&mut self) {
        for (caller, id) in self.links() {
            let now = self.now;
            let link = self.callers[caller].links.get_mut(&id).expect("it is open");
            let agent = &mut self.agents[link.agent];
            let clock = agent.clock(now);
            while link.frames.len() < AHEAD && !link.ended {
                let Some(reader) = &mut link.reader else {
                    break;
                };
                let (step, steps) = agent.table.read(clock, reader);
                agent.take(clock, steps);
                match step {
                    ReadStep::Frame(frame) => link.frames.push_back(frame),
                    ReadStep::Wait => break,
                    ReadStep::Close => link.ended = true,
                }
            }
        }
    }

    pub(super) fn break_link(&mut self, caller: usize, id: LinkId) {
        self.close(caller, id);
        let effect = Effect::Possible;
        self.feed(caller, Event::Closed { link: id, effect });
    }

    pub(super) fn close(&mut self, caller: usize, id: LinkId) {
        let Some(link) = self.callers[caller].links.remove(&id) else {
            return;
        };
        if let Some(Ask::Dispatch(dispatch)) = link.ask {
            self.dispatches.push((link.agent, *dispatch));
        }
        let agent = &mut self.agents[link.agent];
        if let Some(reader) = link.reader {
            let clock = agent.clock(self.now);
            agent.table.on_detach(clock, &reader);
        }
    }
}
