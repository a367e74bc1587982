//! The control state of an entry: configuration, membership, relays and orders.
//!
//! One thread owns it and publishes an immutable [`View`] for the traffic threads.

pub mod admin;
mod core;
mod core_answers;
mod counted;
mod demand_exchange;
mod event;
mod hosts_task;
mod lease_calls;
mod metrics;
mod peers_server;
mod planner_status;
mod planner_task;
mod sender;
mod services;
mod store_task;
mod thread;

use std::net::SocketAddr;
use std::sync::Arc;

pub use self::demand_exchange::DemandExchange;
pub use self::planner_status::PlannerStatus;
pub use self::services::Services;

use self::event::Event;
use self::event::Inspection;
use self::metrics::ControlMetrics;
use self::sender::Sender;
use self::store_task::StoreUse;

use arc_swap::ArcSwap;
use cw_policy::View;
use prometheus::Registry;

use crate::Clock;
use crate::EntrySettings;
use crate::Health;
use crate::StartError;
use crate::Supervisor;
use crate::TraceStore;

/// The view in force, read by every traffic thread.
pub type SharedView = Arc<ArcSwap<View>>;

/// What the control state is built from.
pub struct ControlParts {
    /// The entry's settings.
    pub settings: EntrySettings,
    /// The entry's clock.
    pub clock: Clock,
    /// The parent of the control tasks.
    pub supervisor: Supervisor,
    /// The entry's metrics.
    pub registry: Registry,
    /// The entry's health.
    pub health: Arc<Health>,
    /// The entry's traces.
    pub traces: Arc<TraceStore>,
}

/// The running control state, with its servers for peers and operators.
#[derive(Debug)]
pub struct Control {
    /// The view in force.
    pub view: SharedView,
    /// Where the peers' server listens.
    pub peers: SocketAddr,
    /// Where the operators' server listens.
    pub admin: SocketAddr,
    /// The demands on quotas, to and from the other entries.
    pub demands: Arc<DemandExchange>,
}

impl Control {
    /// Starts the control thread and its servers.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be listened on.
    pub async fn start(parts: ControlParts) -> Result<Self, StartError> {
        let services = Services::new(&parts.settings.platform);
        Self::start_with(parts, services).await
    }

    /// Starts the control thread on other services than those of the settings.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be listened on.
    pub async fn start_with(parts: ControlParts, services: Services) -> Result<Self, StartError> {
        let view = SharedView::default();
        let demands = Arc::<DemandExchange>::default();
        let shared = thread::Shared {
            view: view.clone(),
            demands: demands.clone(),
        };
        let addresses = thread::start(parts, services, shared).await?;
        Ok(Self {
            view,
            demands,
            peers: addresses.peers,
            admin: addresses.admin,
        })
    }
}
