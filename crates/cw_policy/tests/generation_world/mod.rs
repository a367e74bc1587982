//! Entries, agents and engines with a network between them that a fuzzer decides over.

mod agent_sim;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use agent_sim::AgentSim;
use agent_sim::is_whole_chain;
use cw_policy::AttemptAnswer;
use cw_policy::Effect;
use cw_policy::Event;
use cw_policy::Generation;
use cw_policy::Limits;
use cw_policy::LinkId;
use cw_policy::Plan;
use cw_policy::ReadStep;
use cw_policy::Reader;
use cw_policy::Step;
use cw_types::AttemptId;
use cw_types::AttemptNo;
use cw_types::ErrorKind;
use cw_types::GenerationId;
use cw_types::Ran;
use cw_types::TargetId;
use cw_types::Time;
use cw_types::TokenCount;
use cw_types::TokenId;
use cw_types::TokenIndex;
use cw_wire::Ack;
use cw_wire::Attach;
use cw_wire::Cancel;
use cw_wire::Dispatch;
use cw_wire::Frame;
use cw_wire::Generate;
use cw_wire::Prompt;
use cw_wire::Sampling;
use cw_wire::Stamp;
use cw_wire::Work;

/// How many targets there are.
pub(crate) const TARGETS: usize = 3;

/// The most tokens of each output.
const MOST: u64 = 12;

/// The most frames that a link reads ahead of its entry.
const AHEAD: usize = 4;

/// What the fuzzer lets happen.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Op {
    /// The next message of a link arrives.
    Deliver(usize),
    /// A link breaks.
    Break(usize),
    /// A link goes silent for good.
    Silence(usize),
    /// The next frame of a link arrives twice.
    Repeat(usize),
    /// The next two frames of a link change places.
    Swap(usize),
    /// An old dispatch arrives once more.
    Late(usize),
    /// A cancellation, or the question for a proof, arrives.
    Cancel(usize),
    /// A cancellation, or the question for a proof, is lost.
    LoseCancel(usize),
    /// An engine makes tokens.
    Engine(usize),
    /// An engine dies.
    KillEngine(usize),
    /// An engine stands still, or goes on.
    Pause(usize),
    /// An agent dies.
    KillAgent(usize),
    /// An agent and its engine come back.
    Restart(usize),
    /// An agent reports.
    Report(usize),
    /// Time passes, in milliseconds.
    Pass(u64),
    /// A caller goes away.
    Leave(usize),
    /// A caller comes back through another entry, with its tokens or without.
    Return(usize, bool),
}

#[derive(Debug)]
enum Ask {
    Dispatch(Box<Dispatch>),
    Attach(Attach),
}

#[derive(Debug)]
struct Link {
    agent: usize,
    ask: Option<Ask>,
    reader: Option<Reader>,
    frames: VecDeque<Frame>,
    silent: bool,
    ended: bool,
}

#[derive(Debug)]
struct Caller {
    id: GenerationId,
    plan: Plan,
    machine: Generation,
    links: BTreeMap<LinkId, Link>,
    sent: BTreeMap<AttemptNo, (usize, Stamp)>,
    output: Vec<TokenId>,
    /// The attempt that made the newest token, and its target.
    last: Option<(AttemptNo, TargetId)>,
    /// Whether the caller listens to another entry now.
    left: bool,
    end: Option<Step>,
}

#[derive(Debug)]
struct Asked {
    agent: usize,
    cancel: Cancel,
    /// The caller that waits for the proof.
    prover: Option<usize>,
}

/// Entries, agents and engines with a network between them.
#[derive(Debug)]
pub(crate) struct World {
    now: Time,
    agents: Vec<AgentSim>,
    callers: Vec<Caller>,
    cancels: VecDeque<Asked>,
    /// Every dispatch that was sent, and so may arrive once more. One whose connection was refused
    /// was not.
    dispatches: Vec<(usize, Dispatch)>,
    turn: usize,
    /// How many entries have taken over a generation.
    entries: u32,
}

impl World {
    /// Returns a world with one caller for each plan.
    pub(crate) fn new(plans: Vec<(Plan, Limits)>) -> Self {
        let now = Time(1_000_000);
        let agents = (0..TARGETS).map(|at| AgentSim::new(now, 1000 * at as u32));
        let callers = plans.into_iter().enumerate().map(|(at, (plan, limits))| {
            let mut plan = plan;
            plan.max_tokens = Some(TokenCount(MOST));
            Caller {
                id: GenerationId(at as u128 + 1),
                machine: Generation::new(plan.clone(), limits),
                plan,
                links: BTreeMap::new(),
                sent: BTreeMap::new(),
                output: Vec::new(),
                last: None,
                left: false,
                end: None,
            }
        });
        let mut world = Self {
            now,
            agents: agents.collect(),
            callers: callers.collect(),
            cancels: VecDeque::new(),
            dispatches: Vec::new(),
            turn: 0,
            entries: 0,
        };
        for caller in 0..world.callers.len() {
            world.feed(caller, Event::Start);
        }
        world
    }

    /// Lets one thing happen.
    pub(crate) fn apply(&mut self, op: Op) {
        let now = self.now;
        match op {
            Op::Deliver(at) => self.on_link(at, Self::deliver),
            Op::Break(at) => self.on_link(at, Self::break_link),
            Op::Silence(at) => self.on_link(at, |world, caller, link| {
                world.link(caller, link).silent = true;
            }),
            Op::Repeat(at) => self.on_link(at, |world, caller, link| {
                let frames = &mut world.link(caller, link).frames;
                if let Some(frame) = frames.front().cloned() {
                    frames.push_front(frame);
                }
            }),
            Op::Swap(at) => self.on_link(at, |world, caller, link| {
                let frames = &mut world.link(caller, link).frames;
                if frames.len() > 1 {
                    frames.swap(0, 1);
                }
            }),
            Op::Late(at) => self.late(at),
            Op::Cancel(at) => self.cancel(at, false),
            Op::LoseCancel(at) => self.cancel(at, true),
            Op::Engine(at) => self.agents[at % TARGETS].step(now),
            Op::KillEngine(at) => self.agents[at % TARGETS].kill_engine(now),
            Op::Pause(at) => {
                let agent = &mut self.agents[at % TARGETS];
                agent.paused = !agent.paused;
            }
            Op::KillAgent(at) => self.kill_agent(at % TARGETS),
            Op::Restart(at) => self.restart(at % TARGETS),
            Op::Report(at) => self.agents[at % TARGETS].report(now),
            Op::Pass(millis) => self.pass(Duration::from_millis(millis)),
            Op::Leave(at) => {
                let caller = at % self.callers.len();
                self.callers[caller].left = true;
                self.feed(caller, Event::CallerGone);
            }
            Op::Return(at, held) => self.come_back(at % self.callers.len(), held),
        }
        self.read_ahead();
    }

    /// Mends everything, and lets the rest happen in order until nothing is left to happen.
    pub(crate) fn settle(&mut self) {
        for round in 0..600 {
            for at in 0..TARGETS {
                self.agents[at].paused = false;
                if round == 0 {
                    self.restart(at);
                }
                self.agents[at].report(self.now);
                self.agents[at].step(self.now);
            }
            while !self.cancels.is_empty() {
                self.cancel(0, false);
            }
            for at in 0..self.links().len() {
                for _ in 0..2 {
                    self.apply(Op::Deliver(at));
                }
            }
            self.pass(Duration::from_millis(200));
            self.read_ahead();
        }
    }

    // ---- Invariants ----

    /// Checks what must hold at any moment.
    pub(crate) fn check(&self) -> Result<(), String> {
        for caller in self.callers.iter().filter(|caller| !caller.left) {
            let starts = self.starts(caller.id);
            if !is_whole_chain(&caller.output) {
                return Err(format!("mixed output: {:?}", caller.output));
            }
            if !caller.plan.idempotent && starts > 1 {
                return Err(format!("run {starts} times: {}", caller.id));
            }
            match &caller.end {
                Some(Step::Finish(_)) if caller.output.len() as u64 != MOST => {
                    return Err(format!("{} tokens are whole", caller.output.len()));
                }
                Some(Step::Fail { ran: Ran::No, .. }) if starts > 0 => {
                    return Err(format!("run {starts} times after all: {}", caller.id));
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Checks what must hold when everything has settled.
    pub(crate) fn check_settled(&self) -> Result<(), String> {
        self.check()?;
        if let Some(caller) = self.callers.iter().find(|c| c.end.is_none()) {
            return Err(format!("no end: {:?}", caller.machine));
        }
        let left = self.agents.iter().map(AgentSim::running).sum::<usize>();
        match left {
            0 => Ok(()),
            left => Err(format!("{left} attempts still run")),
        }
    }

    /// Returns how many callers got their whole output.
    pub(crate) fn whole(&self) -> usize {
        let whole = |caller: &&Caller| matches!(caller.end, Some(Step::Finish(_)));
        self.callers.iter().filter(whole).count()
    }

    fn starts(&self, id: GenerationId) -> u32 {
        let starts = self.agents.iter().filter_map(|agent| agent.starts.get(&id));
        starts.sum()
    }

    // ---- Links ----

    fn links(&self) -> Vec<(usize, LinkId)> {
        let callers = self.callers.iter().enumerate();
        callers
            .flat_map(|(at, caller)| caller.links.keys().map(move |link| (at, *link)))
            .collect()
    }

    fn on_link(&mut self, at: usize, act: impl Fn(&mut Self, usize, LinkId)) {
        let links = self.links();
        if !links.is_empty() {
            let (caller, link) = links[at % links.len()];
            act(self, caller, link);
        }
    }

    fn link(&mut self, caller: usize, link: LinkId) -> &mut Link {
        let links = &mut self.callers[caller].links;
        links.get_mut(&link).expect("the link is open")
    }

    fn deliver(&mut self, caller: usize, id: LinkId) {
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
    fn ask(&mut self, caller: usize, id: LinkId, ask: Ask) {
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
    fn read_ahead(&mut self) {
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

    fn break_link(&mut self, caller: usize, id: LinkId) {
        self.close(caller, id);
        let effect = Effect::Possible;
        self.feed(caller, Event::Closed { link: id, effect });
    }

    fn close(&mut self, caller: usize, id: LinkId) {
        let Some(link) = self.callers[caller].links.remove(&id) else {
            return;
        };
        if let Some(Ask::Dispatch(dispatch)) = link.ask {
            self.dispatches.push((link.agent, *dispatch));
        }
        let agent = &mut self.agents[link.agent];
        if let Some(reader) = link.reader {
            let clock = agent.clock(self.now);
            agent.table.on_leave(clock, &reader);
        }
    }

    // ---- Machines ----

    fn feed(&mut self, caller: usize, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let steps = self.callers[caller].machine.on_event(self.now, event);
            for step in steps {
                events.extend(self.take(caller, step));
            }
        }
    }

    fn take(&mut self, caller: usize, step: Step) -> Option<Event> {
        match step {
            Step::Choose { exclude, .. } => return Some(self.choose(&exclude)),
            Step::Dispatch {
                link,
                attempt,
                target,
                so_far,
                resumed,
            } => {
                let agent = index(&target);
                let stamp = self.agents[agent].stamp;
                self.callers[caller].sent.insert(attempt, (agent, stamp));
                let dispatch = self.dispatch(caller, attempt, so_far, resumed);
                self.open(caller, link, agent, Ask::Dispatch(Box::new(dispatch)));
            }
            Step::Attach {
                link,
                attempt,
                target,
                repeat,
                from,
            } => {
                let ask = self.attach(caller, attempt, repeat, from);
                self.open(caller, link, index(&target), ask);
            }
            Step::Close { link } => self.close(caller, link),
            Step::Cancel { attempt, .. } => self.push_cancel(caller, attempt, None),
            Step::Prove { attempt, .. } => self.push_cancel(caller, attempt, Some(caller)),
            Step::Queue => {
                let (kind, retry) = (ErrorKind::Overloaded, Duration::from_secs(1));
                return Some(Event::Unqueued { kind, retry });
            }
            Step::Judge => return Some(Event::Judged { guilty: false }),
            Step::Ack { attempt, next, .. } => {
                let (agent, _) = self.callers[caller].sent[&attempt];
                let id = self.attempt(caller, attempt);
                let steps = self.agents[agent].table.on_ack(&Ack { id, next });
                let clock = self.agents[agent].clock(self.now);
                self.agents[agent].take(clock, steps);
            }
            Step::Deliver {
                first,
                attempt,
                target,
                tokens,
            } => {
                let caller = &mut self.callers[caller];
                if caller.left {
                    return None;
                }
                caller.last = Some((attempt, target));
                assert_eq!(first.0, caller.output.len() as u64, "no gap, no repeat");
                assert!(caller.end.is_none(), "nothing comes after the end");
                caller.output.extend(tokens.iter().map(|token| token.id));
            }
            Step::Finish(_) | Step::Fail { .. } | Step::Abandon | Step::Answer { .. } => {
                let end = &mut self.callers[caller].end;
                assert!(end.is_none(), "there is one end");
                *end = Some(step);
            }
            _ => {}
        }
        None
    }

    /// A caller hears nothing more from its entry, and calls again through another one.
    fn come_back(&mut self, at: usize, held: bool) {
        let caller = &mut self.callers[at];
        let Some((attempt, target)) = caller.last.clone() else {
            return;
        };
        if caller.left || caller.end.is_some() {
            return;
        }
        caller.left = true;
        let mut plan = caller.plan.clone();
        plan.from = TokenIndex(caller.output.len() as u64);
        plan.running = Some(target.clone());
        plan.first = attempt;
        self.entries += 1;
        plan.next = AttemptNo(1000 * self.entries);
        plan.prefix = match held {
            true => caller.output.clone(),
            false => Vec::new(),
        };
        let agent = index(&target);
        let stamp = self.agents[agent].stamp;
        let back = Caller {
            id: caller.id,
            machine: Generation::new(plan.clone(), Limits::default()),
            plan,
            links: BTreeMap::new(),
            sent: BTreeMap::from([(attempt, (agent, stamp))]),
            output: caller.output.clone(),
            last: caller.last.clone(),
            left: false,
            end: None,
        };
        self.feed(at, Event::CallerGone);
        self.callers.push(back);
        self.feed(self.callers.len() - 1, Event::Start);
    }

    fn choose(&mut self, exclude: &std::collections::BTreeSet<TargetId>) -> Event {
        for _ in 0..TARGETS {
            self.turn = (self.turn + 1) % TARGETS;
            let target = target(self.turn);
            if !exclude.contains(&target) {
                return Event::Chosen(target);
            }
        }
        Event::NoTarget {
            kind: ErrorKind::NoTarget,
            retry: Duration::from_secs(1),
        }
    }

    fn open(&mut self, caller: usize, link: LinkId, agent: usize, ask: Ask) {
        let opened = Link {
            agent,
            ask: Some(ask),
            reader: None,
            frames: VecDeque::new(),
            silent: false,
            ended: false,
        };
        self.callers[caller].links.insert(link, opened);
    }

    fn attempt(&self, caller: usize, attempt: AttemptNo) -> AttemptId {
        let generation = self.callers[caller].id;
        AttemptId {
            generation,
            attempt,
        }
    }

    fn attach(
        &self,
        caller: usize,
        attempt: AttemptNo,
        repeat: Option<Vec<TokenId>>,
        from: TokenIndex,
    ) -> Ask {
        match repeat {
            Some(so_far) => {
                let mut dispatch = self.dispatch(caller, attempt, so_far, true);
                dispatch.repeat = true;
                dispatch.from = from;
                Ask::Dispatch(Box::new(dispatch))
            }
            None => Ask::Attach(Attach {
                generation: self.callers[caller].id,
                attempt: Some(attempt),
                workspace: name("w"),
                from,
            }),
        }
    }

    fn dispatch(
        &self,
        caller: usize,
        attempt: AttemptNo,
        so_far: Vec<TokenId>,
        resumed: bool,
    ) -> Dispatch {
        let from = TokenIndex(so_far.len() as u64);
        Dispatch {
            id: self.attempt(caller, attempt),
            stamp: self.callers[caller].sent[&attempt].1,
            repeat: false,
            workspace: name("w"),
            weight: 1,
            rank: 1,
            idempotent: self.callers[caller].plan.idempotent,
            resumed,
            patience: Duration::from_secs(10),
            fingerprint: Default::default(),
            from,
            work: Work::Generate(Generate {
                model: name("m"),
                version: name("v"),
                adapter: None,
                prompt: Prompt::Text(String::new()),
                sampling: Sampling {
                    seed: 1,
                    temperature: 1.0,
                    top_p: 1.0,
                    stop: Vec::new(),
                },
                so_far,
                max_tokens: TokenCount(MOST),
            }),
        }
    }

    // ---- Other messages ----

    fn push_cancel(&mut self, caller: usize, attempt: AttemptNo, prover: Option<usize>) {
        let (agent, stamp) = self.callers[caller].sent[&attempt];
        let id = self.attempt(caller, attempt);
        self.cancels.push_back(Asked {
            agent,
            cancel: Cancel { id, stamp },
            prover,
        });
    }

    fn cancel(&mut self, at: usize, lost: bool) {
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
            self.feed(caller, Event::Proof { attempt, ran });
        }
    }

    fn late(&mut self, at: usize) {
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

    fn kill_agent(&mut self, at: usize) {
        self.agents[at].kill();
        for (caller, id) in self.links() {
            let link = self.link(caller, id);
            if link.agent == at && link.ask.is_none() {
                link.reader = None;
                link.ended = true;
            }
        }
    }

    fn restart(&mut self, at: usize) {
        self.agents[at].up = true;
        self.agents[at].restart(self.now);
    }

    fn pass(&mut self, span: Duration) {
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
    fn beat(&mut self) {
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

fn name<T: TryFrom<String>>(text: &str) -> T {
    T::try_from(text.to_owned()).ok().expect("a name")
}

fn target(at: usize) -> TargetId {
    name(&format!("t{at}"))
}

fn index(target: &TargetId) -> usize {
    target.as_str()[1..].parse().expect("the target's number")
}
