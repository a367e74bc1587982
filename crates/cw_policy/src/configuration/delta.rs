//! Deltas between snapshots.

use std::collections::BTreeSet;

use cw_types::RecordKey;
use cw_types::Revision;
use cw_types::Snapshot;
use cw_wire::ConfigDelta;
use snafu::Snafu;

/// A delta that does not start at the revision in force, so that the full snapshot is needed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the delta starts at revision {from}, and revision {have} is in force"))]
pub struct DeltaError {
    /// The revision at which the delta starts.
    pub from: Revision,
    /// The revision in force.
    pub have: Revision,
}

/// Returns the changes of `snapshot` since revision `from`.
///
/// `None` when the changes in the snapshot do not reach that far back, or `from` is later than the
/// snapshot: then the full snapshot is needed.
pub fn make_delta(snapshot: &Snapshot, from: Revision) -> Option<ConfigDelta> {
    let oldest = snapshot.changes.first()?.revision;
    if from.next() < oldest || from > snapshot.revision {
        return None;
    }
    let changes: Vec<_> = snapshot
        .changes
        .iter()
        .filter(|change| change.revision > from)
        .cloned()
        .collect();
    let touched: BTreeSet<&RecordKey> = changes.iter().flat_map(|c| &c.touched).collect();
    let written = touched
        .iter()
        .filter_map(|key| snapshot.records.get(*key).cloned())
        .collect();
    let removed = touched
        .iter()
        .filter(|key| !snapshot.records.contains_key(**key))
        .map(|key| (*key).clone())
        .collect();
    Some(ConfigDelta {
        from,
        to: snapshot.revision,
        written,
        removed,
        changes,
    })
}

/// Returns `snapshot` with a delta applied.
///
/// # Errors
///
/// Fails when the delta does not start at the revision of `snapshot`.
pub fn apply_delta(snapshot: &Snapshot, delta: &ConfigDelta) -> Result<Snapshot, DeltaError> {
    if delta.from != snapshot.revision {
        return Err(DeltaError {
            from: delta.from,
            have: snapshot.revision,
        });
    }
    let mut next = snapshot.clone();
    next.revision = delta.to;
    for key in &delta.removed {
        next.records.remove(key);
    }
    for (revision, record) in &delta.written {
        let entry = (*revision, record.clone());
        next.records.insert(record.key(), entry);
    }
    next.changes.extend(delta.changes.iter().cloned());
    Ok(next.trimmed())
}
