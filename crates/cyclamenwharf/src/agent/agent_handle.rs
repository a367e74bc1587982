//! Starting and stopping an agent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use cw_policy::AdmissionLimits;
use cw_policy::AttemptLimits;
use cw_policy::AttemptTable;
use cw_store::HostList;
use cw_store::HttpHostList;
use dropshot::HttpServer;
use prometheus::Registry;
use tokio::sync::watch;

use super::admin_api;
use super::admin_server;
use super::agent_metrics::AgentMetrics;
use super::agent_state::AgentState;
use super::agent_state::lock;
use super::host_watch;
use super::monitor;
use super::peer_api::PeerApi;
use super::reporter;
use crate::AgentSettings;
use crate::Clock;
use crate::EngineSettings;
use crate::StartError;
use crate::Supervisor;
use crate::clock::new_incarnation;
use crate::stream_server::ServerLimits;
use crate::stream_server::StreamServer;

/// The period of the attempt table's timer, and of the checks while draining.
const TICK_PERIOD: Duration = Duration::from_millis(20);

type AdminServer = HttpServer<Arc<AgentState>>;

/// The limits on peers' connections. Entries are few and known, so they have no timeout.
const PEER_LIMITS: ServerLimits = ServerLimits {
    max_connections: 4096,
    header_timeout: None,
};

/// The agent of a single target.
#[derive(Debug)]
pub struct Agent;

/// A running agent.
pub struct AgentHandle {
    /// The address on which it listens for other processes.
    pub peers: SocketAddr,
    /// The address on which it listens for operators.
    pub admin: SocketAddr,
    state: Arc<AgentState>,
    servers: Mutex<Option<(StreamServer, AdminServer)>>,
}

impl std::fmt::Debug for AgentHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AgentHandle")
            .field("peers", &self.peers)
            .field("admin", &self.admin)
            .finish_non_exhaustive()
    }
}

impl Agent {
    /// Starts an agent on the current runtime.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub async fn start(settings: AgentSettings) -> Result<AgentHandle, StartError> {
        let list = HttpHostList::new(settings.platform.host_list);
        let state = Arc::new(new_state(settings)?);
        let peers = start_peers(&state)?;
        let admin = admin_server::start(
            state.settings.listen.admin,
            to_start_error(admin_api::api())?,
            &state,
        )?;
        start_tasks(&state, Arc::new(list));
        Ok(AgentHandle {
            peers: peers.local_addr(),
            admin: admin.local_addr(),
            state,
            servers: Mutex::new(Some((peers, admin))),
        })
    }
}

impl AgentHandle {
    /// Stops accepting work, and returns when all attempts have ended and their output was read.
    pub async fn drain(&self) {
        self.state.update_leaving(|leaving| leaving.draining = true);
        while !self.state.read_table(|table, _| table.is_drained()) {
            tokio::time::sleep(TICK_PERIOD).await;
        }
        let servers = lock(&self.servers).take();
        if let Some((peers, admin)) = servers {
            peers.close().await;
            // An error is ignored: no requests are left that it could affect.
            let _ = admin.close().await;
        }
        self.state.supervisor.stop();
    }

    /// Stops immediately, like a killed process.
    pub fn kill(&self) {
        self.state.supervisor.stop();
        // Dropped servers accept no connections; stopping the supervisor has aborted their streams.
        *lock(&self.servers) = None;
    }
}

fn start_peers(state: &Arc<AgentState>) -> Result<StreamServer, StartError> {
    let address = state.settings.listen.peers;
    let handler = Arc::new(PeerApi {
        state: Arc::clone(state),
    });
    StreamServer::start(address, PEER_LIMITS, handler).map_err(|error| StartError {
        message: format!("{address}: {error}"),
    })
}

fn new_state(settings: AgentSettings) -> Result<AgentState, StartError> {
    let table = AttemptTable::new(new_incarnation(), attempt_limits(&settings.engine));
    let metrics = AgentMetrics::new(Registry::new()).map_err(|error| StartError {
        message: error.to_string(),
    })?;
    let supervisor = Supervisor::new("agent");
    let clock = Clock::default();
    Ok(AgentState::new(settings, clock, supervisor, table, metrics))
}

fn attempt_limits(settings: &EngineSettings) -> AttemptLimits {
    AttemptLimits {
        admission: AdmissionLimits {
            max_running: settings.running,
            max_waiting: settings.waiting,
            queue_bytes: settings.kept,
            reserved_slots: settings.reserve,
            step_limit: settings.step,
        },
        output_bytes: settings.kept,
        retention: settings.retention,
        tombstone: settings.tombstone,
    }
}

fn to_start_error<T, E: std::fmt::Display>(result: Result<T, E>) -> Result<T, StartError> {
    result.map_err(|error| StartError {
        message: error.to_string(),
    })
}

fn start_tasks(state: &Arc<AgentState>, list: Arc<dyn HostList>) {
    let (sender, receiver) = watch::channel(Arc::default());
    let supervisor = &state.supervisor;
    let shared_state = |state: &Arc<AgentState>| Arc::clone(state);
    let shared = shared_state(state);
    supervisor.supervise("monitor", move || monitor::run(shared_state(&shared)));
    let shared = shared_state(state);
    supervisor.supervise("host_watch", move || {
        host_watch::run(Arc::clone(&shared), Arc::clone(&list), sender.clone())
    });
    let shared = shared_state(state);
    supervisor.supervise("reporter", move || {
        reporter::run(Arc::clone(&shared), receiver.clone())
    });
    let shared = shared_state(state);
    supervisor.supervise("tick", move || tick(Arc::clone(&shared)));
}

async fn tick(state: Arc<AgentState>) {
    loop {
        tokio::time::sleep(TICK_PERIOD).await;
        state.apply_event(|table, now| table.on_tick(now));
        state.remove_unused_signals();
    }
}
