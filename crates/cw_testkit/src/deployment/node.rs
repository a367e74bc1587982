//! The entries and agents of a deployment, each of which can be restarted.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use cw_types::TargetId;
use cyclamenwharf::Agent;
use cyclamenwharf::AgentHandle;
use cyclamenwharf::AgentSettings;
use cyclamenwharf::Entry;
use cyclamenwharf::EntryHandle;
use cyclamenwharf::EntrySettings;
use tokio::sync::Mutex;

use super::DeploymentError;
use super::reserved_port::ReservedPort;

fn reserve() -> Result<ReservedPort, DeploymentError> {
    ReservedPort::new().map_err(DeploymentError::new)
}

/// An entry that can be killed and restarted on the same ports.
#[derive(Debug)]
pub struct EntryNode {
    /// The settings, with the addresses of the reserved ports.
    pub settings: EntrySettings,
    handle: Mutex<Option<EntryHandle>>,
    _ports: [ReservedPort; 3],
}

impl EntryNode {
    /// Starts an entry.
    pub(super) async fn start(mut settings: EntrySettings) -> Result<Self, DeploymentError> {
        let ports = [reserve()?, reserve()?, reserve()?];
        settings.listen.callers = ports[0].address;
        settings.listen.peers = ports[1].address;
        settings.listen.admin = ports[2].address;
        let handle = Entry::start(settings.clone())
            .await
            .map_err(DeploymentError::new)?;
        Ok(Self {
            settings,
            handle: Mutex::new(Some(handle)),
            _ports: ports,
        })
    }

    /// Returns the address that callers connect to.
    pub fn caller_address(&self) -> SocketAddr {
        self.settings.listen.callers
    }

    /// Returns the traces that the entry keeps, oldest first.
    pub async fn traces(&self) -> Vec<String> {
        let handle = self.handle.lock().await;
        handle.as_ref().map_or(Vec::new(), EntryHandle::traces)
    }

    /// Returns the targets that the entry considers alive.
    pub async fn live_targets(&self) -> BTreeSet<TargetId> {
        let handle = self.handle.lock().await;
        handle.as_ref().map_or(BTreeSet::new(), EntryHandle::alive)
    }

    /// Kills the process without draining it.
    pub async fn kill(&self) {
        if let Some(handle) = self.handle.lock().await.take() {
            handle.kill();
        }
    }

    /// Drains the process, and returns when all its work is complete.
    pub async fn drain(&self) {
        if let Some(handle) = self.handle.lock().await.as_ref() {
            handle.drain().await;
        }
    }

    /// Kills the process if it runs, and starts it on the same ports.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not start, for example because a port is in use.
    pub async fn restart(&self) -> Result<(), DeploymentError> {
        self.kill().await;
        let mut slot = self.handle.lock().await;
        let handle = Entry::start(self.settings.clone()).await;
        *slot = Some(handle.map_err(DeploymentError::new)?);
        Ok(())
    }
}

/// The agent of a target, which can be killed and restarted on the same ports.
#[derive(Debug)]
pub struct TargetNode {
    /// The settings, with the addresses of the reserved ports.
    pub settings: AgentSettings,
    handle: Mutex<Option<AgentHandle>>,
    _ports: [ReservedPort; 2],
}

impl TargetNode {
    /// Starts an agent.
    pub(super) async fn start(mut settings: AgentSettings) -> Result<Self, DeploymentError> {
        let ports = [reserve()?, reserve()?];
        settings.listen.peers = ports[0].address;
        settings.listen.admin = ports[1].address;
        let handle = Agent::start(settings.clone())
            .await
            .map_err(DeploymentError::new)?;
        Ok(Self {
            settings,
            handle: Mutex::new(Some(handle)),
            _ports: ports,
        })
    }

    /// Kills the process without draining it.
    pub async fn kill(&self) {
        if let Some(handle) = self.handle.lock().await.take() {
            handle.kill();
        }
    }

    /// Drains the process, and returns when all its work is complete.
    pub async fn drain(&self) {
        if let Some(handle) = self.handle.lock().await.as_ref() {
            handle.drain().await;
        }
    }

    /// Kills the process if it runs, and starts it on the same ports.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not start, for example because a port is in use.
    pub async fn restart(&self) -> Result<(), DeploymentError> {
        self.kill().await;
        let mut slot = self.handle.lock().await;
        let handle = Agent::start(self.settings.clone()).await;
        *slot = Some(handle.map_err(DeploymentError::new)?);
        Ok(())
    }
}
