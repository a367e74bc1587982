//! The agent beside one target.

use std::net::SocketAddr;

use crate::AgentSettings;
use crate::StartError;
use crate::Supervisor;

/// The agent beside one target.
#[derive(Debug)]
pub struct Agent;

/// A running agent.
#[derive(Debug)]
pub struct AgentHandle {
    /// Where it listens for other processes.
    pub peers: SocketAddr,
    /// Where it listens for operators.
    pub admin: SocketAddr,
    supervisor: Supervisor,
}

impl Agent {
    /// Starts an agent on the present runtime.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be listened on.
    pub async fn start(settings: AgentSettings) -> Result<AgentHandle, StartError> {
        Ok(AgentHandle {
            peers: settings.listen.peers,
            admin: settings.listen.admin,
            supervisor: Supervisor::new("agent"),
        })
    }
}

impl AgentHandle {
    /// Takes no new work, and returns when all work in progress has ended.
    pub async fn drain(&self) {}

    /// Stops at once, as a killed process would.
    pub fn kill(&self) {
        self.supervisor.stop();
    }
}
