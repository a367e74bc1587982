//! All accepted records, as one value.

use std::collections::BTreeMap;

use cw_macro::data;

use crate::Actor;
use crate::ChangeId;
use crate::Record;
use crate::RecordKey;
use crate::Revision;

/// How many changes a snapshot remembers.
const CHANGES_MAX: usize = 512;

/// One accepted change, kept with the snapshot as its audit entry.
#[data(Eq)]
pub struct Change {
    /// The change's id, which makes its acceptance idempotent.
    pub id: ChangeId,
    /// The revision that it made.
    pub revision: Revision,
    /// Who proposed it.
    pub proposer: Actor,
    /// Who accepted it.
    pub accepter: Actor,
    /// The records it touched.
    pub touched: Vec<RecordKey>,
    /// When it was accepted, in seconds since the Unix epoch.
    pub accepted_at: u64,
}

/// All accepted records at one revision: the value under the one configuration key.
#[data(Default)]
pub struct Snapshot {
    /// The revision, which rises by one with each accepted change.
    pub revision: Revision,
    /// The records and the revision at which each was last touched.
    pub records: BTreeMap<RecordKey, (Revision, Record)>,
    /// The most recent changes, oldest first.
    pub changes: Vec<Change>,
}

impl Snapshot {
    /// Forgets the oldest changes beyond those that are remembered.
    #[must_use]
    pub fn trimmed(mut self) -> Self {
        let surplus = self.changes.len().saturating_sub(CHANGES_MAX);
        self.changes.drain(..surplus);
        self
    }
}
