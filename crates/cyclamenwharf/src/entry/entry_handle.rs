//! Starting and stopping an entry.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use cw_policy::Liveness;
use cw_policy::TargetView;
use cw_store::BodyMemory;
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
use crate::SharedView;
use crate::SloCollector;
use crate::SloMetrics;
use crate::StartError;
use crate::Supervisor;
use crate::TraceStore;
use crate::stream_server::ServerLimits;
use crate::stream_server::StreamServer;

use super::caller_api::CallerApi;
use super::claims::Claims;
use super::entry_context::EntryContext;
use super::entry_metrics::EntryMetrics;
use super::idempotency_cache::IdempotencyCache;
use super::peer_pool::PeerPool;
use super::periodic_tasks;
use super::router::Router;
use super::shared_queue::SharedQueue;
use super::shared_quotas::SharedQuotas;
use super::suspicion_tracker::SuspicionTracker;

/// The memory that the bodies of all requests may take, in bytes: some dozens of the longest ones by default.
const REQUEST_MEMORY: usize = 256 << 20;

/// The components from which the server for callers is built.
pub struct EntryParts {
    /// The entry's settings.
    pub settings: EntrySettings,
    /// The entry's clock.
    pub clock: Clock,
    /// The current view.
    pub view: SharedView,
    /// The key-value service.
    pub store: Arc<dyn KeyValueStore>,
    /// The registry for the entry's metrics.
    pub registry: Registry,
    /// The entry's health.
    pub health: Arc<Health>,
    /// The recorded traces of generations.
    pub traces: Arc<TraceStore>,
    /// The quota demands sent to and received from the other entries.
    pub demands: Arc<DemandExchange>,
}

/// The entry, which serves callers' requests.
#[derive(Debug)]
pub struct Entry;

/// A running entry. Dropping it stops it as [`EntryHandle::kill`] does.
pub struct EntryHandle {
    /// The address of the callers' server.
    pub callers: SocketAddr,
    /// The address of the server for other processes of the deployment.
    pub peers: SocketAddr,
    /// The address of the admin server for operators.
    pub admin: SocketAddr,
    supervisor: Supervisor,
    context: Arc<EntryContext>,
    server: Mutex<Option<StreamServer>>,
    traffic: Mutex<Option<Runtime>>,
}

impl Entry {
    /// Starts an entry with its control state, on a separate runtime for traffic.
    ///
    /// # Errors
    ///
    /// Fails when the runtime cannot be created, a metric cannot be registered, or a server cannot
    /// bind its address.
    pub async fn start(settings: EntrySettings) -> Result<EntryHandle, StartError> {
        let traffic = runtime()?;
        let supervisor = Supervisor::new("entry");
        let parts = EntryParts {
            clock: Clock::default(),
            view: SharedView::default(),
            store: Arc::new(EtcdGateway::new(settings.platform.key_value.clone())),
            registry: Registry::new(),
            health: Arc::default(),
            traces: Arc::new(TraceStore::new(settings.trace.clone())),
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
        handle.peers = control.peer_address;
        handle.admin = control.admin_address;
        Ok(handle)
    }

    /// Starts only the callers' server of an entry, with control state that the calling code
    /// provides.
    ///
    /// # Errors
    ///
    /// Fails when the runtime cannot be created, a metric cannot be registered, or the server
    /// cannot bind its address.
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
    let shared_slo = SloCollector(Arc::clone(&slo));
    (parts.registry.register(Box::new(shared_slo))).map_err(StartError::new)?;
    let secret = parts.settings.secrets.peers.first();
    let context = Arc::new(EntryContext {
        peers: PeerPool::new(secret.map_or("", String::as_str)),
        clock: parts.clock,
        view: parts.view,
        claims: Arc::new(Claims::new(parts.store)),
        idempotency_cache: IdempotencyCache::default(),
        suspicion: SuspicionTracker::new(parts.settings.host.clone()),
        budgets: Mutex::default(),
        quotas: SharedQuotas::new(parts.settings.host.clone(), parts.demands),
        request_memory: BodyMemory::new(REQUEST_MEMORY),
        queue: SharedQueue::new(&parts.settings.limits),
        token_gap: objectives.token_gap,
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
    let server = start_server(&traffic, &supervisor, &context)?;
    Ok(EntryHandle {
        callers: server.local_addr(),
        peers: context.settings.listen.peers,
        admin: context.settings.listen.admin,
        supervisor,
        context,
        server: Mutex::new(Some(server)),
        traffic: Mutex::new(Some(traffic)),
    })
}

fn start_server(
    traffic: &Runtime,
    supervisor: &Supervisor,
    context: &Arc<EntryContext>,
) -> Result<StreamServer, StartError> {
    let _runtime_guard = traffic.enter();
    let periodic = Arc::clone(context);
    supervisor.supervise("upkeep", move || periodic_tasks::run(Arc::clone(&periodic)));
    let limits = ServerLimits {
        max_connections: context.settings.limits.connections as usize,
        header_timeout: Some(context.settings.limits.request),
    };
    let api = CallerApi {
        context: Arc::clone(context),
    };
    let address = context.settings.listen.callers;
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
    /// Returns the recorded traces, oldest first, each as JSON lines.
    pub fn traces(&self) -> Vec<String> {
        let traces = &self.context.traces;
        let list = traces.list();
        list.into_iter().filter_map(|id| traces.get(id)).collect()
    }

    /// Returns the targets that the current view lists as alive.
    pub fn alive(&self) -> BTreeSet<TargetId> {
        let view = self.context.view.load();
        let alive = |(_, target): &(&TargetId, &TargetView)| target.liveness == Liveness::Alive;
        let alive = view.targets.iter().filter(alive);
        alive.map(|(id, _)| id.clone()).collect()
    }

    /// Stops accepting requests, waits until all requests in progress have ended, and closes the
    /// callers' server.
    pub async fn drain(&self) {
        self.context.health.set_draining();
        self.context.progress.close();
        self.context.progress.wait().await;
        let server = take_from(&self.server);
        if let Some(server) = server {
            // The server closes once the last response has been written.
            server.close().await;
        }
    }

    /// Stops at once, as a killed process does: every connection breaks.
    pub fn kill(&self) {
        self.supervisor.stop();
        let server = take_from(&self.server);
        if let Some(traffic) = take_from(&self.traffic) {
            traffic.shutdown_background();
        }
        drop(server);
    }
}

fn take_from<T>(slot: &Mutex<Option<T>>) -> Option<T> {
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
