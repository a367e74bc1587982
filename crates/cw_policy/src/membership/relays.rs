//! The choice of the entries that relay the reports of a target.

use cw_types::HostId;
use cw_types::RegionId;
use cw_types::TargetId;
use xxhash_rust::xxh3::xxh3_64;

use crate::EntryPeer;

/// The number of entries to which an agent reports.
pub const RELAYS_PER_TARGET: usize = 3;

/// Returns the relays of a target, the primary one first: entries of its region, or of any region
/// if its own has none.
///
/// Rendezvous hashing reassigns few targets when an entry is added or removed.
pub fn relays<'a>(
    target: &TargetId,
    region: &RegionId,
    entries: &'a [EntryPeer],
) -> Vec<&'a EntryPeer> {
    let mut ranked: Vec<&EntryPeer> = entries.iter().collect();
    if entries.iter().any(|entry| entry.region == *region) {
        ranked.retain(|entry| entry.region == *region);
    }
    ranked.sort_by_cached_key(|entry| rank(entry, target));
    ranked.truncate(RELAYS_PER_TARGET);
    ranked
}

/// Returns the primary relay of a target, which always forwards its load updates.
///
/// `None` when there are no entries.
pub fn primary_relay<'a>(
    target: &TargetId,
    region: &RegionId,
    entries: &'a [EntryPeer],
) -> Option<&'a HostId> {
    let is_near = |entry: &&EntryPeer| entry.region == *region;
    let rank = |entry: &&EntryPeer| rank(entry, target);
    let own = entries.iter().filter(is_near).min_by_key(rank);
    own.or_else(|| entries.iter().min_by_key(rank))
        .map(|entry| &entry.host)
}

fn rank(entry: &EntryPeer, target: &TargetId) -> (u64, HostId) {
    let key = format!("{}/{target}", entry.host);
    (xxh3_64(key.as_bytes()), entry.host.clone())
}
