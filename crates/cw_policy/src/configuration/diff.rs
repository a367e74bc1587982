//! What a proposal changes, for people.

use cw_macro::data;
use cw_types::Record;
use cw_types::RecordKey;
use cw_types::Snapshot;

use super::Edit;
use super::Proposal;

/// One record before and after a change.
#[data]
pub struct RecordDiff {
    /// The record.
    pub key: RecordKey,
    /// What is in force, if anything.
    pub before: Option<Record>,
    /// What would be in force, if anything.
    pub after: Option<Record>,
}

/// Returns what a proposal changes in `snapshot`.
pub fn diff(snapshot: &Snapshot, proposal: &Proposal) -> Vec<RecordDiff> {
    let one = |edit: &Edit| {
        let key = edit.key();
        RecordDiff {
            before: snapshot.records.get(&key).map(|(_, r)| r.clone()),
            after: match edit {
                Edit::Put(record) => Some(record.clone()),
                Edit::Remove(_) => None,
            },
            key,
        }
    };
    proposal.edits.iter().map(one).collect()
}
