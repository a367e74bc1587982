//! A simulation of entries, agents and engines whose network and faults the fuzzer controls.

mod agent_sim;
mod claims;
mod driver;
mod messages;
mod network;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use agent_sim::AgentSim;
use agent_sim::is_consistent;
use claims::KeyState;
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

/// The number of targets.
pub(crate) const TARGETS: usize = 3;

/// The index of the caller with an idempotency key.
const KEYED_CALLER: usize = 2;

/// The number of tokens of a complete output.
const MAX_TOKENS: u64 = 12;

/// The maximum number of frames that a link buffers for its entry.
const READ_AHEAD: usize = 4;

/// An operation that the fuzzer applies to the simulation.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Op {
    /// Delivers the next message of a link.
    Deliver(usize),
    /// Breaks a link.
    BreakLink(usize),
    /// Stops a link from delivering messages, permanently and without an error.
    SilenceLink(usize),
    /// Duplicates the next frame of a link.
    RepeatFrame(usize),
    /// Swaps the next two frames of a link.
    SwapFrames(usize),
    /// Delivers an earlier dispatch again.
    RepeatDispatch(usize),
    /// Delivers a cancellation, with or without a request for its result.
    DeliverCancel(usize),
    /// Loses a cancellation, with or without a request for its result.
    LoseCancel(usize),
    /// Generates one token for each attempt of an engine.
    StepEngine(usize),
    /// Crashes an engine.
    KillEngine(usize),
    /// Pauses or resumes an engine.
    TogglePause(usize),
    /// Crashes an agent.
    KillAgent(usize),
    /// Restarts an agent and its engine.
    RestartAgent(usize),
    /// Sends a report of an agent.
    Report(usize),
    /// Advances the time, in milliseconds.
    AdvanceTime(u64),
    /// Disconnects a caller.
    Disconnect(usize),
    /// Answers a call to the key-value service, with the given fault.
    AnswerStore(usize, u8),
    /// Applies a write that was in flight when its entry crashed.
    ApplyLateWrite,
    /// Repeats the call with the idempotency key through another entry.
    CallAgain,
    /// Crashes the entry of a caller.
    KillEntry(usize),
    /// Reconnects a caller through another entry; the flag says whether it sends its output back.
    Reconnect(usize, bool),
}

#[derive(Debug)]
enum Request {
    Dispatch(Box<Dispatch>),
    Attach(Attach),
}

#[derive(Debug)]
struct Link {
    agent: usize,
    request: Option<Request>,
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
    /// The attempt that generated the last delivered token, and its target.
    last_delivery: Option<(AttemptNo, TargetId)>,
    /// Whether the caller no longer listens to this entry.
    disconnected: bool,
    /// Whether the caller's entry has crashed.
    entry_dead: bool,
    /// The state of the idempotency key, if the caller has one.
    key: Option<KeyState>,
    end_step: Option<Step>,
}

#[derive(Debug)]
struct PendingCancel {
    agent: usize,
    cancel: Cancel,
    /// The caller that awaits the result.
    requester: Option<usize>,
}

/// A simulation of entries, agents, engines and the network between them.
#[derive(Debug)]
pub(crate) struct World {
    now: Time,
    agents: Vec<AgentSim>,
    callers: Vec<Caller>,
    pending_cancels: VecDeque<PendingCancel>,
    /// Every dispatch that was sent and may arrive again; this excludes one whose connection was
    /// refused.
    sent_dispatches: Vec<(usize, Dispatch)>,
    last_choice: usize,
    /// The number of calls through another entry, which number the attempts of that entry.
    takeovers: u32,
    store: StoreSim,
}

impl World {
    /// Returns a simulation with one caller for each plan.
    pub(crate) fn new(plans: Vec<(GenerationPlan, GenerationLimits)>) -> Self {
        let now = Time(1_000_000);
        let agents = (0..TARGETS).map(|at| AgentSim::new(now, 1000 * at as u32));
        let callers = plans.into_iter().enumerate().map(|(at, (plan, limits))| {
            let mut plan = plan;
            plan.max_tokens = Some(TokenCount(MAX_TOKENS));
            plan.claimed = at == KEYED_CALLER;
            Caller {
                id: GenerationId(at as u128 + 1),
                machine: Generation::new(plan.clone(), limits),
                plan,
                links: BTreeMap::new(),
                sent: BTreeMap::new(),
                output: Vec::new(),
                last_delivery: None,
                disconnected: false,
                entry_dead: false,
                key: (at == KEYED_CALLER).then(KeyState::default),
                end_step: None,
            }
        });
        let mut world = Self {
            now,
            agents: agents.collect(),
            callers: callers.collect(),
            pending_cancels: VecDeque::new(),
            sent_dispatches: Vec::new(),
            last_choice: 0,
            takeovers: 0,
            store: StoreSim::default(),
        };
        for caller in 0..world.callers.len() {
            world.feed(caller, Event::Start);
        }
        world
    }

    /// Applies one operation.
    pub(crate) fn apply(&mut self, op: Op) {
        let now = self.now;
        match op {
            Op::Deliver(at) => self.with_link(at, Self::deliver_next),
            Op::BreakLink(at) => self.with_link(at, Self::break_link),
            Op::SilenceLink(at) => self.with_link(at, |world, caller, link| {
                world.link(caller, link).silent = true;
            }),
            Op::RepeatFrame(at) => self.with_link(at, |world, caller, link| {
                let frames = &mut world.link(caller, link).frames;
                if let Some(frame) = frames.front().cloned() {
                    frames.push_front(frame);
                }
            }),
            Op::SwapFrames(at) => self.with_link(at, |world, caller, link| {
                let frames = &mut world.link(caller, link).frames;
                if frames.len() > 1 {
                    frames.swap(0, 1);
                }
            }),
            Op::RepeatDispatch(at) => self.repeat_dispatch(at),
            Op::DeliverCancel(at) => self.deliver_cancel(at, false),
            Op::LoseCancel(at) => self.deliver_cancel(at, true),
            Op::StepEngine(at) => self.agents[at % TARGETS].step_engine(now),
            Op::KillEngine(at) => self.agents[at % TARGETS].kill_engine(now),
            Op::TogglePause(at) => {
                let agent = &mut self.agents[at % TARGETS];
                agent.engine_paused = !agent.engine_paused;
            }
            Op::KillAgent(at) => self.kill_agent(at % TARGETS),
            Op::RestartAgent(at) => self.restart_agent(at % TARGETS),
            Op::Report(at) => self.agents[at % TARGETS].report(now),
            Op::AdvanceTime(millis) => self.advance_time(Duration::from_millis(millis)),
            Op::Disconnect(at) => {
                let caller = at % self.callers.len();
                self.callers[caller].disconnected = true;
                self.feed(caller, Event::CallerGone);
            }
            Op::AnswerStore(at, fault) => self.answer_store(at, fault),
            Op::ApplyLateWrite => self.store.apply_late_write(),
            Op::CallAgain => self.call_again(),
            Op::KillEntry(at) => self.kill_entry(at % self.callers.len()),
            Op::Reconnect(at, with_output) => self.reconnect(at % self.callers.len(), with_output),
        }
        self.read_ahead();
    }

    /// Repairs all faults and runs the simulation in order, for long enough that all work ends.
    pub(crate) fn settle(&mut self) {
        for round in 0..600 {
            for at in 0..TARGETS {
                self.agents[at].engine_paused = false;
                if round == 0 {
                    self.restart_agent(at);
                }
                self.agents[at].report(self.now);
                self.agents[at].step_engine(self.now);
            }
            for at in 0..self.claiming_callers().len() {
                self.answer_store(at, 0);
            }
            while !self.pending_cancels.is_empty() {
                self.deliver_cancel(0, false);
            }
            for at in 0..self.links().len() {
                for _ in 0..2 {
                    self.apply(Op::Deliver(at));
                }
            }
            self.advance_time(Duration::from_millis(200));
            self.read_ahead();
        }
    }

    // ---- Invariants ----

    /// Checks the invariants that hold at any time.
    pub(crate) fn check(&self) -> Result<(), String> {
        for caller in self.callers.iter().filter(|caller| !caller.disconnected) {
            let starts = self.starts(|id| id.generation == caller.id);
            let own_starts = self.starts(|id| self.is_sent(caller, id));
            if !is_consistent(&caller.output) {
                return Err(format!("mixed output: {:?}", caller.output));
            }
            if !caller.plan.idempotent && starts > 1 {
                return Err(format!(
                    "non-idempotent work ran {starts} times: {}",
                    caller.id
                ));
            }
            match &caller.end_step {
                Some(Step::Finish(_)) if caller.output.len() as u64 != MAX_TOKENS => {
                    return Err(format!("finished after {} tokens", caller.output.len()));
                }
                Some(Step::Fail { ran: Ran::No, .. }) if own_starts > 0 => {
                    return Err(format!(
                        "reported as not run, but ran {own_starts} times: {}",
                        caller.id
                    ));
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
            starts => Err(format!("the work of the key ran {starts} times")),
        }
    }

    /// Checks the invariants that hold after [`World::settle`].
    pub(crate) fn check_settled(&self) -> Result<(), String> {
        self.check()?;
        if let Some(caller) = self
            .callers
            .iter()
            .find(|c| c.end_step.is_none() && !c.entry_dead)
        {
            return Err(format!(
                "the generation has not ended: {:?}",
                caller.machine
            ));
        }
        let running = self.agents.iter().map(AgentSim::running).sum::<usize>();
        match running {
            0 => Ok(()),
            running => Err(format!("{running} attempts still run")),
        }
    }

    /// Returns the number of callers that received their complete output.
    pub(crate) fn complete_count(&self) -> usize {
        let complete = |caller: &&Caller| matches!(caller.end_step, Some(Step::Finish(_)));
        self.callers.iter().filter(complete).count()
    }

    fn starts(&self, counts: impl Fn(&AttemptId) -> bool) -> u32 {
        let starts = self.agents.iter().flat_map(|agent| &agent.start_counts);
        let counted = starts.filter(|(id, _)| counts(id));
        counted.map(|(_, count)| count).sum()
    }

    fn is_sent(&self, caller: &Caller, id: &AttemptId) -> bool {
        caller.id == id.generation && caller.sent.contains_key(&id.attempt)
    }
}

fn parse_name<T: TryFrom<String>>(text: &str) -> T {
    T::try_from(text.to_owned()).ok().expect("a valid name")
}

fn target_id(index: usize) -> TargetId {
    parse_name(&format!("t{index}"))
}

fn target_index(target: &TargetId) -> usize {
    target.as_str()[1..].parse().expect("the target's number")
}
