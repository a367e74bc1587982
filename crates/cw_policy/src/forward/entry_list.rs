//! The list of the other entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cw_types::HostId;
use cw_types::Time;

/// How long an unregistered entry stays listed after its last message. It is far longer than the
/// pauses between messages, so only the loss of many messages in a row removes the entry.
const MESSAGE_TTL: Duration = Duration::from_secs(5);

/// The other entries: those registered in the key-value service, and those that sent a message
/// recently.
///
/// The record of an entry expires when the key-value service rejects the entry's calls for long.
/// During that time the entry depends on the others most, so its messages keep it listed.
#[derive(Clone, Debug, Default)]
pub struct EntryList {
    registered: BTreeMap<HostId, SocketAddr>,
    last_messages: BTreeMap<HostId, (SocketAddr, Time)>,
}

impl EntryList {
    /// Replaces the entries that are registered in the key-value service.
    pub fn set_registered(&mut self, registered: BTreeMap<HostId, SocketAddr>) {
        self.registered = registered;
    }

    /// Records a message from another entry.
    pub fn record_message(&mut self, now: Time, host: &HostId, address: SocketAddr) {
        self.last_messages.insert(host.clone(), (address, now));
    }

    /// Returns the other entries with the addresses at which they receive messages.
    pub fn others(&self, now: Time) -> BTreeMap<HostId, SocketAddr> {
        let mut others: BTreeMap<HostId, SocketAddr> = self
            .last_messages
            .iter()
            .filter(|(_, (_, at))| now.since(*at) <= MESSAGE_TTL)
            .map(|(host, (address, _))| (host.clone(), *address))
            .collect();
        others.extend(self.registered.clone());
        others
    }
}
