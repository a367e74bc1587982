//! The list of the other entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cw_types::HostId;
use cw_types::Time;

/// How long an entry that is not registered stays listed after its last message. It is far longer than
/// the pauses between messages, so only the loss of many messages in a row removes the entry.
const MESSAGE_TTL: Duration = Duration::from_secs(5);

/// The addition to [`MESSAGE_TTL`] for each entry, as the pauses between messages are longer with more
/// entries.
const MESSAGE_TTL_PER_ENTRY: Duration = Duration::from_millis(40);

/// How long a registered entry stays listed without a message. An entry that stopped without ending its
/// registration is in the registry for about as long.
const SILENT_TTL: Duration = Duration::from_secs(15);

/// The time between two reads of the registry while no other entry sends messages.
const ALONE_PERIOD: Duration = Duration::from_secs(3);

/// The time between two reads of the registry by one of few entries that hear each other.
const REFRESH_PERIOD: Duration = Duration::from_secs(30);

/// The time between two reads by any entries, so that their number does not grow with the entries.
const REFRESH_PERIOD_PER_ENTRY: Duration = Duration::from_secs(1);

/// The other entries: those registered in the key-value service, and those that sent a message
/// recently.
///
/// Entries that hear each other need no registry, so an entry reads it after its own registration, when
/// it hears nobody, and otherwise rarely. Of two entries, the one that registers last finds the other one
/// and sends it messages.
///
/// The record of an entry expires when the key-value service rejects the entry's calls for long.
/// During that time the entry depends on the others most, so its messages keep it listed.
#[derive(Clone, Debug, Default)]
pub struct EntryList {
    registered: BTreeMap<HostId, SocketAddr>,
    last_messages: BTreeMap<HostId, (SocketAddr, Time)>,
    /// When the registry was last read.
    read_at: Option<Time>,
}

impl EntryList {
    /// Replaces the entries that are registered in the key-value service.
    pub fn set_registered(&mut self, now: Time, registered: BTreeMap<HostId, SocketAddr>) {
        self.registered = registered;
        self.read_at = Some(now);
    }

    /// Records a message from another entry.
    pub fn record_message(&mut self, now: Time, host: &HostId, address: SocketAddr) {
        match self.last_messages.get_mut(host) {
            Some(known) => *known = (address, now),
            None => {
                self.last_messages.insert(host.clone(), (address, now));
            }
        }
    }

    /// Returns whether the registry has been read since the start.
    pub fn is_registry_read(&self) -> bool {
        self.read_at.is_some()
    }

    /// Returns whether the registry has to be read.
    pub fn needs_registry(&self, now: Time) -> bool {
        let Some(read_at) = self.read_at else {
            return true;
        };
        let entries = u32::try_from(self.len()).unwrap_or(u32::MAX);
        let period = match self.hears_any(now) {
            true => REFRESH_PERIOD.max(REFRESH_PERIOD_PER_ENTRY.saturating_mul(entries)),
            false => ALONE_PERIOD,
        };
        now.since(read_at) >= period
    }

    /// Drops the entries that have been silent for too long.
    pub fn expire(&mut self, now: Time) {
        let ttl = self.message_ttl();
        self.last_messages
            .retain(|_, (_, at)| now.since(*at) <= ttl.max(SILENT_TTL));
        let Some(read_at) = self.read_at else {
            return;
        };
        if now.since(read_at) > SILENT_TTL {
            let heard = &self.last_messages;
            self.registered.retain(|host, _| heard.contains_key(host));
        }
    }

    /// Returns the number of entries that are registered or have sent messages.
    pub fn len(&self) -> usize {
        self.registered.len().max(self.last_messages.len())
    }

    /// Returns whether no other entry is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the other entries with the addresses at which they receive messages.
    pub fn others(&self, now: Time) -> BTreeMap<HostId, SocketAddr> {
        let ttl = self.message_ttl();
        let mut others: BTreeMap<HostId, SocketAddr> = self
            .last_messages
            .iter()
            .filter(|(_, (_, at))| now.since(*at) <= ttl)
            .map(|(host, (address, _))| (host.clone(), *address))
            .collect();
        others.extend(self.registered.clone());
        others
    }

    fn hears_any(&self, now: Time) -> bool {
        let ttl = self.message_ttl();
        let mut messages = self.last_messages.values();
        messages.any(|(_, at)| now.since(*at) <= ttl)
    }

    fn message_ttl(&self) -> Duration {
        let entries = u32::try_from(self.len()).unwrap_or(u32::MAX);
        MESSAGE_TTL + MESSAGE_TTL_PER_ENTRY.saturating_mul(entries)
    }
}
