//! The choice of the entries that watch the key-value service.

use cw_types::HostId;
use cw_types::ZoneId;
use xxhash_rust::xxh3::xxh3_64;

use crate::EntryPeer;

/// The number of watchers in each availability zone.
const WATCHERS_PER_ZONE: usize = 2;

/// Returns whether the entry on `host` in `zone` is one of the watchers of its availability zone.
///
/// The number of watchers is constant, so the load on the service does not grow with the number of
/// entries.
pub fn is_watcher(host: &HostId, zone: &ZoneId, entries: &[EntryPeer]) -> bool {
    let rank = |host: &HostId| xxh3_64(host.as_str().as_bytes());
    let own = rank(host);
    let higher = entries
        .iter()
        .filter(|entry| entry.zone == *zone && entry.host != *host)
        .filter(|entry| rank(&entry.host) > own);
    higher.count() < WATCHERS_PER_ZONE
}
