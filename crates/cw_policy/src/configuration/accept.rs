//! The decision on a proposal.

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
use super::proposal::touched_at;

/// Why a proposal is not accepted.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum Refusal {
    /// Another change touched a record since the proposal.
    #[snafu(display(
        "record {key} was changed at revision {revision} by {}",
        describe(other)
    ))]
    Conflict {
        /// The record.
        key: RecordKey,
        /// The revision that changed it.
        revision: Revision,
        /// The other change, while it is remembered.
        other: Option<ChangeId>,
    },
    /// The accepter proposed it, and may not accept alone.
    #[snafu(display("{accepter} proposed this change, so another person has to accept it"))]
    SamePerson {
        /// The accepter.
        accepter: Actor,
    },
    /// The accepter lacks the role.
    #[snafu(display("{accepter} may not accept changes"))]
    Role {
        /// The accepter.
        accepter: Actor,
    },
    /// The proposal was rejected before.
    #[snafu(display("the change was rejected by {by}"))]
    Rejected {
        /// Who rejected it.
        by: Actor,
    },
    /// The change would break something.
    #[snafu(display("the change would break: {}", join(breakages)))]
    Breaks {
        /// What it would break.
        breakages: Vec<Breakage>,
    },
    /// Live processes could not read a record.
    #[snafu(display("schema version {schema} of {key} cannot be read by {}", join(hosts)))]
    Unreadable {
        /// The record.
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

/// What the live processes can read.
pub trait Readers {
    /// Returns the hosts of live processes that cannot read a version of a kind.
    fn unable(&self, kind: RecordKind, schema: SchemaVersion) -> Vec<HostId>;
}

/// Who accepts, and what is known while doing so.
pub struct Acceptance<'a> {
    /// The accepter.
    pub accepter: &'a Actor,
    /// What that operator may do.
    pub operator: &'a Operator,
    /// The present, in seconds since the Unix epoch.
    pub at: u64,
    /// What the live processes can read.
    pub readers: &'a dyn Readers,
    /// What in use stands against a change, such as live generations pinned to a version.
    pub in_use: &'a [Breakage],
}

/// The decision on a proposal.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The snapshot that is to replace the present one by compare-and-swap.
    Write(Box<Snapshot>),
    /// The change was accepted before.
    Already(Change),
    /// It is not accepted.
    Refused(Refusal),
}

/// Decides on a proposal.
pub fn accept(snapshot: &Snapshot, proposal: &Proposal, by: &Acceptance<'_>) -> Verdict {
    let same = |change: &&Change| change.id == proposal.id;
    if let Some(change) = snapshot.changes.iter().find(same) {
        return Verdict::Already(change.clone());
    }
    if let Err(refusal) = check(snapshot, proposal, by) {
        return Verdict::Refused(refusal);
    }
    let next = apply(snapshot, proposal, by);
    let mut breakages = dry_run(snapshot, &next);
    breakages.extend(by.in_use.iter().cloned());
    if !breakages.is_empty() {
        return Verdict::Refused(Refusal::Breaks { breakages });
    }
    Verdict::Write(Box::new(next))
}

fn check(snapshot: &Snapshot, proposal: &Proposal, by: &Acceptance<'_>) -> Result<(), Refusal> {
    check_person(proposal, by)?;
    for (key, base) in &proposal.base {
        let revision = touched_at(snapshot, key);
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

fn check_person(proposal: &Proposal, by: &Acceptance<'_>) -> Result<(), Refusal> {
    let accepter = by.accepter.clone();
    if by.operator.role < OperatorRole::Accepter {
        return Err(Refusal::Role { accepter });
    }
    if let ProposalState::Rejected(by) = &proposal.state {
        return Err(Refusal::Rejected { by: by.clone() });
    }
    // Taking a target out of work must not wait for a second person.
    let is_drain = |edit: &Edit| edit.key().kind == RecordKind::Drain;
    let alone = by.operator.self_approval || proposal.edits.iter().all(is_drain);
    if accepter == proposal.proposer && !alone {
        return Err(Refusal::SamePerson { accepter });
    }
    Ok(())
}

fn check_schema(edit: &Edit, by: &Acceptance<'_>) -> Result<(), Refusal> {
    let Edit::Put(record) = edit else {
        return Ok(());
    };
    let hosts = by.readers.unable(record.kind, record.schema);
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
