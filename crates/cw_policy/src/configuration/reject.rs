//! The rejection of a proposal.

use cw_types::Actor;
use cw_types::Snapshot;

use super::Proposal;
use super::ProposalState;

/// The decision on a rejection.
#[derive(Clone, Debug, PartialEq)]
pub enum RejectDecision {
    /// The proposal that is to replace the present one by compare-and-swap.
    Write(Box<Proposal>),
    /// The same operator rejected it before.
    AlreadyRejected,
    /// Another operator rejected it before.
    RejectedBy(Actor),
    /// It is accepted, or may be at any moment.
    AcceptedBy(Actor),
}

/// Decides on the rejection of a proposal, at an entry with this snapshot in force.
///
/// The snapshot has the last word: a service that was restored from an older backup may hold the
/// proposal as it was before it was accepted.
pub fn reject(in_force: &Snapshot, proposal: &Proposal, by: &Actor) -> RejectDecision {
    let accepted = in_force.changes.iter().find(|c| c.id == proposal.id);
    if let Some(change) = accepted {
        return RejectDecision::AcceptedBy(change.accepter.clone());
    }
    match &proposal.state {
        ProposalState::Pending => RejectDecision::Write(Box::new(Proposal {
            state: ProposalState::Rejected(by.clone()),
            ..proposal.clone()
        })),
        ProposalState::Rejected(other) if other == by => RejectDecision::AlreadyRejected,
        ProposalState::Rejected(other) => RejectDecision::RejectedBy(other.clone()),
        ProposalState::Accepting(other) => RejectDecision::AcceptedBy(other.clone()),
    }
}
