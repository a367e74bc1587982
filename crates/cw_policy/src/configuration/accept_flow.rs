//! The way of one acceptance through a key-value service that fails.

use cw_types::Change;
use cw_types::Revision;
use cw_types::Snapshot;

use super::AcceptDecision;
use super::Acceptance;
use super::Proposal;
use super::ProposalState;
use super::Refusal;
use super::accept;

/// How often a write that met another one, or lost its answer, is tried.
const ATTEMPTS: u32 = 8;

/// A call that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It had no effect.
    Unavailable,
    /// Its answer was lost: it may have had its effect, or may still have it.
    Lost,
}

/// What came of the last step.
#[derive(Clone, Debug, PartialEq)]
pub enum FlowEvent {
    /// The proposal, if there is one, and the snapshot were read.
    Read {
        /// The proposal.
        proposal: Option<Proposal>,
        /// The snapshot.
        snapshot: Box<Snapshot>,
        /// The highest revision that is known to be in force anywhere, asked after reading.
        held: Revision,
    },
    /// The write was made, or met another one.
    Written(bool),
    /// The call failed.
    Failed(Fault),
}

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum FlowStep {
    /// Read the proposal and the snapshot.
    Read,
    /// Write the proposal, if it is as it was read.
    MarkAccepting(Box<Proposal>),
    /// Write the snapshot, if it is as it was read.
    WriteSnapshot(Box<Snapshot>),
    /// Nothing more.
    End(FlowEnd),
}

/// How an acceptance ends.
#[derive(Clone, Debug, PartialEq)]
pub enum FlowEnd {
    /// The change is accepted.
    Accepted(Change),
    /// It is not, and will not be by this call.
    Refused(Refusal),
    /// There is no such proposal.
    NotFound,
    /// The service holds less than what is in force.
    Reverted {
        /// What the service holds.
        found: Revision,
        /// The highest revision in force anywhere.
        held: Revision,
    },
    /// It was not accepted, for want of the service.
    Unavailable,
    /// Nobody can tell.
    Unknown,
}

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    Reading,
    Marking(Box<Snapshot>),
    Writing(Box<Snapshot>),
}

/// The way of one acceptance through a key-value service that fails.
///
/// A lost answer is settled by reading the snapshot again: the change's id is in it if the write
/// took effect. The write is a compare-and-swap, so one that arrives late cannot take effect
/// after any other write has.
#[derive(Clone, Debug)]
pub struct AcceptFlow {
    stage: Stage,
    attempts: u32,
    /// The revision on top of which a write was made whose answer was lost.
    lost: Option<Revision>,
}

impl Default for AcceptFlow {
    fn default() -> Self {
        Self::new()
    }
}

impl AcceptFlow {
    /// Returns a flow that is to begin with [`FlowStep::Read`].
    pub fn new() -> Self {
        Self {
            stage: Stage::Reading,
            attempts: 0,
            lost: None,
        }
    }

    /// Takes what came of the last step.
    pub fn on_event(&mut self, event: FlowEvent, by: &Acceptance<'_>) -> FlowStep {
        match event {
            FlowEvent::Read {
                proposal,
                snapshot,
                held,
            } => self.on_read(proposal, &snapshot, held, by),
            FlowEvent::Written(true) => self.on_written(),
            FlowEvent::Written(false) => self.again(),
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
        if self.lost.is_some_and(|base| snapshot.revision > base) {
            // The lost write took effect, and then the change is there, or never will.
            self.lost = None;
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
            AcceptDecision::Write(next) => self.mark(proposal, next, by),
        }
    }

    /// Takes the proposal out of the reach of a rejection before the snapshot is written.
    fn mark(&mut self, proposal: Proposal, next: Box<Snapshot>, by: &Acceptance<'_>) -> FlowStep {
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

    fn on_failed(&mut self, fault: Fault) -> FlowStep {
        if let (Stage::Writing(next), Fault::Lost) = (&self.stage, fault) {
            self.lost = Some(Revision(next.revision.0.saturating_sub(1)));
        }
        self.again()
    }

    fn again(&mut self) -> FlowStep {
        self.stage = Stage::Reading;
        self.attempts += 1;
        if self.attempts < ATTEMPTS {
            return FlowStep::Read;
        }
        self.end(FlowEnd::Unavailable)
    }

    /// Ends, but not with a "no" while a lost write may still arrive.
    fn end(&mut self, end: FlowEnd) -> FlowStep {
        FlowStep::End(match self.lost {
            Some(_) => FlowEnd::Unknown,
            None => end,
        })
    }
}
