//! The thread that owns the control state and runs its servers and tasks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use cw_policy::EntryPeer;
use dropshot::HttpServer;
use tokio::sync::Mutex;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

use super::ControlMetrics;
use super::ControlParts;
use super::DemandExchange;
use super::Event;
use super::Services;
use super::SharedView;
use super::StoreAccess;
use super::admin;
use super::admin::AdminContext;
use super::admin::ChangeService;
use super::core::Core;
use super::core::CoreParts;
use super::core::TICK_PERIOD;
use super::counting_key_value::CountingKeyValue;
use super::hosts_task::poll_hosts;
use super::lease_calls::LeaseCalls;
use super::peer_sender::PeerSender;
use super::peer_server;
use super::peer_server::PeerContext;
use super::planner_task::PlannerTask;
use super::store_task::StoreTask;
use crate::Clock;
use crate::PeerClient;
use crate::StartError;

/// The capacity of the event channel.
const EVENT_CAPACITY: usize = 4096;

/// The maximum number of attempts to bind the listen addresses.
const LISTEN_ATTEMPTS: u32 = 40;

/// The delay between two attempts to bind the listen addresses.
const LISTEN_RETRY_DELAY: Duration = Duration::from_millis(25);

/// The running servers of peers and operators, which stop when they are dropped.
type Servers = (HttpServer<Arc<PeerContext>>, HttpServer<Arc<AdminContext>>);

/// The state shared with the traffic threads.
#[derive(Clone)]
pub(super) struct SharedState {
    pub(super) view: SharedView,
    pub(super) demands: Arc<DemandExchange>,
}

/// The listen addresses of the servers.
#[derive(Clone, Copy, Debug)]
pub(super) struct Addresses {
    pub(super) peers: SocketAddr,
    pub(super) admin: SocketAddr,
}

/// Starts the thread and waits until its servers listen.
pub(super) async fn start(
    parts: ControlParts,
    services: Services,
    shared: SharedState,
) -> Result<Addresses, StartError> {
    let (started, addresses) = oneshot::channel();
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || run(parts, services, shared, started))
        .map_err(|error| start_error(&error))?;
    addresses.await.map_err(|error| start_error(&error))?
}

fn start_error(error: &dyn std::error::Error) -> StartError {
    StartError {
        message: error.to_string(),
    }
}

/// Runs until the supervisor stops, which also shuts down the runtime and closes all connections.
fn run(
    parts: ControlParts,
    services: Services,
    shared: SharedState,
    started: oneshot::Sender<Result<Addresses, StartError>>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            let _ = started.send(Err(start_error(&error)));
            return;
        }
    };
    let stop = parts.supervisor.token();
    runtime.block_on(async move {
        match serve_with_retries(&parts, &services, &shared).await {
            Ok((addresses, servers)) => {
                let _ = started.send(Ok(addresses));
                stop.cancelled().await;
                drop(servers);
            }
            Err(error) => {
                let _ = started.send(Err(error));
            }
        }
    });
    runtime.shutdown_background();
}

/// Starts the servers and tasks, with retries, because a process that was killed just before may
/// still hold the ports.
async fn serve_with_retries(
    parts: &ControlParts,
    services: &Services,
    shared: &SharedState,
) -> Result<(Addresses, Servers), StartError> {
    let mut outcome = serve(parts, services.clone(), shared.clone());
    for _ in 1..LISTEN_ATTEMPTS {
        if outcome.is_ok() {
            break;
        }
        tokio::time::sleep(LISTEN_RETRY_DELAY).await;
        outcome = serve(parts, services.clone(), shared.clone());
    }
    outcome
}

fn serve(
    parts: &ControlParts,
    services: Services,
    shared: SharedState,
) -> Result<(Addresses, Servers), StartError> {
    let (events, receiver) = mpsc::channel(EVENT_CAPACITY);
    let settings = &parts.settings;
    let metrics = ControlMetrics::new(&parts.registry);
    let services = Services {
        key_value: Arc::new(CountingKeyValue::new(
            services.key_value,
            metrics.store_calls.clone(),
        )),
        ..services
    };
    let (peers, admin) = listen(parts, &services, &events)?;
    let addresses = Addresses {
        peers: peers.local_addr(),
        admin: admin.local_addr(),
    };
    let store_access = Arc::new(watch::Sender::new(StoreAccess::Direct));
    supervise_services(parts, &services, &events, &store_access);
    let secret = settings.secrets.peers.first().cloned().unwrap_or_default();
    let sender = PeerSender {
        client: PeerClient::new(&secret),
        events,
        metrics: metrics.clone(),
    };
    let own = EntryPeer {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        peer_address: addresses.peers,
    };
    supervise_planner(parts, &services, &sender, &shared.view);
    supervise_core(parts, receiver, move |last_config, health| CoreParts {
        own_entry: own.clone(),
        view: shared.view.clone(),
        demands: shared.demands.clone(),
        health,
        metrics: metrics.clone(),
        sender: sender.clone(),
        store_access: store_access.clone(),
        last_config,
    });
    Ok((addresses, (peers, admin)))
}

fn listen(
    parts: &ControlParts,
    services: &Services,
    events: &mpsc::Sender<Event>,
) -> Result<Servers, StartError> {
    let peer_context = PeerContext {
        events: events.clone(),
        secrets: parts.settings.secrets.peers.clone(),
    };
    let peers = peer_server::start(parts.settings.listen.peers, peer_context)?;
    let admin_context = AdminContext {
        host: parts.settings.host.clone(),
        traces: Arc::clone(&parts.traces),
        secrets: parts.settings.secrets.peers.clone(),
        changes: ChangeService {
            key_value: services.key_value.clone(),
            events: events.clone(),
        },
        health: parts.health.clone(),
        registry: parts.registry.clone(),
    };
    let admin = admin::start(parts.settings.listen.admin, admin_context)?;
    Ok((peers, admin))
}

fn supervise_services(
    parts: &ControlParts,
    services: &Services,
    events: &mpsc::Sender<Event>,
    store_access: &Arc<watch::Sender<StoreAccess>>,
) {
    let task = {
        let (key_value, events) = (services.key_value.clone(), events.clone());
        let store_access = store_access.clone();
        move || {
            let task = StoreTask {
                key_value: key_value.clone(),
                events: events.clone(),
                access: store_access.subscribe(),
            };
            task.run()
        }
    };
    parts.supervisor.supervise("store", task);
    let (list, events) = (services.host_list.clone(), events.clone());
    parts
        .supervisor
        .supervise("hosts", move || poll_hosts(list.clone(), events.clone()));
}

fn supervise_planner(
    parts: &ControlParts,
    services: &Services,
    sender: &PeerSender,
    view: &SharedView,
) {
    let host = parts.settings.host.clone();
    let (clock, sender, view) = (parts.clock, sender.clone(), view.clone());
    let services = services.clone();
    parts.supervisor.supervise("planner", move || {
        let lease_calls = LeaseCalls {
            key_value: services.key_value.clone(),
            host: host.clone(),
        };
        let task = PlannerTask {
            host: host.clone(),
            clock,
            view: view.clone(),
            events: sender.events.clone(),
            client: sender.client.clone(),
            lease_calls,
            weight_store: services.weight_store.clone(),
            metrics: sender.metrics.clone(),
        };
        task.run()
    });
}

fn supervise_core(
    parts: &ControlParts,
    receiver: mpsc::Receiver<Event>,
    core_parts: impl Fn(
        Arc<ArcSwap<cw_policy::configuration::ActiveConfig>>,
        Arc<crate::Health>,
    ) -> CoreParts
    + Send
    + 'static,
) {
    let receiver = Arc::new(Mutex::new(receiver));
    let last_config = Arc::default();
    let (clock, health) = (parts.clock, parts.health.clone());
    parts.supervisor.supervise("core", move || {
        let parts = core_parts(Arc::clone(&last_config), health.clone());
        run_core(Core::new(parts, clock.now()), clock, receiver.clone())
    });
}

async fn run_core(mut core: Core, clock: Clock, receiver: Arc<Mutex<mpsc::Receiver<Event>>>) {
    let mut receiver = receiver.lock().await;
    let mut ticks = tokio::time::interval(TICK_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            event = receiver.recv() => match event {
                Some(event) => core.on_event(clock.now(), event),
                None => return,
            },
            _ = ticks.tick() => core.on_tick(clock.now()),
        }
    }
}
