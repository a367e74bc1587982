//! Which entries an agent reports to, and which of them passes its loads on.

use cw_types::HostId;
use cw_types::RegionId;
use cw_types::TargetId;
use xxhash_rust::xxh3::xxh3_64;

use crate::EntryPeer;

/// To how many entries an agent reports.
pub const RELAYS_PER_TARGET: usize = 3;

/// Returns the relays of a target, the first choice first: entries of its region, or of any where
/// the region has none.
///
/// Rendezvous hashing moves few targets when an entry comes or goes.
pub fn relays<'a>(
    target: &TargetId,
    region: &RegionId,
    entries: &'a [EntryPeer],
) -> Vec<&'a EntryPeer> {
    let mut ranked: Vec<&EntryPeer> = entries.iter().collect();
    if entries.iter().any(|entry| entry.region == *region) {
        ranked.retain(|entry| entry.region == *region);
    }
    ranked.sort_by_cached_key(|entry| weight(entry, target));
    ranked.truncate(RELAYS_PER_TARGET);
    ranked
}

/// Returns the relay that passes a target's loads on.
pub fn primary_relay<'a>(
    target: &TargetId,
    region: &RegionId,
    entries: &'a [EntryPeer],
) -> Option<&'a HostId> {
    let near = |entry: &&EntryPeer| entry.region == *region;
    let weight = |entry: &&EntryPeer| weight(entry, target);
    let own = entries.iter().filter(near).min_by_key(weight);
    own.or_else(|| entries.iter().min_by_key(weight))
        .map(|entry| &entry.host)
}

fn weight(entry: &EntryPeer, target: &TargetId) -> (u64, HostId) {
    let key = format!("{}/{target}", entry.host);
    (xxh3_64(key.as_bytes()), entry.host.clone())
}
