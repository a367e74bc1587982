//! The snapshot of all accepted records.

use std::collections::BTreeMap;

use cw_macro::data;

use crate::Actor;
use crate::ChangeId;
use crate::Record;
use crate::RecordKey;
use crate::Revision;

/// The maximum number of changes that a snapshot keeps.
const MAX_CHANGES: usize = 512;

/// An accepted change, which the snapshot keeps as an audit entry.
#[data(Eq)]
pub struct Change {
    /// The id, which makes the acceptance of the change idempotent.
    pub id: ChangeId,
    /// The revision that the change created.
    pub revision: Revision,
    /// The operator who proposed the change.
    pub proposer: Actor,
    /// The operator who accepted the change.
    pub accepter: Actor,
    /// The keys of the records that the change wrote or removed.
    pub touched: Vec<RecordKey>,
    /// The time of acceptance, in seconds since the Unix epoch.
    pub accepted_at: u64,
}

/// All accepted records at one revision. The whole snapshot is stored under a single configuration
/// key.
#[data(Default)]
pub struct Snapshot {
    /// The revision, which increases by one with each accepted change.
    pub revision: Revision,
    /// The records, each with the revision that last wrote it.
    pub records: BTreeMap<RecordKey, (Revision, Record)>,
    /// The most recent changes, oldest first; [`Snapshot::trimmed`] limits them.
    pub changes: Vec<Change>,
}

impl Snapshot {
    /// Removes the oldest changes beyond the maximum that a snapshot keeps.
    #[must_use]
    pub fn trimmed(mut self) -> Self {
        let surplus = self.changes.len().saturating_sub(MAX_CHANGES);
        self.changes.drain(..surplus);
        self
    }
}
