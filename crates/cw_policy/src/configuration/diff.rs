//! The differences that a proposal makes, for display.

use cw_macro::data;
use cw_types::Record;
use cw_types::RecordKey;
use cw_types::Snapshot;

use super::Edit;
use super::Proposal;

/// One record before and after a change.
#[data]
pub struct RecordDiff {
    /// The key that the record has before and after the change.
    pub key: RecordKey,
    /// The record in force, if any.
    pub before: Option<Record>,
    /// The record after the change, if any.
    pub after: Option<Record>,
}

/// Returns the records of `snapshot` that a proposal edits, before and after the change.
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
