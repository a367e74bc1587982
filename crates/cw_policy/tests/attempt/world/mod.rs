//! A simulation of one agent, its target, and the entries' messages in flight.

mod entries;
mod target;

use super::fixtures::attempt;
use super::fixtures::dispatch;
use super::fixtures::limits;
use super::fixtures::stamp;
use super::fixtures::table;
use super::oracle::Oracle;
use super::oracle::Stream;
use cw_policy::AttemptAnswer;
use cw_policy::AttemptEnd;
use cw_policy::AttemptStep;
use cw_policy::AttemptTable;
use cw_policy::Reader;
use cw_types::AttemptId;
use cw_types::Time;
use cw_types::TokenIndex;
use cw_wire::Cancel;
use cw_wire::Dispatch;
use cw_wire::FinishReason;
use cw_wire::Stamp;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

/// How far a running attempt may exceed its share of the output buffer, in bytes: one token and
/// its overhead.
const SHARE_SLACK: usize = 256;

/// One step of a history.
///
/// A number selects one of the attempts, messages or streams that exist, modulo their count.
#[derive(Clone, Debug)]
pub(crate) enum Op {
    /// An entry dispatches an attempt, for the first time or again.
    Send(u8),
    /// An entry cancels an attempt.
    Cancel(u8),
    /// A message arrives, possibly late or out of order.
    Deliver(u8),
    /// A message is lost.
    Drop(u8),
    /// The target accepts an attempt.
    Accept(u8),
    /// The target refuses an attempt that it has not accepted.
    Refuse(u8),
    /// The target produces tokens.
    Produce(u8, u8),
    /// The target finishes an attempt.
    Finish(u8),
    /// An attempt's connection to the target breaks.
    Disconnect(u8),
    /// The target crashes.
    Crash,
    /// The target answers again.
    Up,
    /// Sets whether the target is leaving.
    Leaving(bool),
    /// A stream reads its next frame.
    Read(u8),
    /// A stream is closed.
    Detach(u8),
    /// An entry acknowledges the output that it has received.
    Ack(u8),
    /// Time passes, in milliseconds.
    Wait(u32),
    /// A caller attaches to a generation, of its own workspace (`true`) or another.
    Attach(u8, bool),
    /// A planner orders the version to be unloaded, if no attempt is pinned to it, or to stay.
    Unload(bool),
    /// Entries learn the incarnation and age of the agent.
    Report,
    /// The agent crashes and restarts.
    Restart,
}

#[derive(Clone, Debug)]
enum Message {
    Dispatch(Box<Dispatch>),
    Cancel(Cancel),
}

/// The simulated system and the oracles of its attempts.
pub(crate) struct World {
    table: AttemptTable,
    incarnation: u64,
    /// When this incarnation started, on the simulation's clock.
    started: Time,
    now: Time,
    /// The last stamp of the agent that entries know.
    known_stamp: Stamp,
    sent: BTreeMap<AttemptId, Stamp>,
    /// Attempts whose dispatch was repeated, so that the answer to the first is ignored.
    repeated: BTreeSet<AttemptId>,
    in_flight: Vec<Message>,
    oracles: BTreeMap<AttemptId, Oracle>,
    /// The attempts at the target, and whether each is being read.
    target: BTreeMap<AttemptId, bool>,
    readers: Vec<(Reader, Stream)>,
    down: bool,
    leaving: bool,
    unloading: bool,
}

type CheckResult = Result<(), String>;

impl World {
    /// Returns the initial state.
    pub(crate) fn new() -> Self {
        Self {
            table: table(Time(0), 1),
            incarnation: 1,
            started: Time(0),
            now: Time(0),
            known_stamp: stamp(1, Time(0)),
            sent: BTreeMap::new(),
            repeated: BTreeSet::new(),
            in_flight: Vec::new(),
            oracles: BTreeMap::new(),
            target: BTreeMap::new(),
            readers: Vec::new(),
            down: false,
            leaving: false,
            unloading: false,
        }
    }

    /// Applies one step and checks the invariants.
    pub(crate) fn step(&mut self, op: &Op) -> CheckResult {
        match *op {
            Op::Send(n) => self.send(n),
            Op::Cancel(n) => self.cancel(n),
            Op::Deliver(n) => self.deliver(n)?,
            Op::Drop(n) => drop(self.take_message(n)),
            Op::Accept(n) => self.accept(n),
            Op::Refuse(n) => self.refuse(n),
            Op::Produce(n, count) => self.produce(n, count)?,
            Op::Finish(n) => self.finish(n),
            Op::Disconnect(n) => self.disconnect(n),
            Op::Crash => self.crash(),
            Op::Up => self.up(),
            Op::Leaving(leaving) => self.set_leaving(leaving),
            Op::Read(n) => self.read(n)?,
            Op::Detach(n) => self.detach(n),
            Op::Ack(n) => self.ack(n),
            Op::Wait(millis) => self.wait(millis),
            Op::Attach(n, own) => self.attach(n, own)?,
            Op::Unload(unload) => self.unload(unload),
            Op::Report => self.known_stamp = stamp(self.incarnation, self.agent_time()),
            Op::Restart => self.restart(),
        }
        self.check()
    }

    /// Ends and reads everything in progress, and checks that the leaving agent is drained.
    pub(crate) fn drain(&mut self) -> CheckResult {
        self.catch_up()?;
        self.set_leaving(true);
        let running: Vec<AttemptId> = self.target.keys().copied().collect();
        for id in running {
            self.target.remove(&id);
            let steps =
                self.table
                    .on_end(self.agent_time(), id, AttemptEnd::Done(FinishReason::Stop));
            self.apply(steps);
        }
        while !self.readers.is_empty() {
            for _ in 0..1000 {
                self.read(0)?;
            }
            self.detach(0);
        }
        self.wait(limits().retention.as_millis() as u32);
        self.check()?;
        match self.table.is_drained() {
            true => Ok(()),
            false => Err("nothing is in progress, but the table is not drained".to_owned()),
        }
    }

    /// Reads all output, and checks that reading from the target has resumed for every attempt.
    fn catch_up(&mut self) -> CheckResult {
        let running: Vec<AttemptId> = self.target.keys().copied().collect();
        for id in running {
            let from = TokenIndex(self.oracles[&id].reached);
            let repeated = Dispatch {
                repeat: true,
                from,
                ..dispatch(id, self.known_stamp)
            };
            let (answer, steps) = self.table.on_dispatch(self.agent_time(), repeated);
            self.apply(steps);
            let AttemptAnswer::Read(reader) = answer else {
                return Err(format!("{id} runs but is not found"));
            };
            self.readers.push((reader, Stream::new(from.0)));
        }
        for n in 0..self.readers.len() {
            for _ in 0..100 {
                self.read(n as u8)?;
            }
        }
        match self.target.iter().find(|(_, reads)| !**reads) {
            Some((id, _)) => Err(format!("{id} is paused although all its output was read")),
            None => Ok(()),
        }
    }

    // ---- Checks

    fn check(&self) -> CheckResult {
        for (id, oracle) in &self.oracles {
            oracle.check(*id)?;
        }
        if self.target.len() > limits().admission.max_running as usize {
            return Err(format!("{} attempts run at the target", self.target.len()));
        }
        let max_bytes = limits().output_bytes.as_usize()
            + SHARE_SLACK * limits().admission.max_running as usize;
        if self.table.output_bytes() > max_bytes {
            return Err(format!(
                "{} bytes of output are buffered",
                self.table.output_bytes()
            ));
        }
        Ok(())
    }

    /// Returns the time on the agent's own clock, which starts at 0 with each incarnation.
    fn agent_time(&self) -> Time {
        Time::default() + self.now.since(self.started)
    }

    fn apply(&mut self, steps: Vec<AttemptStep>) {
        for step in steps {
            match step {
                AttemptStep::Start(dispatch) => {
                    assert!(
                        !self.down && !self.leaving,
                        "an attempt started at a target that takes no work"
                    );
                    let is_unloading = self.unloading && !runs_once(dispatch.id);
                    assert!(
                        !is_unloading,
                        "an attempt started for a version that is being unloaded"
                    );
                    self.oracles.entry(dispatch.id).or_default().starts += 1;
                    self.target.insert(dispatch.id, true);
                }
                AttemptStep::Abort(id) => {
                    let oracle = &self.oracles[&id];
                    let only_once = runs_once(id);
                    assert!(
                        !only_once || oracle.cancelled,
                        "{id} was aborted although nobody cancelled it"
                    );
                    self.target.remove(&id);
                }
                AttemptStep::Resume(id) => {
                    if let Some(reads) = self.target.get_mut(&id) {
                        assert!(!*reads, "{id} was resumed although it is not paused");
                        *reads = true;
                    }
                }
                AttemptStep::Wake(_) => {}
            }
        }
    }

    // ---- The agent

    fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
        let steps = self.table.on_leaving(self.agent_time(), leaving);
        self.apply(steps);
    }

    fn wait(&mut self, millis: u32) {
        self.now = self.now + Duration::from_millis(millis.into());
        let steps = self.table.on_tick(self.agent_time());
        self.apply(steps);
    }

    fn restart(&mut self) {
        self.incarnation += 1;
        self.started = self.now;
        self.table = table(Time(0), self.incarnation);
        self.readers.clear();
        let lost: BTreeSet<AttemptId> = self.target.keys().copied().collect();
        self.target.clear();
        for id in lost {
            // The target may have run it.
            self.oracles.entry(id).or_default().ran = true;
        }
        self.down = false;
        self.leaving = false;
        self.unloading = false;
    }
}

/// Returns the attempt that a number selects.
fn id(n: u8) -> AttemptId {
    attempt(u128::from(n % 5), 1 + u32::from(n / 5 % 2))
}

/// Returns whether an attempt is not idempotent, so that it may run only once.
fn runs_once(id: AttemptId) -> bool {
    id.generation.0.is_multiple_of(2)
}

fn pick_index(n: u8, len: usize) -> Option<usize> {
    (len > 0).then(|| usize::from(n) % len)
}
