//! The steps that accept a proposal despite failures of the key-value service.

use cw_types::Change;
use cw_types::Revision;
use cw_types::Snapshot;

use super::AcceptDecision;
use super::Acceptance;
use super::Proposal;
use super::ProposalState;
use super::Refusal;
use super::accept;

/// The largest number of attempts, of which each starts by reading the proposal and the snapshot.
const MAX_ATTEMPTS: u32 = 8;

/// The way in which a call to the key-value service failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// The call had no effect.
    Unavailable,
    /// The response was lost: the call may have taken effect, or may still do so.
    Lost,
}

/// The result of the last step.
#[derive(Clone, Debug, PartialEq)]
pub enum FlowEvent {
    /// The proposal and the snapshot were read.
    Read {
        /// The proposal, if it exists.
        proposal: Option<Proposal>,
        /// The stored snapshot, against which the proposal is checked.
        snapshot: Box<Snapshot>,
        /// The highest revision known to be in force at any entry, queried after the read.
        held: Revision,
    },
    /// The compare-and-swap was executed; true if it took effect, false if it met another write.
    Written(bool),
    /// The call failed.
    Failed(StoreFault),
}

/// The next step of the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum FlowStep {
    /// Read the proposal and the snapshot.
    Read,
    /// Write the proposal if it has not changed since it was read.
    MarkAccepting(Box<Proposal>),
    /// Write the snapshot if it has not changed since it was read.
    WriteSnapshot(Box<Snapshot>),
    /// Stop, with this outcome.
    End(FlowEnd),
}

/// The outcome of an acceptance.
#[derive(Clone, Debug, PartialEq)]
pub enum FlowEnd {
    /// The change is accepted.
    Accepted(Change),
    /// The change is refused: this call has not accepted it, and will not.
    Refused(Refusal),
    /// The proposal does not exist.
    NotFound,
    /// The key-value service holds a lower revision than the one in force.
    Reverted {
        /// The revision of the service.
        found: Revision,
        /// The highest revision in force at any entry.
        held: Revision,
    },
    /// The change is not accepted, because the key-value service is unavailable.
    Unavailable,
    /// It is unknown whether the change is accepted, or will be by a delayed write.
    Unknown,
}

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    Reading,
    Marking(Box<Snapshot>),
    Writing(Box<Snapshot>),
}

/// The acceptance of one proposal, with retries after failures of the key-value service.
///
/// After a lost response the snapshot is read again: it contains the change's id if the write took
/// effect. The write is a compare-and-swap, so a delayed one cannot take effect after any other
/// write has.
#[derive(Clone, Debug)]
pub struct AcceptFlow {
    stage: Stage,
    attempts: u32,
    /// The base revision of a write whose response was lost.
    lost_base: Option<Revision>,
}

impl Default for AcceptFlow {
    fn default() -> Self {
        Self::new()
    }
}

impl AcceptFlow {
    /// Returns a flow whose first step is [`FlowStep::Read`].
    pub fn new() -> Self {
        Self {
            stage: Stage::Reading,
            attempts: 0,
            lost_base: None,
        }
    }

    /// Returns the next step, given the result of the last one.
    pub fn on_event(&mut self, event: FlowEvent, by: &Acceptance<'_>) -> FlowStep {
        match event {
            FlowEvent::Read {
                proposal,
                snapshot,
                held,
            } => self.on_read(proposal, &snapshot, held, by),
            FlowEvent::Written(true) => self.on_written(),
            FlowEvent::Written(false) => self.retry(),
            FlowEvent::Failed(fault) => self.on_failed(fault),
        }
    }

    fn on_read(
        &mut self,
        proposal: Option<Proposal>,
        snapshot: &Snapshot,
        held: Revision,
        by: &Acceptance<'_>,
    ) -> FlowStep {
        if self.lost_base.is_some_and(|base| snapshot.revision > base) {
            // The lost write took effect, in which case the snapshot contains the change, or the
            // compare-and-swap can no longer succeed.
            self.lost_base = None;
        }
        let Some(proposal) = proposal else {
            return self.end(FlowEnd::NotFound);
        };
        if snapshot.revision < held {
            let found = snapshot.revision;
            return self.end(FlowEnd::Reverted { found, held });
        }
        match accept(snapshot, &proposal, by) {
            AcceptDecision::AlreadyAccepted(change) => FlowStep::End(FlowEnd::Accepted(change)),
            AcceptDecision::Refused(refusal) => self.end(FlowEnd::Refused(refusal)),
            AcceptDecision::Write(next) => self.mark_accepting(proposal, next, by),
        }
    }

    /// Marks the proposal as being accepted, so that it cannot be rejected while the snapshot is
    /// written.
    fn mark_accepting(
        &mut self,
        proposal: Proposal,
        next: Box<Snapshot>,
        by: &Acceptance<'_>,
    ) -> FlowStep {
        if let ProposalState::Accepting(_) = proposal.state {
            self.stage = Stage::Writing(next.clone());
            return FlowStep::WriteSnapshot(next);
        }
        self.stage = Stage::Marking(next);
        FlowStep::MarkAccepting(Box::new(Proposal {
            state: ProposalState::Accepting(by.accepter.clone()),
            ..proposal
        }))
    }

    fn on_written(&mut self) -> FlowStep {
        match std::mem::replace(&mut self.stage, Stage::Reading) {
            Stage::Reading => FlowStep::Read,
            Stage::Marking(next) => {
                self.stage = Stage::Writing(next.clone());
                FlowStep::WriteSnapshot(next)
            }
            Stage::Writing(next) => match next.changes.into_iter().next_back() {
                Some(change) => FlowStep::End(FlowEnd::Accepted(change)),
                None => FlowStep::End(FlowEnd::Unknown),
            },
        }
    }

    fn on_failed(&mut self, fault: StoreFault) -> FlowStep {
        if let (Stage::Writing(next), StoreFault::Lost) = (&self.stage, fault) {
            self.lost_base = Some(Revision(next.revision.0.saturating_sub(1)));
        }
        self.retry()
    }

    fn retry(&mut self) -> FlowStep {
        self.stage = Stage::Reading;
        self.attempts += 1;
        if self.attempts < MAX_ATTEMPTS {
            return FlowStep::Read;
        }
        self.end(FlowEnd::Unavailable)
    }

    /// Ends the flow, with [`FlowEnd::Unknown`] while a lost write may still take effect.
    fn end(&mut self, end: FlowEnd) -> FlowStep {
        FlowStep::End(match self.lost_base {
            Some(_) => FlowEnd::Unknown,
            None => end,
        })
    }
}
