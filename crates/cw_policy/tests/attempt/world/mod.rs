//! One agent, its target, and the messages of entries on their way.

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
use cw_policy::AttemptStep;
use cw_policy::AttemptTable;
use cw_policy::End;
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

/// How much a running attempt may keep beyond its share: one token and its bookkeeping.
const SLACK: usize = 256;

/// One step of a history; numbers choose among what there is.
#[derive(Clone, Debug)]
pub(crate) enum Op {
    /// An entry sends an attempt, first or again.
    Send(u8),
    /// An entry cancels an attempt.
    Cancel(u8),
    /// A message arrives, late or crossed.
    Deliver(u8),
    /// A message is lost.
    Lose(u8),
    /// The target takes up an attempt.
    Accept(u8),
    /// The target refuses an attempt before taking it up.
    Refuse(u8),
    /// The target produces tokens.
    Produce(u8, u8),
    /// The target finishes an attempt.
    Finish(u8),
    /// An attempt's connection to the target breaks.
    Break(u8),
    /// The target dies.
    Crash,
    /// The target answers again.
    Up,
    /// The target starts to leave, or stays.
    Leaving(bool),
    /// A stream reads on.
    Read(u8),
    /// A stream is dropped.
    Leave(u8),
    /// An entry acknowledges what it has.
    Ack(u8),
    /// Time passes, in milliseconds.
    Pass(u32),
    /// A caller comes back for a generation, its own or another's.
    Attach(u8, bool),
    /// A planner has the version unloaded if nothing is pinned to it, or kept.
    Unload(bool),
    /// Entries learn the agent's life and age.
    Report,
    /// The agent dies and starts anew.
    Restart,
}

#[derive(Clone, Debug)]
enum Message {
    Dispatch(Box<Dispatch>),
    Cancel(Cancel),
}

/// The world.
pub(crate) struct World {
    table: AttemptTable,
    life: u64,
    /// When this life began, on the world's clock.
    born: Time,
    now: Time,
    /// What entries know of the agent.
    known: Stamp,
    sent: BTreeMap<AttemptId, Stamp>,
    /// Attempts whose dispatch was repeated, so that the answer to the first no longer counts.
    repeated: BTreeSet<AttemptId>,
    flying: Vec<Message>,
    oracles: BTreeMap<AttemptId, Oracle>,
    /// What the target has, and whether it is read from.
    target: BTreeMap<AttemptId, bool>,
    readers: Vec<(Reader, Stream)>,
    down: bool,
    leaving: bool,
    unloading: bool,
}

type Checked = Result<(), String>;

impl World {
    /// Returns a world in which nothing has happened.
    pub(crate) fn new() -> Self {
        Self {
            table: table(Time(0), 1),
            life: 1,
            born: Time(0),
            now: Time(0),
            known: stamp(1, Time(0)),
            sent: BTreeMap::new(),
            repeated: BTreeSet::new(),
            flying: Vec::new(),
            oracles: BTreeMap::new(),
            target: BTreeMap::new(),
            readers: Vec::new(),
            down: false,
            leaving: false,
            unloading: false,
        }
    }

    /// Does one step and checks what must hold.
    pub(crate) fn step(&mut self, op: &Op) -> Checked {
        match *op {
            Op::Send(n) => self.send(n),
            Op::Cancel(n) => self.cancel(n),
            Op::Deliver(n) => self.deliver(n)?,
            Op::Lose(n) => drop(self.message(n)),
            Op::Accept(n) => self.accept(n),
            Op::Refuse(n) => self.refuse(n),
            Op::Produce(n, count) => self.produce(n, count)?,
            Op::Finish(n) => self.finish(n),
            Op::Break(n) => self.break_off(n),
            Op::Crash => self.crash(),
            Op::Up => self.up(),
            Op::Leaving(leaving) => self.set_leaving(leaving),
            Op::Read(n) => self.read(n)?,
            Op::Leave(n) => self.leave(n),
            Op::Ack(n) => self.ack(n),
            Op::Pass(millis) => self.pass(millis),
            Op::Attach(n, own) => self.attach(n, own)?,
            Op::Unload(unload) => self.unload(unload),
            Op::Report => self.known = stamp(self.life, self.local()),
            Op::Restart => self.restart(),
        }
        self.check()
    }

    /// Reads and ends everything in progress; then a leaving agent must be drained.
    pub(crate) fn settle(&mut self) -> Checked {
        self.catch_up()?;
        self.set_leaving(true);
        let running: Vec<AttemptId> = self.target.keys().copied().collect();
        for id in running {
            self.target.remove(&id);
            let steps = self
                .table
                .on_end(self.local(), id, End::Done(FinishReason::Stop));
            self.apply(steps);
        }
        while !self.readers.is_empty() {
            for _ in 0..1000 {
                self.read(0)?;
            }
            self.leave(0);
        }
        self.pass(limits().retention.as_millis() as u32);
        self.check()?;
        match self.table.is_drained() {
            true => Ok(()),
            false => Err("nothing is in progress, and yet it is not drained".to_owned()),
        }
    }

    /// Reads all output; then every target must be read from again.
    fn catch_up(&mut self) -> Checked {
        let running: Vec<AttemptId> = self.target.keys().copied().collect();
        for id in running {
            let from = TokenIndex(self.oracles[&id].reached);
            let again = Dispatch {
                repeat: true,
                from,
                ..dispatch(id, self.known)
            };
            let (answer, steps) = self.table.on_dispatch(self.local(), again);
            self.apply(steps);
            let AttemptAnswer::Read(reader) = answer else {
                return Err(format!("{id} runs and is not found"));
            };
            self.readers.push((reader, Stream::new(from.0)));
        }
        for n in 0..self.readers.len() {
            for _ in 0..100 {
                self.read(n as u8)?;
            }
        }
        match self.target.iter().find(|(_, reads)| !**reads) {
            Some((id, _)) => Err(format!("{id} is not read from although all was read")),
            None => Ok(()),
        }
    }

    // ---- Checks

    fn check(&self) -> Checked {
        for (id, oracle) in &self.oracles {
            oracle.check(*id)?;
        }
        if self.target.len() > limits().admission.running as usize {
            return Err(format!("{} attempts run", self.target.len()));
        }
        let room = limits().kept.as_usize() + SLACK * limits().admission.running as usize;
        if self.table.kept() > room {
            return Err(format!("{} bytes are kept", self.table.kept()));
        }
        Ok(())
    }

    /// Returns the time on the agent's own clock.
    fn local(&self) -> Time {
        Time::default() + self.now.since(self.born)
    }

    fn apply(&mut self, steps: Vec<AttemptStep>) {
        for step in steps {
            match step {
                AttemptStep::Start(dispatch) => {
                    assert!(
                        !self.down && !self.leaving,
                        "work for a target that takes none"
                    );
                    let closed = self.unloading && !is_once(dispatch.id);
                    assert!(!closed, "work for a version that is being unloaded");
                    self.oracles.entry(dispatch.id).or_default().starts += 1;
                    self.target.insert(dispatch.id, true);
                }
                AttemptStep::Abort(id) => {
                    let oracle = &self.oracles[&id];
                    let once = is_once(id);
                    assert!(!once || oracle.cancelled, "{id} was aborted unasked");
                    self.target.remove(&id);
                }
                AttemptStep::Resume(id) => {
                    if let Some(reads) = self.target.get_mut(&id) {
                        assert!(!*reads, "{id} is read from already");
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
        let steps = self.table.on_leaving(self.local(), leaving);
        self.apply(steps);
    }

    fn pass(&mut self, millis: u32) {
        self.now = self.now + Duration::from_millis(millis.into());
        let steps = self.table.on_tick(self.local());
        self.apply(steps);
    }

    fn restart(&mut self) {
        self.life += 1;
        self.born = self.now;
        self.table = table(Time(0), self.life);
        self.readers.clear();
        let lost: BTreeSet<AttemptId> = self.target.keys().copied().collect();
        self.target.clear();
        for id in lost {
            // Its work at the target may have been done.
            self.oracles.entry(id).or_default().ran = true;
        }
        self.down = false;
        self.leaving = false;
        self.unloading = false;
    }
}

/// Returns the attempt that a number stands for.
fn id(n: u8) -> AttemptId {
    attempt(u128::from(n % 5), 1 + u32::from(n / 5 % 2))
}

/// Returns whether an attempt may run once.
fn is_once(id: AttemptId) -> bool {
    id.generation.0.is_multiple_of(2)
}

fn pick(n: u8, len: usize) -> Option<usize> {
    (len > 0).then(|| usize::from(n) % len)
}
