//! Starts and stops an agent.

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
use super::agent_state::AgentState;
use super::agent_state::lock;
use super::host_watch;
use super::metrics::Metrics;
use super::monitor;
use super::peer_api::PeerApi;
use super::reporter;
use super::server;
use crate::AgentSettings;
use crate::Clock;
use crate::EngineSettings;
use crate::StartError;
use crate::Supervisor;
use crate::clock::new_incarnation;
use crate::stream_server::ServerLimits;
use crate::stream_server::StreamServer;

/// How often the table is told that time has passed.
const TICK: Duration = Duration::from_millis(20);

type AdminServer = HttpServer<Arc<AgentState>>;

/// Entries are few and known, so their connections have no bound of time.
const PEER_LIMITS: ServerLimits = ServerLimits {
    max_connections: 4096,
    header_timeout: None,
};

/// The agent beside one target.
#[derive(Debug)]
pub struct Agent;

/// A running agent.
pub struct AgentHandle {
    /// Where it listens for other processes.
    pub peers: SocketAddr,
    /// Where it listens for operators.
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
    /// Starts an agent on the present runtime.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be listened on.
    pub async fn start(settings: AgentSettings) -> Result<AgentHandle, StartError> {
        let list = HttpHostList::new(settings.platform.host_list);
        let state = Arc::new(new_state(settings)?);
        let peers = start_peers(&state)?;
        let admin = server::start(
            state.settings.listen.admin,
            describe(admin_api::api())?,
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
    /// Takes no new work, and returns when all work in progress has ended and has been read.
    pub async fn drain(&self) {
        self.state.set_leaving(|leaving| leaving.draining = true);
        while !self.state.look(|table, _| table.is_drained()) {
            tokio::time::sleep(TICK).await;
        }
        let servers = lock(&self.servers).take();
        if let Some((peers, admin)) = servers {
            peers.close().await;
            // A server that fails to close has nothing left to cut.
            let _ = admin.close().await;
        }
        self.state.supervisor.stop();
    }

    /// Stops at once, as a killed process would.
    pub fn kill(&self) {
        self.state.supervisor.stop();
        // Servers that are dropped accept nothing more; their streams break with the supervisor.
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
    let table = AttemptTable::new(new_incarnation(), limits(&settings.engine));
    let metrics = Metrics::new(Registry::new()).map_err(|error| StartError {
        message: error.to_string(),
    })?;
    let supervisor = Supervisor::new("agent");
    let clock = Clock::default();
    Ok(AgentState::new(settings, clock, supervisor, table, metrics))
}

fn limits(settings: &EngineSettings) -> AttemptLimits {
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

fn describe<T, E: std::fmt::Display>(api: Result<T, E>) -> Result<T, StartError> {
    api.map_err(|error| StartError {
        message: error.to_string(),
    })
}

fn start_tasks(state: &Arc<AgentState>, list: Arc<dyn HostList>) {
    let (sender, receiver) = watch::channel(Arc::default());
    let supervisor = &state.supervisor;
    let of = |state: &Arc<AgentState>| Arc::clone(state);
    let shared = of(state);
    supervisor.supervise("monitor", move || monitor::run(of(&shared)));
    let shared = of(state);
    supervisor.supervise("host_watch", move || {
        host_watch::run(Arc::clone(&shared), Arc::clone(&list), sender.clone())
    });
    let shared = of(state);
    supervisor.supervise("reporter", move || {
        reporter::run(Arc::clone(&shared), receiver.clone())
    });
    let shared = of(state);
    supervisor.supervise("tick", move || tick(Arc::clone(&shared)));
}

async fn tick(state: Arc<AgentState>) {
    loop {
        tokio::time::sleep(TICK).await;
        state.tell(|table, now| table.on_tick(now));
        state.forget_signals();
    }
}
