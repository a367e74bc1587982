//! Starts and stops a forwarding entry.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cw_policy::forward::Topic;
use cw_store::Dialect;
use cw_store::HttpClient;
use cw_store::KeyValueStore;
use log::info;
use log::warn;
use prometheus::Registry;
use tokio::net::UdpSocket;

use crate::StartError;
use crate::Supervisor;
use crate::clock::new_incarnation;
use crate::stream_server::ServerLimits;
use crate::stream_server::StreamServer;

use super::ForwardListen;
use super::ForwardSettings;
use super::caller_api::CallerApi;
use super::crash_evidence_state::CrashEvidenceState;
use super::directory_sync::DirectorySync;
use super::exchange_driver::millis;
use super::forward_context::ForwardContext;
use super::forward_context::ForwardState;
use super::forward_metrics::ForwardMetrics;
use super::operator_api::OperatorApi;
use super::peer_api::PeerApi;
use super::peer_exchange::PeerExchange;
use super::recent_run_state::RecentRunState;
use super::rollout_decider::RolloutDecider;
use super::rollout_writer::RolloutWriter;
use super::state_store::SharedState;
use super::state_store::StateStore;
use super::target_records::record_known_targets;

/// The maximum number of concurrent caller connections. A process has about four thousand file
/// descriptors.
const MAX_CALLER_CONNECTIONS: usize = 3000;

/// The maximum number of concurrent operator connections. A load balancer, a metrics collector and
/// each of the other entries have one or two.
const MAX_OPERATOR_CONNECTIONS: usize = 32;

/// The timeout of a query to another entry. Entries are milliseconds apart, and another one can be
/// queried instead.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// The longest time that the answer to such a query may take while its bytes come. A configuration of the largest size
/// takes one second over a link of 10 Mbit/s that carries nothing else.
const PEER_TRANSFER_TIME: Duration = Duration::from_secs(5);

/// The maximum time that a caller's connection may be idle, and that the head of a request may
/// take. Callers reuse connections for the time in the configuration, which is far shorter, so this
/// only closes abandoned connections.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(300);

/// The same limit for operators' connections. A load balancer checks every second.
const OPERATOR_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// How often old connections are closed and outdated state is dropped, both of which live for
/// seconds.
const EXPIRY_PERIOD: Duration = Duration::from_millis(500);

/// How long a load balancer takes to notice that an entry is not ready: two checks, one second
/// apart.
const BALANCER_DELAY: Duration = Duration::from_millis(2500);

/// The part of the grace period that is reserved for the exit of the process, with a margin.
const EXIT_RESERVE: Duration = Duration::from_millis(300);

/// The part of the grace period in which requests without an answer are refused. It follows the rest also in a process that has
/// stood still until then, since the refusals must reach the callers.
const REFUSAL_TIME: Duration = Duration::from_millis(200);

/// The external parts of a forwarding entry.
pub struct ForwardParts {
    /// The message formats of callers, targets and the directory.
    pub dialect: Arc<dyn Dialect>,
    /// The key-value service.
    pub store: Arc<dyn KeyValueStore>,
}

/// The forwarding entry.
#[derive(Debug)]
pub struct Forwarder;

/// A running forwarding entry. Dropping it aborts all requests in progress and the background tasks.
pub struct ForwarderHandle {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for readiness checks.
    pub health: SocketAddr,
    context: Arc<ForwardContext>,
    supervisor: Supervisor,
    server: StreamServer,
    _operator_servers: Vec<StreamServer>,
}

impl Forwarder {
    /// Starts a forwarding entry on the current Tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails if metrics cannot be registered or an address cannot be bound.
    pub fn start(
        settings: ForwardSettings,
        parts: ForwardParts,
    ) -> Result<ForwarderHandle, StartError> {
        let registry = Registry::new();
        let metrics = ForwardMetrics::new(&registry).map_err(StartError::new)?;
        let listen = settings.listen.clone();
        let context = Arc::new(ForwardContext::new(settings, parts.dialect, metrics));
        let drain_limits = context.settings.drain_limits();
        info!(
            last_send_ms = millis(drain_limits.last_send_time()),
            drain_ms = millis(context.settings.drain);
            "requests reach a leaving target no later than this"
        );
        if drain_limits.is_tight() {
            warn!(
                "the time to drain is so short that each entry asks the key-value service itself"
            );
        }
        let supervisor = Supervisor::new("forward");
        start_directory_tasks(&supervisor, &context, &parts.store);
        start_peer_exchange(&supervisor, &context, listen.peers)?;
        let callers = ServerLimits {
            max_connections: MAX_CALLER_CONNECTIONS,
            header_timeout: Some(CALLER_IDLE_TIMEOUT),
        };
        let caller_api = Arc::new(CallerApi {
            context: Arc::clone(&context),
        });
        let server =
            StreamServer::start(listen.callers, callers, caller_api).map_err(StartError::new)?;
        let operator_servers =
            start_operator_servers(&context, &listen, registry).map_err(StartError::new)?;
        Ok(ForwarderHandle {
            callers: server.local_addr(),
            health: operator_servers[0].local_addr(),
            context,
            supervisor,
            server,
            _operator_servers: operator_servers,
        })
    }
}

/// Starts the servers for the load balancer, for metrics if configured, and for the other entries,
/// in this order.
fn start_operator_servers(
    context: &Arc<ForwardContext>,
    listen: &ForwardListen,
    registry: Registry,
) -> io::Result<Vec<StreamServer>> {
    let limits = ServerLimits {
        max_connections: MAX_OPERATOR_CONNECTIONS,
        header_timeout: Some(OPERATOR_IDLE_TIMEOUT),
    };
    let api = Arc::new(OperatorApi {
        context: Arc::clone(context),
        registry,
    });
    let peers = Arc::new(PeerApi {
        context: Arc::clone(context),
    });
    let mut servers = vec![StreamServer::start(
        listen.health,
        limits,
        Arc::clone(&api),
    )?];
    if let Some(address) = listen.metrics {
        servers.push(StreamServer::start(address, limits, api)?);
    }
    servers.push(StreamServer::start(listen.peers, limits, peers)?);
    Ok(servers)
}

/// Starts the tasks that sync with the key-value service, and the task that drops outdated state.
fn start_directory_tasks(
    supervisor: &Supervisor,
    context: &Arc<ForwardContext>,
    store: &Arc<dyn KeyValueStore>,
) {
    for (name, topic) in [("config", Topic::Config), ("targets", Topic::Targets)] {
        let (context, store) = (Arc::clone(context), Arc::clone(store));
        supervisor.supervise(name, move || {
            let directory = DirectorySync {
                context: Arc::clone(&context),
                store: Arc::clone(&store),
                topic,
                entries: HttpClient::default()
                    .with_memory(&context.peer_memory)
                    .with_timeout(PEER_TIMEOUT)
                    .with_transfer(PEER_TIMEOUT, PEER_TRANSFER_TIME),
            };
            directory.run()
        });
    }
    let (task_context, task_store) = (Arc::clone(context), Arc::clone(store));
    supervisor.supervise("registry", move || {
        let registry = super::entry_registry::EntryRegistry {
            context: Arc::clone(&task_context),
            store: Arc::clone(&task_store),
        };
        registry.run()
    });
    for name in ["ledger", "crashes"] {
        let (context, store) = (Arc::clone(context), Arc::clone(store));
        supervisor.supervise(name, move || {
            let state: Box<dyn SharedState> = match name {
                "ledger" => Box::<RecentRunState>::default(),
                _ => Box::<CrashEvidenceState>::default(),
            };
            let store = StateStore {
                context: Arc::clone(&context),
                store: Arc::clone(&store),
                state,
            };
            store.run()
        });
    }
    let (task_context, task_store) = (Arc::clone(context), Arc::clone(store));
    supervisor.supervise("rollouts", move || {
        let decider = RolloutDecider::new(Arc::clone(&task_context));
        let writer = RolloutWriter::new(Arc::clone(&task_context), Arc::clone(&task_store));
        async move {
            futures::future::join(decider.run(), writer.run()).await;
        }
    });
    let task_context = Arc::clone(context);
    supervisor.supervise("upkeep", move || {
        expire_periodically(Arc::clone(&task_context))
    });
}

impl ForwarderHandle {
    /// Reports the entry as not ready, stops accepting requests, and returns when all requests in
    /// progress have ended or the grace period is over.
    pub async fn drain(self) {
        let grace = self.context.settings.grace.saturating_sub(EXIT_RESERVE);
        self.context.health.set_draining();
        let work = async {
            // The load balancer still sends requests until it notices that this entry is not ready.
            tokio::time::sleep(BALANCER_DELAY.min(grace)).await;
            self.server.close().await;
        };
        let graceful = grace.saturating_sub(REFUSAL_TIME);
        if tokio::time::timeout(graceful, work).await.is_ok() {
            info!("all requests in progress have ended");
            return;
        }
        info!("the grace period is nearly over; refusing the requests without an answer");
        self.context.stopping.cancel();
        match tokio::time::timeout(REFUSAL_TIME, self.server.close()).await {
            Ok(()) => info!("all requests in progress have ended"),
            Err(_) => info!(
                streams = self.context.metrics.streams.get();
                "the grace period is over; aborting the requests in progress"
            ),
        }
    }
}

impl Drop for ForwarderHandle {
    fn drop(&mut self) {
        self.supervisor.stop();
    }
}

/// Starts to send and receive messages between entries.
fn start_peer_exchange(
    supervisor: &Supervisor,
    context: &Arc<ForwardContext>,
    address: SocketAddr,
) -> Result<(), StartError> {
    let socket = std::net::UdpSocket::bind(address).map_err(StartError::new)?;
    socket.set_nonblocking(true).map_err(StartError::new)?;
    let socket = Arc::new(UdpSocket::from_std(socket).map_err(StartError::new)?);
    let incarnation = new_incarnation();
    for name in ["peers/tell", "peers/hear"] {
        let context = Arc::clone(context);
        let socket = Arc::clone(&socket);
        supervisor.supervise(name, move || {
            let exchange = PeerExchange {
                context: Arc::clone(&context),
                socket: Arc::clone(&socket),
                incarnation,
            };
            async move {
                match name {
                    "peers/tell" => exchange.run_sender().await,
                    _ => exchange.run_receiver().await,
                }
            }
        });
    }
    Ok(())
}

async fn expire_periodically(context: Arc<ForwardContext>) {
    let mut dropped_origins = 0;
    loop {
        tokio::time::sleep(EXPIRY_PERIOD).await;
        let now = context.now();
        let mut state = context.state();
        for id in state.fleet.expire(now) {
            info!(target_id = id.as_str(); "a target did not register again in time; dropping it");
        }
        for host in state.fleet.expire_peers(now) {
            info!(entry = host.as_str(); "no more messages from another entry");
        }
        state.entry_list.expire(now);
        context.update_entries(now, &mut state);
        record_known_targets(&context, &mut state);
        state.crashes.expire(now);
        state.own_prompts.expire(now);
        state.peer_prompts.expire(now);
        state.origins.expire(now);
        let dropped = state.origins.dropped();
        if dropped > dropped_origins {
            warn!(
                dropped = dropped - dropped_origins;
                "forgot what began streams that may be in progress, since there are too many"
            );
            dropped_origins = dropped;
        }
        let ForwardState {
            fleet, listings, ..
        } = &mut *state;
        listings.retain(|id, _| fleet.listing(id).is_some());
        context
            .pool
            .close_expired(now, |id| fleet.listing(id).is_some());
    }
}
