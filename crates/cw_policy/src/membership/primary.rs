//! Which of a target's relays passes its loads on.

use cw_types::HostId;
use cw_types::RegionId;
use cw_types::TargetId;
use xxhash_rust::xxh3::xxh3_64;

use crate::EntryPeer;

/// Returns the entry that the agent of `target` names first among its relays: the one of its
/// region, or of any where the region has none, with the lowest hash.
pub fn primary_relay<'a>(
    target: &TargetId,
    region: &RegionId,
    entries: &'a [EntryPeer],
) -> Option<&'a HostId> {
    let near = |entry: &&EntryPeer| entry.region == *region;
    let weight = |entry: &&EntryPeer| {
        let key = format!("{}/{target}", entry.host);
        (xxh3_64(key.as_bytes()), entry.host.clone())
    };
    let own = entries.iter().filter(near).min_by_key(weight);
    own.or_else(|| entries.iter().min_by_key(weight))
        .map(|entry| &entry.host)
}
