//! Which entries watch the key-value service.

use cw_types::HostId;
use cw_types::ZoneId;
use xxhash_rust::xxh3::xxh3_64;

use crate::EntryPeer;

/// How many entries of each availability zone watch.
const WATCHERS: usize = 2;

/// Returns whether the entry on `host` in `zone` is one of the watchers of its availability zone.
///
/// The number of watchers does not grow with the number of entries.
pub fn is_watcher(host: &HostId, zone: &ZoneId, entries: &[EntryPeer]) -> bool {
    let rank = |host: &HostId| xxh3_64(host.as_str().as_bytes());
    let own = rank(host);
    let better = entries
        .iter()
        .filter(|entry| entry.zone == *zone && entry.host != *host)
        .filter(|entry| rank(&entry.host) > own);
    better.count() < WATCHERS
}
