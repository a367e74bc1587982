//! Proposed changes.

use std::collections::BTreeMap;

use cw_macro::data;
use cw_types::Actor;
use cw_types::ChangeId;
use cw_types::Record;
use cw_types::RecordKey;
use cw_types::Revision;
use cw_types::Snapshot;

/// One edit of a change.
#[data]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Writes a record.
    Put(Record),
    /// Removes a record.
    Remove(RecordKey),
}

impl Edit {
    /// Returns the key of the record that the edit writes or removes.
    pub fn key(&self) -> RecordKey {
        match self {
            Edit::Put(record) => record.key(),
            Edit::Remove(key) => key.clone(),
        }
    }
}

/// The state of a proposal.
#[data(Default, Eq)]
#[serde(rename_all = "snake_case")]
pub enum ProposalState {
    /// The proposal awaits a decision.
    #[default]
    Pending,
    /// An operator has begun to accept the proposal. It can be accepted again, but not rejected.
    Accepting(Actor),
    /// An operator rejected the proposal.
    Rejected(Actor),
}

/// A proposed change, which is kept after the decision as the history of its records.
#[data]
pub struct Proposal {
    /// The change's id.
    pub id: ChangeId,
    /// The operator who proposes the change.
    pub proposer: Actor,
    /// The time of the proposal, in seconds since the Unix epoch.
    pub proposed_at: u64,
    /// The reason for the change, for other operators.
    #[serde(default)]
    pub reason: String,
    /// The edits, applied together.
    pub edits: Vec<Edit>,
    /// The revision that last wrote or removed each record, as of the proposal.
    pub base: BTreeMap<RecordKey, Revision>,
    /// The state of the proposal.
    #[serde(default)]
    pub state: ProposalState,
}

impl Proposal {
    /// Returns a pending proposal based on `snapshot`.
    pub fn new(
        id: ChangeId,
        proposer: Actor,
        proposed_at: u64,
        edits: Vec<Edit>,
        snapshot: &Snapshot,
    ) -> Self {
        let base_of = |edit: &Edit| {
            let key = edit.key();
            let revision = last_touched(snapshot, &key);
            (key, revision)
        };
        Self {
            base: edits.iter().map(base_of).collect(),
            id,
            proposer,
            proposed_at,
            reason: String::new(),
            edits,
            state: ProposalState::Pending,
        }
    }

    /// Returns whether `other` repeats this proposal, whatever its reason, time and state.
    pub fn is_repeat(&self, other: &Self) -> bool {
        self.id == other.id && self.proposer == other.proposer && self.edits == other.edits
    }

    /// Returns whether the proposal is decided and no change in the history of `snapshot` needs it,
    /// so that it only takes up space.
    pub fn is_obsolete(&self, snapshot: &Snapshot) -> bool {
        let is_decided = self.state != ProposalState::Pending;
        let is_in_history = snapshot.changes.iter().any(|change| change.id == self.id);
        let oldest = snapshot.changes.first();
        is_decided
            && !is_in_history
            && oldest.is_some_and(|oldest| self.proposed_at < oldest.accepted_at)
    }

    /// Sets the reason.
    #[must_use]
    pub fn with_reason(mut self, reason: &str) -> Self {
        self.reason = reason.to_owned();
        self
    }
}

/// Returns the revision that last wrote or removed a record, or the default revision if none did.
pub(super) fn last_touched(snapshot: &Snapshot, key: &RecordKey) -> Revision {
    let written = snapshot.records.get(key).map(|(revision, _)| *revision);
    let removed = snapshot
        .changes
        .iter()
        .rev()
        .find(|change| change.touched.contains(key))
        .map(|change| change.revision);
    written.max(removed).unwrap_or_default()
}
