//! Which entries an agent reports to.

use cw_store::Host;
use cw_store::HostRole;
use cw_store::HostState;
use cw_types::RegionId;
use cw_types::TargetId;
use xxhash_rust::xxh3::xxh3_64;

/// To how many entries an agent reports.
const RELAYS: usize = 3;

/// Returns the relays of a target: live entries of its region, or of any region if it has none.
///
/// Rendezvous hashing moves few targets when an entry comes or goes.
pub(super) fn choose<'a>(hosts: &'a [Host], region: &RegionId, target: &TargetId) -> Vec<&'a Host> {
    let is_live = |host: &&Host| host.role == HostRole::Entry && host.state == HostState::Live;
    let mut entries: Vec<&Host> = hosts.iter().filter(is_live).collect();
    if entries.iter().any(|host| host.region == *region) {
        entries.retain(|host| host.region == *region);
    }
    entries.sort_by_key(|host| (weight(host, target), &host.host));
    entries.truncate(RELAYS);
    entries
}

fn weight(host: &Host, target: &TargetId) -> u64 {
    let key = format!("{}/{}", host.host, target);
    xxh3_64(key.as_bytes())
}
