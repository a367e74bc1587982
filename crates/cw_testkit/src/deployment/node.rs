//! The processes of a deployment.

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

/// An entry that can be killed and started again where it was.
#[derive(Debug)]
pub struct EntryNode {
    /// Its settings, with the addresses that it has.
    pub settings: EntrySettings,
    handle: Mutex<Option<EntryHandle>>,
}

impl EntryNode {
    /// Starts an entry.
    pub(super) async fn start(mut settings: EntrySettings) -> Result<Self, DeploymentError> {
        let handle = Entry::start(settings.clone())
            .await
            .map_err(DeploymentError::new)?;
        settings.listen.callers = handle.callers;
        settings.listen.peers = handle.peers;
        settings.listen.admin = handle.admin;
        Ok(Self {
            settings,
            handle: Mutex::new(Some(handle)),
        })
    }

    /// Returns where callers reach it.
    pub fn caller_address(&self) -> SocketAddr {
        self.settings.listen.callers
    }

    /// Returns the traces that it keeps, oldest first.
    pub async fn traces(&self) -> Vec<String> {
        let handle = self.handle.lock().await;
        handle.as_ref().map_or(Vec::new(), EntryHandle::traces)
    }

    /// Returns the targets that it takes to be alive.
    pub async fn live_targets(&self) -> BTreeSet<TargetId> {
        let handle = self.handle.lock().await;
        handle.as_ref().map_or(BTreeSet::new(), EntryHandle::alive)
    }

    /// Kills it.
    pub async fn kill(&self) {
        if let Some(handle) = self.handle.lock().await.take() {
            handle.kill();
        }
    }

    /// Lets it end all its work, and returns when it has.
    pub async fn drain(&self) {
        if let Some(handle) = self.handle.lock().await.as_ref() {
            handle.drain().await;
        }
    }

    /// Starts a killed one again.
    ///
    /// # Errors
    ///
    /// Fails when its ports were taken meanwhile.
    pub async fn restart(&self) -> Result<(), DeploymentError> {
        self.kill().await;
        let mut slot = self.handle.lock().await;
        let handle = Entry::start(self.settings.clone()).await;
        *slot = Some(handle.map_err(DeploymentError::new)?);
        Ok(())
    }
}

/// The agent of a target, which can be killed and started again where it was.
#[derive(Debug)]
pub struct TargetNode {
    /// Its settings, with the addresses that it has.
    pub settings: AgentSettings,
    handle: Mutex<Option<AgentHandle>>,
}

impl TargetNode {
    /// Starts an agent.
    pub(super) async fn start(mut settings: AgentSettings) -> Result<Self, DeploymentError> {
        let handle = Agent::start(settings.clone())
            .await
            .map_err(DeploymentError::new)?;
        settings.listen.peers = handle.peers;
        settings.listen.admin = handle.admin;
        Ok(Self {
            settings,
            handle: Mutex::new(Some(handle)),
        })
    }

    /// Kills it.
    pub async fn kill(&self) {
        if let Some(handle) = self.handle.lock().await.take() {
            handle.kill();
        }
    }

    /// Lets it end all its work, and returns when it has.
    pub async fn drain(&self) {
        if let Some(handle) = self.handle.lock().await.as_ref() {
            handle.drain().await;
        }
    }

    /// Starts a killed one again.
    ///
    /// # Errors
    ///
    /// Fails when its ports were taken meanwhile.
    pub async fn restart(&self) -> Result<(), DeploymentError> {
        self.kill().await;
        let mut slot = self.handle.lock().await;
        let handle = Agent::start(self.settings.clone()).await;
        *slot = Some(handle.map_err(DeploymentError::new)?);
        Ok(())
    }
}
