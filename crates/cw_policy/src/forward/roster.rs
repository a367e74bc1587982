//! Which other entries there are.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cw_types::HostId;
use cw_types::Time;

/// How long an entry that is not registered is taken to be there after its last message: far longer
/// than the pauses between messages, so that it takes many lost ones to forget it.
const HEARD_TTL: Duration = Duration::from_secs(5);

/// The other entries: those registered in the key-value service, and those heard of late.
///
/// The record of an entry lapses when the service turns the entry away for long, which is just when
/// it needs the others most.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    registered: BTreeMap<HostId, SocketAddr>,
    heard: BTreeMap<HostId, (SocketAddr, Time)>,
}

impl Roster {
    /// The service names these other entries.
    pub fn set_registered(&mut self, registered: BTreeMap<HostId, SocketAddr>) {
        self.registered = registered;
    }

    /// A message has come from another entry.
    pub fn record_message(&mut self, now: Time, host: &HostId, address: SocketAddr) {
        self.heard.insert(host.clone(), (address, now));
    }

    /// Returns the other entries, and where they hear this one.
    pub fn others(&self, now: Time) -> BTreeMap<HostId, SocketAddr> {
        let mut others: BTreeMap<HostId, SocketAddr> = self
            .heard
            .iter()
            .filter(|(_, (_, at))| now.since(*at) <= HEARD_TTL)
            .map(|(host, (address, _))| (host.clone(), *address))
            .collect();
        others.extend(self.registered.clone());
        others
    }
}
