//! Entries, agents and engines with a network between them that a fuzzer decides over.

mod agent_sim;
mod claims;
mod machines;
mod messages;
mod network;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use agent_sim::AgentSim;
use agent_sim::is_whole_chain;
use claims::KeyUse;
use claims::StoreSim;
use cw_policy::Event;
use cw_policy::Generation;
use cw_policy::GenerationLimits;
use cw_policy::GenerationPlan;
use cw_policy::LinkId;
use cw_policy::Reader;
use cw_policy::Step;
use cw_types::AttemptId;
use cw_types::AttemptNo;
use cw_types::GenerationId;
use cw_types::Ran;
use cw_types::TargetId;
use cw_types::Time;
use cw_types::TokenCount;
use cw_types::TokenId;
use cw_wire::Attach;
use cw_wire::Cancel;
use cw_wire::Dispatch;
use cw_wire::Frame;
use cw_wire::Stamp;

/// How many targets there are.
pub(crate) const TARGETS: usize = 3;

/// The caller with an idempotency key.
const KEYED: usize = 2;

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
    /// The key-value service answers, with a fault or without.
    Store(usize, u8),
    /// A write that was on its way when its entry died takes effect.
    LateSwap,
    /// A caller with the idempotency key calls again through another entry.
    Again,
    /// An entry dies, with all that it does for a caller.
    KillEntry(usize),
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
    plan: GenerationPlan,
    machine: Generation,
    links: BTreeMap<LinkId, Link>,
    sent: BTreeMap<AttemptNo, (usize, Stamp)>,
    output: Vec<TokenId>,
    /// The attempt that made the newest token, and its target.
    last: Option<(AttemptNo, TargetId)>,
    /// Whether the caller listens to another entry now.
    left: bool,
    /// Whether its entry is dead.
    dead: bool,
    /// The use of the idempotency key, if it has it.
    key: Option<KeyUse>,
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
    store: StoreSim,
}

impl World {
    /// Returns a world with one caller for each plan.
    pub(crate) fn new(plans: Vec<(GenerationPlan, GenerationLimits)>) -> Self {
        let now = Time(1_000_000);
        let agents = (0..TARGETS).map(|at| AgentSim::new(now, 1000 * at as u32));
        let callers = plans.into_iter().enumerate().map(|(at, (plan, limits))| {
            let mut plan = plan;
            plan.max_tokens = Some(TokenCount(MOST));
            plan.claimed = at == KEYED;
            Caller {
                id: GenerationId(at as u128 + 1),
                machine: Generation::new(plan.clone(), limits),
                plan,
                links: BTreeMap::new(),
                sent: BTreeMap::new(),
                output: Vec::new(),
                last: None,
                left: false,
                dead: false,
                key: (at == KEYED).then(KeyUse::default),
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
            store: StoreSim::default(),
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
            Op::Store(at, fault) => self.answer_store(at, fault),
            Op::LateSwap => self.store.late_swap(),
            Op::Again => self.call_again(),
            Op::KillEntry(at) => self.kill_entry(at % self.callers.len()),
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
            for at in 0..self.claiming().len() {
                self.answer_store(at, 0);
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
            let starts = self.starts(|id| id.generation == caller.id);
            let own = self.starts(|id| self.is_sent(caller, id));
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
                Some(Step::Fail { ran: Ran::No, .. }) if own > 0 => {
                    return Err(format!("run {own} times after all: {}", caller.id));
                }
                _ => {}
            }
        }
        let keyed = |id: &AttemptId| {
            self.callers
                .iter()
                .any(|c| c.key.is_some() && c.id == id.generation)
        };
        match self.starts(keyed) {
            0 | 1 => Ok(()),
            starts => Err(format!("the key was run {starts} times")),
        }
    }

    /// Checks what must hold when everything has settled.
    pub(crate) fn check_settled(&self) -> Result<(), String> {
        self.check()?;
        if let Some(caller) = self.callers.iter().find(|c| c.end.is_none() && !c.dead) {
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

    fn starts(&self, counts: impl Fn(&AttemptId) -> bool) -> u32 {
        let starts = self.agents.iter().flat_map(|agent| &agent.starts);
        let counted = starts.filter(|(id, _)| counts(id));
        counted.map(|(_, count)| count).sum()
    }

    fn is_sent(&self, caller: &Caller, id: &AttemptId) -> bool {
        caller.id == id.generation && caller.sent.contains_key(&id.attempt)
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
