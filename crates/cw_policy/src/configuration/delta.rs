//! The part of a snapshot that changed.

use std::collections::BTreeSet;

use cw_types::RecordKey;
use cw_types::Revision;
use cw_types::Snapshot;
use cw_wire::ConfigDelta;
use snafu::Snafu;

/// A delta that cannot be applied; the whole snapshot is needed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the delta starts at revision {from}, and revision {have} is in force"))]
pub struct DeltaError {
    /// Where the delta starts.
    pub from: Revision,
    /// The revision in force.
    pub have: Revision,
}

/// Returns what changed in `snapshot` since revision `from`.
///
/// `None` when its changes do not reach that far back: then only the whole will do.
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
