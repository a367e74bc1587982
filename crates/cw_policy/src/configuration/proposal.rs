//! Changes that wait to be accepted.

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
    /// Returns the record that it touches.
    pub fn key(&self) -> RecordKey {
        match self {
            Edit::Put(record) => record.key(),
            Edit::Remove(key) => key.clone(),
        }
    }
}

/// How a proposal is.
#[data(Default, Eq)]
#[serde(rename_all = "snake_case")]
pub enum ProposalState {
    /// It waits.
    #[default]
    Pending,
    /// An accepter is at it. It may be accepted again, but not rejected.
    Accepting(Actor),
    /// It was rejected.
    Rejected(Actor),
}

/// A change that waits to be accepted; kept after that, as the history of its records.
#[data]
pub struct Proposal {
    /// The change's id.
    pub id: ChangeId,
    /// Who proposes it.
    pub proposer: Actor,
    /// When, in seconds since the Unix epoch.
    pub proposed_at: u64,
    /// Why, for other operators.
    #[serde(default)]
    pub reason: String,
    /// What it edits.
    pub edits: Vec<Edit>,
    /// The revision at which each record was last touched when it was proposed.
    pub base: BTreeMap<RecordKey, Revision>,
    /// How it is.
    #[serde(default)]
    pub state: ProposalState,
}

impl Proposal {
    /// Returns a proposal on top of `snapshot`.
    pub fn new(
        id: ChangeId,
        proposer: Actor,
        proposed_at: u64,
        edits: Vec<Edit>,
        snapshot: &Snapshot,
    ) -> Self {
        let base_of = |edit: &Edit| {
            let key = edit.key();
            let revision = touched_at(snapshot, &key);
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

    /// Returns whether another proposal is a repeat of this one.
    pub fn is_repeat(&self, other: &Self) -> bool {
        self.id == other.id && self.proposer == other.proposer && self.edits == other.edits
    }

    /// Says why.
    #[must_use]
    pub fn with_reason(mut self, reason: &str) -> Self {
        self.reason = reason.to_owned();
        self
    }
}

/// Returns the revision that last touched a record, also when it removed it.
pub(super) fn touched_at(snapshot: &Snapshot, key: &RecordKey) -> Revision {
    let written = snapshot.records.get(key).map(|(revision, _)| *revision);
    let removed = snapshot
        .changes
        .iter()
        .rev()
        .find(|change| change.touched.contains(key))
        .map(|change| change.revision);
    written.max(removed).unwrap_or_default()
}
