//! Conversions from the hosts of the host list to the types of the policies.

use cw_policy::EntryPeer;
use cw_policy::membership::HostStatus;
use cw_store::Host;
use cw_store::HostRole;
use cw_store::HostState;

/// Returns the status of a host in the host list.
pub(crate) fn host_status(host: &Host) -> HostStatus {
    match host.state {
        HostState::Live => HostStatus::Live,
        HostState::Leaving => HostStatus::Leaving,
    }
}

/// Returns the host as a peer if it is an entry and live.
pub(crate) fn live_entry(host: &Host) -> Option<EntryPeer> {
    let live = host.role == HostRole::Entry && host.state == HostState::Live;
    live.then(|| EntryPeer {
        host: host.host.clone(),
        zone: host.zone.clone(),
        region: host.region.clone(),
        peer_address: host.peers,
    })
}
