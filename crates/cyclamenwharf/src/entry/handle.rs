//! Starting and stopping an entry.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use cw_policy::Liveness;
use cw_policy::TargetView;
use cw_store::EtcdGateway;
use cw_store::KeyValueStore;
use cw_types::TargetId;
use prometheus::Registry;
use tokio::runtime::Runtime;
use tokio_util::task::TaskTracker;

use crate::Clock;
use crate::Control;
use crate::ControlParts;
use crate::DemandExchange;
use crate::EntrySettings;
use crate::Health;
use crate::SharedSlo;
use crate::SharedView;
use crate::SloMetrics;
use crate::StartError;
use crate::Supervisor;
use crate::TraceBook;
use crate::stream_server::ServerLimits;
use crate::stream_server::StreamServer;

use super::api::CallerApi;
use super::claims::Claims;
use super::frontend::Frontend;
use super::key_book::KeyBook;
use super::metrics::EntryMetrics;
use super::peer_pool::PeerPool;
use super::quota_gate::QuotaGate;
use super::router::Router;
use super::suspicion::Suspicion;
use super::upkeep;
use super::wait_line::WaitLine;

/// What an entry's servers are built from.
pub struct EntryParts {
    /// The entry's settings.
    pub settings: EntrySettings,
    /// The entry's clock.
    pub clock: Clock,
    /// The view in force.
    pub view: SharedView,
    /// The key-value service.
    pub store: Arc<dyn KeyValueStore>,
    /// The entry's metrics.
    pub registry: Registry,
    /// The entry's health.
    pub health: Arc<Health>,
    /// The entry's traces.
    pub traces: Arc<TraceBook>,
    /// The demands on quotas, to and from the other entries.
    pub demands: Arc<DemandExchange>,
}

/// The entry, which takes callers' requests.
#[derive(Debug)]
pub struct Entry;

/// A running entry. Dropping it stops it as [`EntryHandle::kill`] does.
pub struct EntryHandle {
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// Where it listens for other processes.
    pub peers: SocketAddr,
    /// Where it listens for operators.
    pub admin: SocketAddr,
    supervisor: Supervisor,
    front: Arc<Frontend>,
    server: Mutex<Option<StreamServer>>,
    traffic: Mutex<Option<Runtime>>,
}

impl Entry {
    /// Starts an entry, with its control state and a runtime of its own for traffic.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be listened on.
    pub async fn start(settings: EntrySettings) -> Result<EntryHandle, StartError> {
        let traffic = runtime()?;
        let supervisor = Supervisor::new("entry");
        let parts = EntryParts {
            clock: Clock::default(),
            view: SharedView::default(),
            store: Arc::new(EtcdGateway::new(settings.platform.key_value.clone())),
            registry: Registry::new(),
            health: Arc::default(),
            traces: Arc::new(TraceBook::new(settings.trace.clone())),
            demands: Arc::default(),
            settings,
        };
        let control = ControlParts {
            settings: parts.settings.clone(),
            clock: parts.clock,
            supervisor: supervisor.child("control"),
            registry: parts.registry.clone(),
            health: Arc::clone(&parts.health),
            traces: Arc::clone(&parts.traces),
        };
        let control = traffic.spawn(Control::start(control));
        let control = control.await.map_err(StartError::new)??;
        let parts = EntryParts {
            view: Arc::clone(&control.view),
            demands: Arc::clone(&control.demands),
            ..parts
        };
        let mut handle = serve(traffic, supervisor, parts)?;
        handle.peers = control.peers;
        handle.admin = control.admin;
        Ok(handle)
    }

    /// Starts the callers' server of an entry alone, on a control state that the caller owns.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be listened on.
    pub fn serve(parts: EntryParts) -> Result<EntryHandle, StartError> {
        serve(runtime()?, Supervisor::new("entry"), parts)
    }
}

fn serve(
    traffic: Runtime,
    supervisor: Supervisor,
    parts: EntryParts,
) -> Result<EntryHandle, StartError> {
    let metrics = EntryMetrics::new(&parts.registry).map_err(StartError::new)?;
    let objectives = parts.settings.slo.clone();
    let slo = SloMetrics::new(parts.clock, objectives.clone()).map_err(StartError::new)?;
    let slo = Arc::new(slo);
    let shown = SharedSlo(Arc::clone(&slo));
    (parts.registry.register(Box::new(shown))).map_err(StartError::new)?;
    let secret = parts.settings.secrets.peers.first();
    let front = Arc::new(Frontend {
        peers: PeerPool::new(secret.map_or("", String::as_str)),
        clock: parts.clock,
        view: parts.view,
        claims: Arc::new(Claims::new(parts.store)),
        keys: KeyBook::default(),
        suspicion: Suspicion::new(parts.settings.host.clone()),
        budgets: Mutex::default(),
        quotas: QuotaGate::new(parts.settings.host.clone(), parts.demands),
        line: WaitLine::new(&parts.settings.limits),
        gap: objectives.token_gap,
        slo,
        health: parts.health,
        metrics,
        router: Router::new(
            parts.settings.zone.clone(),
            parts.settings.region.clone(),
            parts.settings.routing.policy,
        ),
        progress: TaskTracker::new(),
        traces: parts.traces,
        settings: parts.settings,
    });
    let server = start_server(&traffic, &supervisor, &front)?;
    Ok(EntryHandle {
        callers: server.local_addr(),
        peers: front.settings.listen.peers,
        admin: front.settings.listen.admin,
        supervisor,
        front,
        server: Mutex::new(Some(server)),
        traffic: Mutex::new(Some(traffic)),
    })
}

fn start_server(
    traffic: &Runtime,
    supervisor: &Supervisor,
    front: &Arc<Frontend>,
) -> Result<StreamServer, StartError> {
    let _inside = traffic.enter();
    let tended = Arc::clone(front);
    supervisor.keep("upkeep", move || upkeep::run(Arc::clone(&tended)));
    let limits = ServerLimits {
        connections: front.settings.limits.connections as usize,
        head: Some(front.settings.limits.request),
    };
    let api = CallerApi {
        front: Arc::clone(front),
    };
    let address = front.settings.listen.callers;
    StreamServer::start(address, limits, Arc::new(api)).map_err(StartError::new)
}

fn runtime() -> Result<Runtime, StartError> {
    tokio::runtime::Builder::new_multi_thread()
        .thread_name("traffic")
        .enable_all()
        .build()
        .map_err(StartError::new)
}

impl EntryHandle {
    /// Returns the recorded decisions that it keeps, oldest first, each as JSON lines.
    pub fn traces(&self) -> Vec<String> {
        let traces = &self.front.traces;
        let list = traces.list();
        list.into_iter().filter_map(|id| traces.get(id)).collect()
    }

    /// Returns the targets that it takes to be alive now.
    pub fn alive(&self) -> BTreeSet<TargetId> {
        let view = self.front.view.load();
        let alive = |(_, target): &(&TargetId, &TargetView)| target.liveness == Liveness::Alive;
        let alive = view.targets.iter().filter(alive);
        alive.map(|(id, _)| id.clone()).collect()
    }

    /// Is not ready any more, and returns when all work in progress has ended.
    pub async fn drain(&self) {
        self.front.health.set_draining();
        self.front.progress.close();
        self.front.progress.wait().await;
        let server = take(&self.server);
        if let Some(server) = server {
            // The server closes when the last answer has been written out.
            server.close().await;
        }
    }

    /// Stops at once, as a killed process would: every connection breaks.
    pub fn kill(&self) {
        self.supervisor.stop();
        let server = take(&self.server);
        if let Some(traffic) = take(&self.traffic) {
            traffic.shutdown_background();
        }
        drop(server);
    }
}

fn take<T>(slot: &Mutex<Option<T>>) -> Option<T> {
    slot.lock().unwrap_or_else(PoisonError::into_inner).take()
}

impl Drop for EntryHandle {
    fn drop(&mut self) {
        self.kill();
    }
}

impl fmt::Debug for EntryHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EntryHandle")
            .field("callers", &self.callers)
            .finish_non_exhaustive()
    }
}
