//! Starting and stopping a forwarding entry.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cw_store::Dialect;
use cw_store::HttpClient;
use cw_store::KeyValue;
use log::info;
use prometheus::Registry;
use tokio::net::UdpSocket;

use crate::StartError;
use crate::Supervisor;
use crate::clock::new_incarnation;
use crate::stream_server::ServerLimits;
use crate::stream_server::StreamServer;

use super::ForwardListen;
use super::ForwardSettings;
use super::directory::Directory;
use super::directory::Topic;
use super::directory::count;
use super::front::Front;
use super::ledger::Ledger;
use super::metrics::ForwardMetrics;
use super::operator_api::OperatorApi;
use super::peer_api::PeerApi;
use super::peer_exchange::PeerExchange;
use super::shared::Beliefs;
use super::shared::Shared;

/// The most connections of callers at once; a process has some four thousand descriptors.
const CALLERS_MAX: usize = 3000;

/// The most connections of operators at once: a balancer, a collector of metrics and the other entries
/// have one or two each.
const OPERATORS_MAX: usize = 32;

/// How long another entry may take to answer: they are milliseconds away, and there are others.
const ENTRY_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a caller's connection may be idle, and a request's head take. Callers reuse connections for
/// the time that the configuration states, which is far shorter, so this only ends what is forgotten.
const CALLER_IDLE_MAX: Duration = Duration::from_secs(300);

/// The same for operators: a balancer asks every second.
const OPERATOR_IDLE_MAX: Duration = Duration::from_secs(10);

/// How often old connections are closed and old beliefs dropped; both live for seconds.
const UPKEEP_PERIOD: Duration = Duration::from_millis(500);

/// How long a balancer takes to see that an entry is not ready: two questions, a second apart.
const BALANCER_LAG: Duration = Duration::from_millis(2500);

/// What the end of the process takes of the grace period, with some to spare.
const EXIT_TIME: Duration = Duration::from_millis(300);

/// What a forwarding entry is built from.
pub struct ForwardParts {
    /// What callers, targets and directory speak.
    pub dialect: Arc<dyn Dialect>,
    /// The key-value service.
    pub store: Arc<dyn KeyValue>,
}

/// The forwarding entry.
#[derive(Debug)]
pub struct Forwarder;

/// A running forwarding entry. Dropping it breaks off what is in progress.
pub struct ForwarderHandle {
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// Where it answers whether it is ready.
    pub health: SocketAddr,
    shared: Arc<Shared>,
    supervisor: Supervisor,
    server: StreamServer,
    _operators: Vec<StreamServer>,
}

impl Forwarder {
    /// Starts a forwarding entry on the present runtime.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be listened on.
    pub fn start(
        settings: ForwardSettings,
        parts: ForwardParts,
    ) -> Result<ForwarderHandle, StartError> {
        let registry = Registry::new();
        let metrics = ForwardMetrics::new(&registry).map_err(StartError::new)?;
        let listen = settings.listen.clone();
        let shared = Arc::new(Shared::new(settings, parts.dialect, metrics));
        let supervisor = Supervisor::new("forward");
        follow(&supervisor, &shared, &parts.store);
        exchange(&supervisor, &shared, listen.peers)?;
        let callers = ServerLimits {
            max_connections: CALLERS_MAX,
            header_timeout: Some(CALLER_IDLE_MAX),
        };
        let front = Arc::new(Front {
            shared: Arc::clone(&shared),
        });
        let server =
            StreamServer::start(listen.callers, callers, front).map_err(StartError::new)?;
        let operators = operators(&shared, &listen, registry).map_err(StartError::new)?;
        Ok(ForwarderHandle {
            callers: server.local_addr(),
            health: operators[0].local_addr(),
            shared,
            supervisor,
            server,
            _operators: operators,
        })
    }
}

/// Starts the servers for the balancer, the operators and the other entries, in this order.
fn operators(
    shared: &Arc<Shared>,
    listen: &ForwardListen,
    registry: Registry,
) -> io::Result<Vec<StreamServer>> {
    let limits = ServerLimits {
        max_connections: OPERATORS_MAX,
        header_timeout: Some(OPERATOR_IDLE_MAX),
    };
    let api = Arc::new(OperatorApi {
        shared: Arc::clone(shared),
        registry,
    });
    let peers = Arc::new(PeerApi {
        shared: Arc::clone(shared),
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

/// Starts what follows the key-value service, and the upkeep of beliefs.
fn follow(supervisor: &Supervisor, shared: &Arc<Shared>, store: &Arc<dyn KeyValue>) {
    for (name, topic) in [("config", Topic::Config), ("targets", Topic::Targets)] {
        let (shared, store) = (Arc::clone(shared), Arc::clone(store));
        supervisor.supervise(name, move || {
            let directory = Directory {
                shared: Arc::clone(&shared),
                store: Arc::clone(&store),
                topic,
                entries: HttpClient::default().with_patience(ENTRY_TIMEOUT),
            };
            directory.run()
        });
    }
    let (known, held) = (Arc::clone(shared), Arc::clone(store));
    supervisor.supervise("registry", move || {
        let registry = super::registry::Registry {
            shared: Arc::clone(&known),
            store: Arc::clone(&held),
        };
        registry.run()
    });
    let (known, held) = (Arc::clone(shared), Arc::clone(store));
    supervisor.supervise("ledger", move || {
        let ledger = Ledger {
            shared: Arc::clone(&known),
            store: Arc::clone(&held),
        };
        ledger.run()
    });
    let kept = Arc::clone(shared);
    supervisor.supervise("upkeep", move || upkeep(Arc::clone(&kept)));
}

impl ForwarderHandle {
    /// Takes nothing new, and returns when all in progress has ended or the grace is over.
    pub async fn drain(self) {
        let grace = self.shared.settings.grace.saturating_sub(EXIT_TIME);
        self.shared.health.set_draining();
        let work = async {
            // Callers are still sent here until the balancer has noticed.
            tokio::time::sleep(BALANCER_LAG.min(grace)).await;
            self.server.close().await;
        };
        match tokio::time::timeout(grace, work).await {
            Ok(()) => info!("everything in progress has ended"),
            Err(_) => info!(
                streams = self.shared.metrics.streams.get();
                "the grace is over; what is in progress breaks off"
            ),
        }
        self.supervisor.stop();
    }
}

/// Starts to tell and hear the other entries.
fn exchange(
    supervisor: &Supervisor,
    shared: &Arc<Shared>,
    address: SocketAddr,
) -> Result<(), StartError> {
    let socket = std::net::UdpSocket::bind(address).map_err(StartError::new)?;
    socket.set_nonblocking(true).map_err(StartError::new)?;
    let socket = Arc::new(UdpSocket::from_std(socket).map_err(StartError::new)?);
    let incarnation = new_incarnation();
    for name in ["peers/tell", "peers/hear"] {
        let shared = Arc::clone(shared);
        let socket = Arc::clone(&socket);
        supervisor.supervise(name, move || {
            let exchange = PeerExchange {
                shared: Arc::clone(&shared),
                socket: Arc::clone(&socket),
                incarnation,
            };
            async move {
                match name {
                    "peers/tell" => exchange.tell().await,
                    _ => exchange.hear().await,
                }
            }
        });
    }
    Ok(())
}

async fn upkeep(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(UPKEEP_PERIOD).await;
        let now = shared.now();
        let mut beliefs = shared.beliefs();
        for id in beliefs.fleet.expire(now) {
            info!(target_id = id.as_str(); "a target's entry did not come back");
        }
        for host in beliefs.fleet.expire_peers(now) {
            info!(entry = host.as_str(); "another entry is no longer heard");
        }
        count(&shared, beliefs.fleet.len());
        beliefs.own_prompts.expire(now);
        beliefs.heard_prompts.expire(now);
        let Beliefs {
            fleet, listings, ..
        } = &mut *beliefs;
        listings.retain(|id, _| fleet.listing(id).is_some());
        shared.pool.sweep(now, |id| fleet.listing(id).is_some());
    }
}
