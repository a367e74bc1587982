//! The entry, which takes callers' requests.

use std::net::SocketAddr;

use crate::EntrySettings;
use crate::StartError;
use crate::Supervisor;

/// The entry, which takes callers' requests.
#[derive(Debug)]
pub struct Entry;

/// A running entry.
#[derive(Debug)]
pub struct EntryHandle {
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// Where it listens for other processes.
    pub peers: SocketAddr,
    /// Where it listens for operators.
    pub admin: SocketAddr,
    supervisor: Supervisor,
}

impl Entry {
    /// Starts an entry on the present runtime.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be listened on.
    pub async fn start(settings: EntrySettings) -> Result<EntryHandle, StartError> {
        Ok(EntryHandle {
            callers: settings.listen.callers,
            peers: settings.listen.peers,
            admin: settings.listen.admin,
            supervisor: Supervisor::new("entry"),
        })
    }
}

impl EntryHandle {
    /// Is not ready any more, and returns when all work in progress has ended.
    pub async fn drain(&self) {}

    /// Stops at once, as a killed process would.
    pub fn kill(&self) {
        self.supervisor.stop();
    }
}
