//! The handling of requests from entries.

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

use super::AttemptEnd;
use super::AttemptState;
use super::AttemptStep;
use super::AttemptTable;
use super::Reader;
use super::Stage;
use super::ticket;
use crate::AdmissionOutcome;
use crate::AttemptAnswer;

impl AttemptTable {
    /// Runs an attempt, or attaches to it if it is already known.
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
                false => self.open_reader(id, from),
            };
            return (answer, steps);
        }
        if !self.is_fresh(now, dispatch.stamp) {
            return (self.answer_stale(now, &dispatch), steps);
        }
        if dispatch.repeat && from.0 > first_index(&dispatch) {
            // The entry already has output of another run, which this run must not continue.
            return (
                self.refuse_permanently(now, id, NotRunReason::Unknown),
                steps,
            );
        }
        if let Some(reason) = self.readiness.refusal(&dispatch.work) {
            return (self.refuse_permanently(now, id, reason), steps);
        }
        match self.admit(now, dispatch, &mut steps) {
            true => (self.open_reader(id, from), steps),
            false => (self.refuse_permanently(now, id, NotRunReason::Busy), steps),
        }
    }

    /// Starts an attempt or lets it wait. Returns false if it is refused.
    fn admit(&mut self, now: Time, dispatch: Dispatch, steps: &mut Vec<AttemptStep>) -> bool {
        let id = dispatch.id;
        match self.admission.submit(now, ticket(now, &dispatch)) {
            AdmissionOutcome::Refuse { .. } => return false,
            AdmissionOutcome::Start => {
                self.insert(now, dispatch);
                self.start(now, id, steps);
            }
            AdmissionOutcome::Wait { displaced } => {
                self.insert(now, dispatch);
                if let Some(other) = displaced {
                    let end = AttemptEnd::NotRun(NotRunReason::Busy);
                    self.end(now, other, end, steps);
                }
                // A resumed attempt may take a reserved slot, which the attempts ahead of it may not.
                self.start_waiting(now, steps);
            }
        }
        true
    }

    /// Attaches to the requested attempt, or to the newest of a generation, within the workspace.
    pub fn on_attach(&mut self, now: Time, attach: &Attach) -> AttemptAnswer {
        match self.find(attach) {
            Some(id) => self.open_reader(id, attach.from),
            None => self.refuse(now, NotRunReason::Unknown),
        }
    }

    /// Discards output that the entry has acknowledged.
    pub fn on_ack(&mut self, now: Time, ack: &Ack) -> Vec<AttemptStep> {
        let mut steps = Vec::new();
        if let Some(attempt) = self.attempts.get_mut(&ack.id) {
            let before = attempt.output.bytes();
            attempt.output.trim(ack.next.0);
            self.output_bytes -= before - attempt.output.bytes();
            self.trim_output(now, ack.id, &mut steps);
        }
        steps
    }

    /// Cancels an attempt; one that has not arrived yet never runs.
    pub fn on_cancel(&mut self, now: Time, cancel: &Cancel) -> (Cancelled, Vec<AttemptStep>) {
        let mut steps = Vec::new();
        let id = cancel.id;
        let Some(attempt) = self.attempts.get(&id) else {
            if !self.is_fresh(now, cancel.stamp) {
                return (Cancelled { ran: Ran::Unknown }, steps);
            }
            self.insert_tombstone(now, id, NotRunReason::Cancelled);
            return (Cancelled { ran: Ran::No }, steps);
        };
        let ran = attempt.ran();
        if attempt.is_live() {
            self.cancel_live(now, id, &mut steps);
        }
        (Cancelled { ran }, steps)
    }

    /// Cancels a live attempt at the target or in the queue.
    pub(super) fn cancel_live(&mut self, now: Time, id: AttemptId, steps: &mut Vec<AttemptStep>) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let ran = attempt.ran();
        attempt.delivered = true;
        let failure = Failure::Cancelled;
        let end = match attempt.stage {
            Stage::Waiting(_) => AttemptEnd::NotRun(NotRunReason::Cancelled),
            _ => AttemptEnd::Failed { failure, ran },
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

    fn open_reader(&mut self, id: AttemptId, from: TokenIndex) -> AttemptAnswer {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.readers += 1;
            self.readers += 1;
        }
        AttemptAnswer::Read(Reader::new(id, from.0))
    }

    /// Returns the requested attempt, or else the newest with output, or else the newest.
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

    // ---- Refusals ----

    fn refuse(&self, now: Time, reason: NotRunReason) -> AttemptAnswer {
        AttemptAnswer::Frame(Box::new(self.not_run(now, reason)))
    }

    /// Refuses an attempt permanently: the entry relies on it never running here.
    fn refuse_permanently(
        &mut self,
        now: Time,
        id: AttemptId,
        reason: NotRunReason,
    ) -> AttemptAnswer {
        self.insert_tombstone(now, id, reason);
        self.refuse(now, reason)
    }

    fn insert_tombstone(&mut self, now: Time, id: AttemptId, reason: NotRunReason) {
        self.attempts
            .insert(id, AttemptState::tombstone(now, reason));
        self.ended.push_back((now, id));
    }

    /// Answers a dispatch whose attempt may already have left the table.
    fn answer_stale(&self, now: Time, dispatch: &Dispatch) -> AttemptAnswer {
        if !dispatch.repeat {
            // This is its first dispatch, so it cannot have run.
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
