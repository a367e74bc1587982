//! The rejection of a proposal.

use cw_types::Actor;
use cw_types::Snapshot;

use super::Proposal;
use super::ProposalState;

/// The decision on a rejection.
#[derive(Clone, Debug, PartialEq)]
pub enum RejectDecision {
    /// Replace the stored proposal by this one, by compare-and-swap.
    Write(Box<Proposal>),
    /// The same operator rejected the proposal before.
    AlreadyRejected,
    /// Another operator rejected the proposal before.
    RejectedBy(Actor),
    /// This operator accepted the proposal, or is accepting it.
    AcceptedBy(Actor),
}

/// Decides on the rejection of a proposal at an entry with the snapshot `in_force`.
///
/// The snapshot takes precedence over the state of the proposal: a key-value service that was
/// restored from an older backup may hold the proposal as it was before its acceptance.
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
