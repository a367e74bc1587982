//! Applies the records of targets from the directory.

use bytes::Bytes;
use cw_policy::forward::DirectoryUpdateStep;
use cw_policy::forward::Listing;
use cw_store::StoreRevision;
use cw_types::TargetId;
use cw_types::Time;
use cw_wire::DirectoryChange;
use cw_wire::DirectoryUpdate;
use log::info;
use log::warn;

use super::forward_context::ForwardContext;
use super::forward_context::ForwardState;

/// Applies a change of the targets, from the watch of any entry. `trusted` says whether a target
/// without a record is gone.
pub(super) fn apply_directory_change(
    context: &ForwardContext,
    now: Time,
    state: &mut ForwardState,
    change: &DirectoryChange,
    trusted: bool,
) {
    let Some(id) = target_id(context, &change.key) else {
        return;
    };
    match &change.value {
        Some(value) => apply_listing(context, now, state, &id, value, change.revision),
        None => {
            if state.fleet.apply_removal(now, &id, trusted) {
                info!(
                    target_id = id.as_str(),
                    revision = change.revision,
                    trusted = u64::from(trusted);
                    "the record of a target was deleted"
                );
            }
        }
    }
    record_known_targets(context, state);
}

/// Applies the record of a target.
pub(super) fn apply_listing(
    context: &ForwardContext,
    now: Time,
    state: &mut ForwardState,
    id: &TargetId,
    value: &[u8],
    revision: i64,
) {
    match context.dialect.parse_listing(id.as_str(), value) {
        Ok(listing) if state.fleet.lacks_start(&listing) => {
            warn!(
                target_id = id.as_str(),
                revision = revision;
                "the record of a target lacks the time of its start; it counts as removed"
            );
            state.fleet.record_removal(now, id);
        }
        Ok(listing) => {
            record_restart(context, now, state, &listing);
            if state.fleet.record_listing(now, listing.clone()) {
                // An outdated record, which does not revert that a target is leaving, is not passed
                // on either.
                if state.fleet.listing(id) == Some(&listing) {
                    let value = Bytes::copy_from_slice(value);
                    state.listings.insert(id.clone(), value);
                }
                info!(
                    target_id = id.as_str(),
                    service = listing.service.as_str(),
                    zone = listing.zone.as_str(),
                    address = listing.address.to_string(),
                    leaving = u64::from(listing.leaving),
                    revision = revision;
                    "the record of a target has changed"
                );
            }
        }
        Err(error) => {
            warn!(target_id = id.as_str(); "failed to parse the record of a target: {error}");
            state.fleet.record_removal(now, id);
        }
    }
}

/// Records a crash if a record shows that a target has started again under its id, so that the
/// incarnation before has ended.
fn record_restart(context: &ForwardContext, now: Time, state: &mut ForwardState, new: &Listing) {
    let Some(known) = state.fleet.listing(&new.id) else {
        return;
    };
    if known.leaving || known.incarnation() >= new.incarnation() {
        return;
    }
    let (incarnation, zone) = (known.incarnation(), known.zone.clone());
    let crashes = &mut state.crashes;
    let suspects = crashes.record_crash(now, &new.id, incarnation, &zone);
    if !suspects.is_empty() {
        context.peer_update.notify_one();
        context.crashes_changed.notify_one();
        info!(
            target_id = new.id.as_str(),
            incarnation = incarnation.0,
            suspects = suspects.len(),
            found_by = "the directory";
            "a target crashed with requests in flight"
        );
    }
}

/// Whether the changes of an update could be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AppliedUpdate {
    /// All that it has are known now.
    Complete,
    /// Some before it are missing.
    Missing,
}

/// Applies the changes of the directory that another entry sends.
pub(super) fn apply_directory_update(
    context: &ForwardContext,
    now: Time,
    state: &mut ForwardState,
    update: &DirectoryUpdate,
) -> AppliedUpdate {
    state.record_era(now, StoreRevision(update.known.max(update.newest)));
    match state.directory_log.receive(now, update) {
        DirectoryUpdateStep::Nothing => AppliedUpdate::Complete,
        DirectoryUpdateStep::Missing => AppliedUpdate::Missing,
        DirectoryUpdateStep::Apply(changes) => {
            // The other entry knew that these targets had left when it sent the changes, or this one knows it.
            let trusted = update.trusted || state.fleet.is_trusted(now);
            for change in &changes {
                apply_directory_change(context, now, state, change, trusted);
            }
            AppliedUpdate::Complete
        }
    }
}

/// Returns the target that a key of the directory is for.
pub(super) fn target_id(context: &ForwardContext, key: &str) -> Option<TargetId> {
    key.strip_prefix(context.dialect.targets_prefix())?
        .parse()
        .ok()
}

/// Sets the gauge of the number of targets after changes, and signals that versions have come or gone.
pub(super) fn record_known_targets(context: &ForwardContext, state: &mut ForwardState) {
    let targets = i64::try_from(state.fleet.len()).unwrap_or(i64::MAX);
    context.metrics.targets.set(targets);
    let changes = state.fleet.software_changes();
    if std::mem::replace(&mut state.software_changes, changes) != changes {
        context.software_changed.notify_one();
    }
}
