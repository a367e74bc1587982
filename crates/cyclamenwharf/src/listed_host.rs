//! What the host list says, as entries and agents use it.

use cw_policy::EntryPeer;
use cw_policy::membership::HostMark;
use cw_store::Host;
use cw_store::HostRole;
use cw_store::HostState;

/// Returns what the list says of a host.
pub(crate) fn host_status(host: &Host) -> HostMark {
    match host.state {
        HostState::Live => HostMark::Live,
        HostState::Leaving => HostMark::Leaving,
    }
}

/// Returns a live entry.
pub(crate) fn live_entry(host: &Host) -> Option<EntryPeer> {
    let live = host.role == HostRole::Entry && host.state == HostState::Live;
    live.then(|| EntryPeer {
        host: host.host.clone(),
        zone: host.zone.clone(),
        region: host.region.clone(),
        peers: host.peers,
    })
}
