//! A simulated target: the real attempt table of its agent, and an engine that generates tokens.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use cw_policy::AttemptEnd;
use cw_policy::AttemptLimits;
use cw_policy::AttemptStep;
use cw_policy::AttemptTable;
use cw_policy::Chunk;
use cw_policy::FlowControl;
use cw_types::AttemptId;
use cw_types::Incarnation;
use cw_types::Time;
use cw_types::TokenCount;
use cw_types::TokenId;
use cw_wire::Dispatch;
use cw_wire::FinishReason;
use cw_wire::Load;
use cw_wire::Stamp;
use cw_wire::Token;
use cw_wire::Work;

/// An attempt that the engine runs.
#[derive(Debug)]
struct EngineRun {
    output: Vec<TokenId>,
    max_tokens: u64,
}

/// A simulated target: the real attempt table of its agent, and an engine that generates tokens.
#[derive(Debug)]
pub(crate) struct AgentSim {
    /// The attempt table.
    pub(crate) table: AttemptTable,
    /// Whether the agent runs.
    pub(crate) alive: bool,
    /// Whether the engine runs.
    pub(crate) engine_up: bool,
    /// Whether the engine is paused.
    pub(crate) engine_paused: bool,
    /// The number of times that each attempt was started on the engine.
    pub(crate) start_counts: BTreeMap<AttemptId, u32>,
    /// The stamp of the agent's incarnation that the entries know.
    pub(crate) stamp: Stamp,
    runs: BTreeMap<AttemptId, EngineRun>,
    started_at: Time,
    nonce: u32,
}

impl AgentSim {
    /// Returns a target whose agent is in its first incarnation.
    pub(crate) fn new(now: Time, nonce: u32) -> Self {
        let mut sim = Self {
            table: AttemptTable::new(Incarnation(1), AttemptLimits::default()),
            alive: true,
            engine_up: true,
            engine_paused: false,
            start_counts: BTreeMap::new(),
            stamp: Stamp {
                incarnation: Incarnation(1),
                age: Default::default(),
            },
            runs: BTreeMap::new(),
            started_at: now,
            nonce,
        };
        sim.report(now);
        sim
    }

    /// Returns the time on the agent's own clock.
    pub(crate) fn clock(&self, now: Time) -> Time {
        Time::default() + now.since(self.started_at)
    }

    /// Reads the engine's load and updates the stamp that the entries know.
    pub(crate) fn report(&mut self, now: Time) {
        if !self.alive {
            return;
        }
        let clock = self.clock(now);
        if self.engine_up {
            let name = |text: &str| text.to_owned().try_into().expect("a valid name");
            let versions = BTreeSet::from(["v".to_owned().try_into().expect("a valid name")]);
            let versions = BTreeMap::from([(name("m"), versions)]);
            let steps = self.table.on_load(clock, clock, Load::default(), versions);
            self.carry_out(clock, steps);
        }
        self.stamp = Stamp {
            incarnation: self.table.incarnation(),
            age: clock.since(Time::default()),
        };
    }

    /// Carries out the steps of the attempt table.
    pub(crate) fn carry_out(&mut self, clock: Time, steps: Vec<AttemptStep>) {
        for step in steps {
            match step {
                AttemptStep::Start(dispatch) => self.start(clock, *dispatch),
                AttemptStep::Abort(id) => {
                    self.runs.remove(&id);
                }
                AttemptStep::Resume(_) | AttemptStep::Wake(_) => {}
            }
        }
    }

    fn start(&mut self, clock: Time, dispatch: Dispatch) {
        let id = dispatch.id;
        *self.start_counts.entry(id).or_default() += 1;
        let Work::Generate(work) = dispatch.work else {
            return;
        };
        if !self.engine_up {
            let steps = self.table.on_disconnect(clock, id);
            return self.carry_out(clock, steps);
        }
        let run = EngineRun {
            output: work.so_far,
            max_tokens: work.max_tokens.0,
        };
        self.runs.insert(id, run);
        let steps = self.table.on_accepted(clock, id, TokenCount(0));
        self.carry_out(clock, steps);
    }

    /// Generates one token for each attempt of the engine.
    pub(crate) fn step_engine(&mut self, now: Time) {
        if !self.alive || !self.engine_up || self.engine_paused {
            return;
        }
        let clock = self.clock(now);
        let ids: Vec<AttemptId> = self.runs.keys().copied().collect();
        for id in ids {
            self.step_attempt(clock, id);
        }
    }

    fn step_attempt(&mut self, clock: Time, id: AttemptId) {
        self.nonce = self.nonce.wrapping_add(1);
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let token = Token {
            id: next_token(&run.output, self.nonce),
            text: String::new(),
        };
        run.output.push(token.id);
        let is_complete = run.output.len() as u64 >= run.max_tokens;
        let (flow, mut steps) = self.table.on_output(clock, id, Chunk::Tokens(vec![token]));
        if is_complete || flow == FlowControl::Stop {
            self.runs.remove(&id);
            steps.extend(
                self.table
                    .on_end(clock, id, AttemptEnd::Done(FinishReason::Length)),
            );
        }
        self.carry_out(clock, steps);
    }

    /// Crashes the engine; its agent stays up.
    pub(crate) fn kill_engine(&mut self, now: Time) {
        self.engine_up = false;
        let clock = self.clock(now);
        for id in std::mem::take(&mut self.runs).into_keys() {
            let steps = self.table.on_disconnect(clock, id);
            self.carry_out(clock, steps);
        }
        self.table.on_crash(clock);
        let steps = self.table.on_down(clock);
        self.carry_out(clock, steps);
    }

    /// Crashes the agent and cancels the work of its engine.
    pub(crate) fn kill(&mut self) {
        self.alive = false;
        self.runs.clear();
    }

    /// Starts a new incarnation of the agent if it has crashed, and reports.
    pub(crate) fn restart(&mut self, now: Time) {
        if !self.alive {
            let incarnation = self.table.incarnation().next();
            self.table = AttemptTable::new(incarnation, AttemptLimits::default());
            self.alive = true;
            self.started_at = now;
        }
        self.report(now);
    }

    /// Returns the number of attempts that the engine runs.
    pub(crate) fn running(&self) -> usize {
        self.runs.len()
    }
}

/// Returns a token with a digest of the output that it continues and a nonce, so that no engine
/// generates it again.
fn next_token(output: &[TokenId], nonce: u32) -> TokenId {
    TokenId((digest(output) << 16) | (nonce & 0xffff))
}

/// Returns whether each token of `output` continues the tokens before it.
pub(crate) fn is_consistent(output: &[TokenId]) -> bool {
    let mut indices = 0..output.len();
    indices.all(|at| output[at].0 >> 16 == digest(&output[..at]))
}

fn digest(output: &[TokenId]) -> u32 {
    let mut hasher = DefaultHasher::new();
    output.hash(&mut hasher);
    (hasher.finish() & 0xffff) as u32
}
