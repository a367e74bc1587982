//! The decision on accepting a proposal.

use cw_types::Actor;
use cw_types::Change;
use cw_types::ChangeId;
use cw_types::HostId;
use cw_types::Operator;
use cw_types::OperatorRole;
use cw_types::RecordKey;
use cw_types::RecordKind;
use cw_types::Revision;
use cw_types::SchemaVersion;
use cw_types::Snapshot;
use snafu::Snafu;

use super::Breakage;
use super::Edit;
use super::Proposal;
use super::ProposalState;
use super::dry_run;
use super::proposal::last_touched;

/// The reason why a proposal is not accepted.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum Refusal {
    /// Another change wrote or removed a record since the proposal.
    #[snafu(display(
        "record {key} was changed at revision {revision} by {}",
        describe(other)
    ))]
    Conflict {
        /// The key of the record that changed since the proposal.
        key: RecordKey,
        /// The revision that changed it.
        revision: Revision,
        /// The other change, unless it has been trimmed from the snapshot.
        other: Option<ChangeId>,
    },
    /// The accepter is the proposer, and may not accept their own change.
    #[snafu(display("{accepter} proposed this change, so another person has to accept it"))]
    SamePerson {
        /// The operator who proposed the change and tried to accept it.
        accepter: Actor,
    },
    /// The accepter's role does not allow acceptance.
    #[snafu(display("{accepter} may not accept changes"))]
    Role {
        /// The operator whose role is too low.
        accepter: Actor,
    },
    /// The proposal was rejected before.
    #[snafu(display("the change was rejected by {by}"))]
    Rejected {
        /// The operator who rejected it.
        by: Actor,
    },
    /// The change would break something.
    #[snafu(display("the change would break: {}", join(breakages)))]
    Breaks {
        /// The faults that it would cause.
        breakages: Vec<Breakage>,
    },
    /// Live processes cannot read the schema version of a record.
    #[snafu(display("schema version {schema} of {key} cannot be read by {}", join(hosts)))]
    Unreadable {
        /// The key of the record that the proposal writes.
        key: RecordKey,
        /// Its schema version.
        schema: SchemaVersion,
        /// The hosts of those processes.
        hosts: Vec<HostId>,
    },
}

fn describe(other: &Option<ChangeId>) -> String {
    match other {
        Some(id) => format!("change {id}"),
        None => "a change no longer remembered".to_owned(),
    }
}

fn join<T: ToString>(items: &[T]) -> String {
    let texts: Vec<_> = items.iter().map(T::to_string).collect();
    texts.join(", ")
}

/// The schema versions that the live processes can read.
pub trait SchemaSupport {
    /// Returns the hosts of the live processes that cannot read a schema version of a record kind.
    fn unsupported_hosts(&self, kind: RecordKind, schema: SchemaVersion) -> Vec<HostId>;
}

/// The accepter, and the state against which a proposal is checked.
pub struct Acceptance<'a> {
    /// The operator who accepts the proposal, to be recorded in the change.
    pub accepter: &'a Actor,
    /// The accepter's operator record.
    pub operator: &'a Operator,
    /// The current time, in seconds since the Unix epoch.
    pub at: u64,
    /// The schema versions that the live processes can read.
    pub readers: &'a dyn SchemaSupport,
    /// The faults that the change would cause to what is in use, such as live generations pinned to
    /// a version.
    pub in_use: &'a [Breakage],
}

/// The decision on accepting a proposal.
#[derive(Clone, Debug, PartialEq)]
pub enum AcceptDecision {
    /// Replace the stored snapshot by this one, by compare-and-swap.
    Write(Box<Snapshot>),
    /// The change was accepted before.
    AlreadyAccepted(Change),
    /// The change is not accepted.
    Refused(Refusal),
}

/// Decides on accepting a proposal on top of `snapshot`.
pub fn accept(snapshot: &Snapshot, proposal: &Proposal, by: &Acceptance<'_>) -> AcceptDecision {
    let same = |change: &&Change| change.id == proposal.id;
    if let Some(change) = snapshot.changes.iter().find(same) {
        return AcceptDecision::AlreadyAccepted(change.clone());
    }
    if let Err(refusal) = check_proposal(snapshot, proposal, by) {
        return AcceptDecision::Refused(refusal);
    }
    let next = apply(snapshot, proposal, by);
    let mut breakages = dry_run(snapshot, &next);
    breakages.extend(by.in_use.iter().cloned());
    if !breakages.is_empty() {
        return AcceptDecision::Refused(Refusal::Breaks { breakages });
    }
    AcceptDecision::Write(Box::new(next))
}

fn check_proposal(
    snapshot: &Snapshot,
    proposal: &Proposal,
    by: &Acceptance<'_>,
) -> Result<(), Refusal> {
    check_accepter(proposal, by)?;
    for (key, base) in &proposal.base {
        let revision = last_touched(snapshot, key);
        if revision != *base {
            let other = snapshot.changes.iter().find(|c| c.revision == revision);
            return Err(Refusal::Conflict {
                key: key.clone(),
                revision,
                other: other.map(|change| change.id.clone()),
            });
        }
    }
    for edit in &proposal.edits {
        check_schema(edit, by)?;
    }
    Ok(())
}

fn check_accepter(proposal: &Proposal, by: &Acceptance<'_>) -> Result<(), Refusal> {
    let accepter = by.accepter.clone();
    if by.operator.role < OperatorRole::Accepter {
        return Err(Refusal::Role { accepter });
    }
    if let ProposalState::Rejected(by) = &proposal.state {
        return Err(Refusal::Rejected { by: by.clone() });
    }
    // Draining a target must not wait for a second person.
    let is_drain = |edit: &Edit| edit.key().kind == RecordKind::Drain;
    let may_self_approve = by.operator.self_approval || proposal.edits.iter().all(is_drain);
    if accepter == proposal.proposer && !may_self_approve {
        return Err(Refusal::SamePerson { accepter });
    }
    Ok(())
}

fn check_schema(edit: &Edit, by: &Acceptance<'_>) -> Result<(), Refusal> {
    let Edit::Put(record) = edit else {
        return Ok(());
    };
    let hosts = by.readers.unsupported_hosts(record.kind, record.schema);
    if hosts.is_empty() {
        return Ok(());
    }
    Err(Refusal::Unreadable {
        key: record.key(),
        schema: record.schema,
        hosts,
    })
}

fn apply(snapshot: &Snapshot, proposal: &Proposal, by: &Acceptance<'_>) -> Snapshot {
    let mut next = snapshot.clone();
    next.revision = snapshot.revision.next();
    for edit in &proposal.edits {
        match edit {
            Edit::Put(record) => {
                let entry = (next.revision, record.clone());
                next.records.insert(record.key(), entry);
            }
            Edit::Remove(key) => {
                next.records.remove(key);
            }
        }
    }
    next.changes.push(Change {
        id: proposal.id.clone(),
        revision: next.revision,
        proposer: proposal.proposer.clone(),
        accepter: by.accepter.clone(),
        touched: proposal.edits.iter().map(Edit::key).collect(),
        accepted_at: by.at,
    });
    next.trimmed()
}
