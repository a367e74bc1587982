//! One target: the real attempt table of its agent, before an engine that makes tokens.

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
struct Run {
    output: Vec<TokenId>,
    most: u64,
}

/// One target: the real attempt table of its agent, before an engine that makes tokens.
#[derive(Debug)]
pub(crate) struct AgentSim {
    /// The table.
    pub(crate) table: AttemptTable,
    /// Whether the agent runs.
    pub(crate) alive: bool,
    /// Whether its engine runs.
    pub(crate) up: bool,
    /// Whether its engine stands still.
    pub(crate) paused: bool,
    /// How often each attempt was given to the engine.
    pub(crate) starts: BTreeMap<AttemptId, u32>,
    /// What entries know of the agent's life.
    pub(crate) stamp: Stamp,
    runs: BTreeMap<AttemptId, Run>,
    born: Time,
    nonce: u32,
}

impl AgentSim {
    /// Returns a target whose agent begins its first life.
    pub(crate) fn new(now: Time, nonce: u32) -> Self {
        let mut sim = Self {
            table: AttemptTable::new(Incarnation(1), AttemptLimits::default()),
            alive: true,
            up: true,
            paused: false,
            starts: BTreeMap::new(),
            stamp: Stamp {
                incarnation: Incarnation(1),
                age: Default::default(),
            },
            runs: BTreeMap::new(),
            born: now,
            nonce,
        };
        sim.report(now);
        sim
    }

    /// Returns the time on the agent's own clock.
    pub(crate) fn clock(&self, now: Time) -> Time {
        Time::default() + now.since(self.born)
    }

    /// Reads the engine's load, and tells entries of the agent's life.
    pub(crate) fn report(&mut self, now: Time) {
        if !self.alive {
            return;
        }
        let clock = self.clock(now);
        if self.up {
            let name = |text: &str| text.to_owned().try_into().expect("a name");
            let versions = BTreeSet::from(["v".to_owned().try_into().expect("a name")]);
            let versions = BTreeMap::from([(name("m"), versions)]);
            let steps = self.table.on_load(clock, clock, Load::default(), versions);
            self.take(clock, steps);
        }
        self.stamp = Stamp {
            incarnation: self.table.incarnation(),
            age: clock.since(Time::default()),
        };
    }

    /// Does what the table says.
    pub(crate) fn take(&mut self, clock: Time, steps: Vec<AttemptStep>) {
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
        *self.starts.entry(id).or_default() += 1;
        let Work::Generate(work) = dispatch.work else {
            return;
        };
        if !self.up {
            let steps = self.table.on_disconnect(clock, id);
            return self.take(clock, steps);
        }
        let run = Run {
            output: work.so_far,
            most: work.max_tokens.0,
        };
        self.runs.insert(id, run);
        let steps = self.table.on_accepted(clock, id, TokenCount(0));
        self.take(clock, steps);
    }

    /// The engine makes one token for each of its attempts.
    pub(crate) fn step(&mut self, now: Time) {
        if !self.alive || !self.up || self.paused {
            return;
        }
        let clock = self.clock(now);
        let ids: Vec<AttemptId> = self.runs.keys().copied().collect();
        for id in ids {
            self.step_one(clock, id);
        }
    }

    fn step_one(&mut self, clock: Time, id: AttemptId) {
        self.nonce = self.nonce.wrapping_add(1);
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let token = Token {
            id: next_token(&run.output, self.nonce),
            text: String::new(),
        };
        run.output.push(token.id);
        let whole = run.output.len() as u64 >= run.most;
        let (flow, mut steps) = self.table.on_output(clock, id, Chunk::Tokens(vec![token]));
        if whole || flow == FlowControl::Stop {
            self.runs.remove(&id);
            steps.extend(
                self.table
                    .on_end(clock, id, AttemptEnd::Done(FinishReason::Length)),
            );
        }
        self.take(clock, steps);
    }

    /// The engine dies under its agent.
    pub(crate) fn kill_engine(&mut self, now: Time) {
        self.up = false;
        let clock = self.clock(now);
        for id in std::mem::take(&mut self.runs).into_keys() {
            let steps = self.table.on_disconnect(clock, id);
            self.take(clock, steps);
        }
        self.table.on_crash(clock);
        let steps = self.table.on_down(clock);
        self.take(clock, steps);
    }

    /// The agent dies, and what its engine runs for it is cancelled.
    pub(crate) fn kill(&mut self) {
        self.alive = false;
        self.runs.clear();
    }

    /// A new life of the agent begins.
    pub(crate) fn restart(&mut self, now: Time) {
        if !self.alive {
            let life = self.table.incarnation().next();
            self.table = AttemptTable::new(life, AttemptLimits::default());
            self.alive = true;
            self.born = now;
        }
        self.report(now);
    }

    /// Returns how many attempts the engine runs.
    pub(crate) fn running(&self) -> usize {
        self.runs.len()
    }
}

/// Returns a token that tells which output it continues, and that no other engine makes again.
fn next_token(output: &[TokenId], nonce: u32) -> TokenId {
    TokenId((digest(output) << 16) | (nonce & 0xffff))
}

/// Returns whether each token of `output` continues those before it.
pub(crate) fn is_whole_chain(output: &[TokenId]) -> bool {
    let mut places = 0..output.len();
    places.all(|at| output[at].0 >> 16 == digest(&output[..at]))
}

fn digest(output: &[TokenId]) -> u32 {
    let mut hasher = DefaultHasher::new();
    output.hash(&mut hasher);
    (hasher.finish() & 0xffff) as u32
}
