//! The turns of one request in the queue of its entry.

use std::sync::Arc;
use std::time::Duration;

use cw_policy::Event;
use cw_policy::Plan;
use cw_policy::queue::Lane;
use cw_policy::queue::Waiter;
use cw_types::AttemptNo;
use cw_types::ByteSize;
use cw_types::Time;
use cw_wire::Frame;
use cw_wire::Prompt;
use cw_wire::Reason;
use cw_wire::Work;

use super::frontend::Frontend;
use super::job::Job;
use super::job::KeyUse;
use super::wait_queue::Turn;

/// How far apart the attempt numbers of two turns are: an agent remembers the attempts that it
/// refused, so a later turn must not use their numbers.
const STRIDE: u32 = 32;

/// The turns of one request in the queue of its entry.
pub(crate) struct WaitTurn {
    front: Arc<Frontend>,
    waiter: Waiter,
    /// Whether it may wait for a target at all.
    waits: bool,
    /// Whether it may be dispatched anew after targets refused it.
    repeats: bool,
    /// Whether targets are full, so that waiting for one may help.
    full: bool,
    queued: bool,
    turn: u32,
}

impl WaitTurn {
    /// Returns the turns of `job`, which begins now.
    pub(crate) fn new(front: Arc<Frontend>, job: &Job) -> Self {
        let now = front.clock.now();
        let plan = &job.plan;
        let waits = plan.running.is_none() && plan.prefix.is_empty();
        // A claimed key names its one attempt.
        let repeats = waits && !matches!(job.key, Some(KeyUse::Claimed(_)));
        let waiter = Waiter {
            id: job.generation,
            lane: Lane::from(&job.to),
            workspace: job.workspace.clone(),
            weight: job.weight,
            rank: job.rank,
            arrived: now,
            deadline: now + plan.patience,
            bytes: bytes(&job.work),
        };
        Self {
            front,
            waiter,
            waits,
            repeats,
            full: false,
            queued: false,
            turn: 0,
        }
    }

    /// Waits behind others that wait for the same targets, if there are any.
    pub(crate) async fn first(&mut self) -> Turn {
        match self.waits && self.front.queue.is_taken(&self.waiter.lane) {
            true => self.wait().await,
            false => Turn::Start,
        }
    }

    /// Learns from a frame whether the target was full. One that is leaving or down will not have
    /// room after a wait.
    pub(crate) fn learn(&mut self, event: &Event) {
        if let Event::Frame {
            frame:
                Frame::NotRun {
                    reason: Reason::Busy,
                    ..
                },
            ..
        } = event
        {
            self.full = true;
        }
    }

    /// Records that all targets have asked for patience.
    pub(crate) fn set_full(&mut self) {
        self.full = true;
    }

    /// Returns whether there may be a turn after all targets have refused the request.
    pub(crate) fn has_next(&self) -> bool {
        self.repeats && self.full
    }

    /// Waits for a turn after all targets have refused the request.
    pub(crate) async fn next(&mut self) -> Turn {
        self.turn += 1;
        self.full = false;
        self.wait().await
    }

    /// Returns the plan of this turn.
    pub(crate) fn plan(&self, plan: &Plan) -> Plan {
        let mut plan = plan.clone();
        plan.next = AttemptNo(plan.next.0 + STRIDE * self.turn);
        plan
    }

    /// Returns how long the request may go on waiting for its first token.
    pub(crate) fn patience(&self, now: Time) -> Duration {
        now.until(self.waiter.deadline)
    }

    async fn wait(&mut self) -> Turn {
        let queue = &self.front.queue;
        let waiter = self.waiter.clone();
        match std::mem::replace(&mut self.queued, true) {
            false => queue.offer(waiter).await,
            true => queue.return_to(waiter).await,
        }
    }
}

/// Returns about how much memory a request takes while it waits.
fn bytes(work: &Work) -> ByteSize {
    let length = match work {
        Work::Call(call) => call.body.len(),
        Work::Generate(work) => match &work.prompt {
            Prompt::Text(text) => text.len(),
            Prompt::Ids(ids) => std::mem::size_of_val(ids.as_slice()),
            Prompt::Chat(messages) => messages.iter().map(|message| message.content.len()).sum(),
        },
    };
    ByteSize(length as u64)
}
