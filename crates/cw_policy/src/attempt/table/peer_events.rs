//! What entries ask.

use cw_types::AttemptId;
use cw_types::AttemptNo;
use cw_types::Ran;
use cw_types::Time;
use cw_types::TokenIndex;
use cw_wire::Ack;
use cw_wire::Attach;
use cw_wire::Cancel;
use cw_wire::Cancelled;
use cw_wire::Dispatch;
use cw_wire::Failure;
use cw_wire::Frame;
use cw_wire::NotRunReason;

use super::AttemptState;
use super::AttemptStep;
use super::AttemptTable;
use super::End;
use super::Reader;
use super::Stage;
use super::ticket;
use crate::AttemptAnswer;
use crate::Offer;

impl AttemptTable {
    /// Runs an attempt, or attaches to it if it is known.
    pub fn on_dispatch(
        &mut self,
        now: Time,
        dispatch: Dispatch,
    ) -> (AttemptAnswer, Vec<AttemptStep>) {
        let mut steps = Vec::new();
        let id = dispatch.id;
        let from = dispatch.from;
        if let Some(known) = self.attempts.get(&id) {
            let foreign = known
                .workspace
                .as_ref()
                .is_some_and(|w| *w != dispatch.workspace);
            let answer = match foreign {
                true => self.refuse(now, NotRunReason::Unknown),
                false => self.open(id, from),
            };
            return (answer, steps);
        }
        if !self.is_fresh(now, dispatch.stamp) {
            return (self.stale(now, &dispatch), steps);
        }
        if dispatch.repeat && from.0 > first_index(&dispatch) {
            // Another run's output must not be joined to what the entry has.
            return (self.forget(now, id, NotRunReason::Unknown), steps);
        }
        if let Some(reason) = self.gate.refusal(&dispatch.work) {
            return (self.forget(now, id, reason), steps);
        }
        match self.admission.offer(now, ticket(now, &dispatch)) {
            Offer::Busy { .. } => return (self.forget(now, id, NotRunReason::Busy), steps),
            Offer::Start => {
                self.insert(now, dispatch);
                self.start(now, id, &mut steps);
            }
            Offer::Wait { displaced } => {
                self.insert(now, dispatch);
                if let Some(other) = displaced {
                    self.end(now, other, End::NotRun(NotRunReason::Busy), &mut steps);
                }
                // A resumed attempt may take a slot that those before it may not.
                self.start_waiting(now, &mut steps);
            }
        }
        (self.open(id, from), steps)
    }

    /// Attaches to the attempt asked for, or to the newest of a generation, of the same workspace.
    pub fn on_attach(&mut self, now: Time, attach: &Attach) -> AttemptAnswer {
        match self.find(attach) {
            Some(id) => self.open(id, attach.from),
            None => self.refuse(now, NotRunReason::Unknown),
        }
    }

    /// Forgets output that the entry has.
    pub fn on_ack(&mut self, now: Time, ack: &Ack) -> Vec<AttemptStep> {
        let mut steps = Vec::new();
        if let Some(attempt) = self.attempts.get_mut(&ack.id) {
            let before = attempt.output.bytes();
            attempt.output.trim(ack.next.0);
            self.kept -= before - attempt.output.bytes();
            self.make_room(now, ack.id, &mut steps);
        }
        steps
    }

    /// Ends an attempt, also one that has not been seen and now never runs.
    pub fn on_cancel(&mut self, now: Time, cancel: &Cancel) -> (Cancelled, Vec<AttemptStep>) {
        let mut steps = Vec::new();
        let id = cancel.id;
        let Some(attempt) = self.attempts.get(&id) else {
            if !self.is_fresh(now, cancel.stamp) {
                return (Cancelled { ran: Ran::Unknown }, steps);
            }
            self.bury(now, id, NotRunReason::Cancelled);
            return (Cancelled { ran: Ran::No }, steps);
        };
        let ran = attempt.ran();
        if attempt.is_live() {
            self.cancel_live(now, id, &mut steps);
        }
        (Cancelled { ran }, steps)
    }

    /// Takes a live attempt back from its target or from the queue.
    pub(super) fn cancel_live(&mut self, now: Time, id: AttemptId, steps: &mut Vec<AttemptStep>) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let ran = attempt.ran();
        attempt.delivered = true;
        let failure = Failure::Cancelled;
        let end = match attempt.stage {
            Stage::Waiting(_) => End::NotRun(NotRunReason::Cancelled),
            _ => End::Failed { failure, ran },
        };
        if attempt.stage == Stage::Running {
            steps.push(AttemptStep::Abort(id));
        }
        self.end(now, id, end, steps);
        self.clear_output(id);
    }

    fn insert(&mut self, now: Time, dispatch: Dispatch) {
        self.live.insert(dispatch.id);
        let id = dispatch.id;
        self.attempts.insert(id, AttemptState::new(now, dispatch));
    }

    fn open(&mut self, id: AttemptId, from: TokenIndex) -> AttemptAnswer {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.readers += 1;
            self.readers += 1;
        }
        AttemptAnswer::Read(Reader::new(id, from.0))
    }

    /// Returns the attempt asked for, or the newest that has output, or the newest of all.
    fn find(&self, attach: &Attach) -> Option<AttemptId> {
        let id = |attempt| AttemptId {
            generation: attach.generation,
            attempt,
        };
        let own = |(_, attempt): &(&AttemptId, &AttemptState)| {
            attempt.workspace.as_ref() == Some(&attach.workspace)
        };
        let range = match attach.attempt {
            Some(attempt) => id(attempt)..=id(attempt),
            None => id(AttemptNo(0))..=id(AttemptNo(u32::MAX)),
        };
        let mut found = self.attempts.range(range).rev().filter(own);
        let newest = found.clone().next();
        found
            .find(|(_, attempt)| attempt.has_output())
            .or(newest)
            .map(|(id, _)| *id)
    }

    // ---- Refusals

    fn refuse(&self, now: Time, reason: NotRunReason) -> AttemptAnswer {
        AttemptAnswer::Frame(Box::new(self.not_run(now, reason)))
    }

    /// Refuses an attempt for good: a refusal is a promise that it never runs here.
    fn forget(&mut self, now: Time, id: AttemptId, reason: NotRunReason) -> AttemptAnswer {
        self.bury(now, id, reason);
        self.refuse(now, reason)
    }

    fn bury(&mut self, now: Time, id: AttemptId, reason: NotRunReason) {
        self.attempts
            .insert(id, AttemptState::tombstone(now, reason));
        self.ended.push_back((now, id));
    }

    /// Answers a dispatch that may be older than what is remembered.
    fn stale(&self, now: Time, dispatch: &Dispatch) -> AttemptAnswer {
        if !dispatch.repeat {
            // It was never sent before, so this is the only time that it could have run.
            return self.refuse(now, NotRunReason::Unknown);
        }
        AttemptAnswer::Frame(Box::new(Frame::Failed {
            failure: Failure::TargetLost,
            ran: Ran::Unknown,
            next: TokenIndex(first_index(dispatch)),
        }))
    }
}

fn first_index(dispatch: &Dispatch) -> u64 {
    match &dispatch.work {
        cw_wire::Work::Generate(work) => work.so_far.len() as u64,
        cw_wire::Work::Call(_) => 0,
    }
}
