//! Conversions between messages of the admin API and records.

use cw_policy::configuration::Edit;
use cw_policy::configuration::Proposal;
use cw_policy::configuration::ProposalState;
use cw_policy::configuration::RecordDiff;
use cw_types::Change;
use cw_types::Record;
use cw_types::RecordKey;
use cw_types::RecordKind;
use cw_types::SchemaVersion;
use cw_types::Snapshot;
use cw_types::current_schema;

use super::AdminErrorKind;
use super::ChangeMessage;
use super::DiffMessage;
use super::EditMessage;
use super::ErrorMessage;
use super::ProposalMessage;
use super::ProposalStatus;
use super::RecordMessage;

/// Parses text from a message, with [`AdminErrorKind::BadRequest`] as the error.
pub(super) fn parse<T>(text: &str) -> Result<T, ErrorMessage>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    text.parse()
        .map_err(|error| ErrorMessage::new(AdminErrorKind::BadRequest, error))
}

pub(super) fn to_edit(message: EditMessage) -> Result<Edit, ErrorMessage> {
    match message {
        EditMessage::Put(record) => to_record(record).map(Edit::Put),
        EditMessage::Remove(key) => parse(&key).map(Edit::Remove),
    }
}

fn to_record(message: RecordMessage) -> Result<Record, ErrorMessage> {
    let kind: RecordKind = parse(&message.kind)?;
    let key: RecordKey = parse(&format!("{kind}/{}", message.name))?;
    let schema = message.schema.map(SchemaVersion);
    Ok(Record {
        kind,
        name: key.name,
        schema: schema.unwrap_or_else(|| current_schema(kind)),
        body: message.body.into_iter().collect(),
    })
}

pub(super) fn from_record(record: &Record) -> RecordMessage {
    RecordMessage {
        kind: record.kind.to_string(),
        name: record.name.clone(),
        schema: Some(record.schema.0),
        body: record.body.clone().into_iter().collect(),
        revision: None,
    }
}

fn from_edit(edit: &Edit) -> EditMessage {
    match edit {
        Edit::Put(record) => EditMessage::Put(from_record(record)),
        Edit::Remove(key) => EditMessage::Remove(key.to_string()),
    }
}

pub(super) fn from_diff(diff: &RecordDiff) -> DiffMessage {
    DiffMessage {
        key: diff.key.to_string(),
        before: diff.before.as_ref().map(from_record),
        after: diff.after.as_ref().map(from_record),
    }
}

pub(super) fn from_change(change: &Change) -> ChangeMessage {
    ChangeMessage {
        id: change.id.to_string(),
        revision: change.revision.0,
        proposer: change.proposer.to_string(),
        accepter: change.accepter.to_string(),
        touched: change.touched.iter().map(RecordKey::to_string).collect(),
        accepted_at: change.accepted_at,
    }
}

/// Returns the message of a proposal. The snapshot decides whether the proposal is accepted.
pub(super) fn from_proposal(proposal: &Proposal, snapshot: &Snapshot) -> ProposalMessage {
    let accepted = snapshot.changes.iter().find(|c| c.id == proposal.id);
    let (status, decided_by) = match (accepted, &proposal.state) {
        (Some(change), _) => (ProposalStatus::Accepted, Some(&change.accepter)),
        (None, ProposalState::Pending) => (ProposalStatus::Pending, None),
        (None, ProposalState::Accepting(by)) => (ProposalStatus::Accepting, Some(by)),
        (None, ProposalState::Rejected(by)) => (ProposalStatus::Rejected, Some(by)),
    };
    ProposalMessage {
        id: proposal.id.to_string(),
        proposer: proposal.proposer.to_string(),
        proposed_at: proposal.proposed_at,
        reason: proposal.reason.clone(),
        status,
        decided_by: decided_by.map(ToString::to_string),
        edits: proposal.edits.iter().map(from_edit).collect(),
    }
}
