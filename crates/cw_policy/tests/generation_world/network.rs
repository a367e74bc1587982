//! The links between entries and agents.

use cw_policy::AttemptAnswer;
use cw_policy::Effect;
use cw_policy::Event;
use cw_policy::LinkId;
use cw_policy::ReadStep;

use super::Link;
use super::READ_AHEAD;
use super::Request;
use super::World;

impl World {
    pub(super) fn links(&self) -> Vec<(usize, LinkId)> {
        let callers = self.callers.iter().enumerate();
        callers
            .flat_map(|(at, caller)| caller.links.keys().map(move |link| (at, *link)))
            .collect()
    }

    pub(super) fn with_link(&mut self, at: usize, act: impl Fn(&mut Self, usize, LinkId)) {
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

    pub(super) fn deliver_next(&mut self, caller: usize, id: LinkId) {
        let link = self.link(caller, id);
        if link.silent {
            return;
        }
        if let Some(request) = link.request.take() {
            return self.deliver_request(caller, id, request);
        }
        let frame = link.frames.pop_front();
        let is_closed = frame.is_none() && link.ended;
        if let Some(frame) = frame {
            self.feed(caller, Event::Frame { link: id, frame });
        } else if is_closed {
            self.close_link(caller, id);
            let effect = Effect::Possible;
            self.feed(caller, Event::Closed { link: id, effect });
        }
    }

    /// Delivers a request to its agent.
    pub(super) fn deliver_request(&mut self, caller: usize, id: LinkId, request: Request) {
        let at = self.link(caller, id).agent;
        let agent = &mut self.agents[at];
        if !agent.alive {
            self.close_link(caller, id);
            let effect = Effect::None;
            return self.feed(caller, Event::Closed { link: id, effect });
        }
        let clock = agent.clock(self.now);
        let answer = match request {
            Request::Dispatch(dispatch) => {
                self.sent_dispatches.push((at, (*dispatch).clone()));
                let (answer, steps) = agent.table.on_dispatch(clock, *dispatch);
                agent.carry_out(clock, steps);
                answer
            }
            Request::Attach(attach) => agent.table.on_attach(clock, &attach),
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

    /// Fills the buffers of the links with frames from the agents.
    pub(super) fn read_ahead(&mut self) {
        for (caller, id) in self.links() {
            let now = self.now;
            let link = self.callers[caller]
                .links
                .get_mut(&id)
                .expect("the link is open");
            let agent = &mut self.agents[link.agent];
            let clock = agent.clock(now);
            while link.frames.len() < READ_AHEAD && !link.ended {
                let Some(reader) = &mut link.reader else {
                    break;
                };
                let (step, steps) = agent.table.read(clock, reader);
                agent.carry_out(clock, steps);
                match step {
                    ReadStep::Frame(frame) => link.frames.push_back(frame),
                    ReadStep::Wait => break,
                    ReadStep::Close => link.ended = true,
                }
            }
        }
    }

    pub(super) fn break_link(&mut self, caller: usize, id: LinkId) {
        self.close_link(caller, id);
        let effect = Effect::Possible;
        self.feed(caller, Event::Closed { link: id, effect });
    }

    pub(super) fn close_link(&mut self, caller: usize, id: LinkId) {
        let Some(link) = self.callers[caller].links.remove(&id) else {
            return;
        };
        if let Some(Request::Dispatch(dispatch)) = link.request {
            self.sent_dispatches.push((link.agent, *dispatch));
        }
        let agent = &mut self.agents[link.agent];
        if let Some(reader) = link.reader {
            let clock = agent.clock(self.now);
            agent.table.on_detach(clock, &reader);
        }
    }
}
