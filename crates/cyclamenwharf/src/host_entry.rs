//! What the host list says, as entries and agents use it.

use cw_policy::EntryPeer;
use cw_policy::membership::HostStatus;
use cw_store::Host;
use cw_store::HostRole;
use cw_store::HostState;

/// Returns what the list says of a host.
pub(crate) fn mark(host: &Host) -> HostStatus {
    match host.state {
        HostState::Live => HostStatus::Live,
        HostState::Leaving => HostStatus::Leaving,
    }
}

/// Returns a live entry.
pub(crate) fn to_entry(host: &Host) -> Option<EntryPeer> {
    let live = host.role == HostRole::Entry && host.state == HostState::Live;
    live.then(|| EntryPeer {
        host: host.host.clone(),
        zone: host.zone.clone(),
        region: host.region.clone(),
        peer_address: host.peers,
    })
}
