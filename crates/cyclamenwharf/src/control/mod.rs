//! The control plane of an entry: configuration, membership, relays and orders.
//!
//! One thread owns the control state and publishes an immutable [`View`] for the traffic threads.

pub mod admin;
mod call_result;
mod control_metrics;
mod core;
mod core_queries;
mod counting_key_value;
mod demand_exchange;
mod event;
mod hosts_task;
mod lease_calls;
mod peer_sender;
mod peer_server;
mod planner_status;
mod planner_task;
mod services;
mod store_task;
mod thread;

use std::net::SocketAddr;
use std::sync::Arc;

pub use self::demand_exchange::DemandExchange;
pub use self::planner_status::PlannerStatus;
pub use self::services::Services;

use self::control_metrics::ControlMetrics;
use self::event::Event;
use self::event::Inspection;
use self::peer_sender::PeerSender;
use self::store_task::StoreAccess;

use arc_swap::ArcSwap;
use cw_policy::View;
use prometheus::Registry;

use crate::Clock;
use crate::EntrySettings;
use crate::Health;
use crate::StartError;
use crate::Supervisor;
use crate::TraceStore;

/// The current view, which every traffic thread reads.
pub type SharedView = Arc<ArcSwap<View>>;

/// The dependencies of the control plane.
pub struct ControlParts {
    /// The settings of the entry.
    pub settings: EntrySettings,
    /// The clock of the entry.
    pub clock: Clock,
    /// The supervisor that runs the control tasks.
    pub supervisor: Supervisor,
    /// The registry to which the control metrics are added.
    pub registry: Registry,
    /// The health of the entry, which is set to configured by the first configuration.
    pub health: Arc<Health>,
    /// The traces that the admin API returns.
    pub traces: Arc<TraceStore>,
}

/// The running control plane, with its servers for peers and operators.
#[derive(Debug)]
pub struct Control {
    /// The current view.
    pub view: SharedView,
    /// The listen address of the peer server.
    pub peer_address: SocketAddr,
    /// The listen address of the admin server.
    pub admin_address: SocketAddr,
    /// The quota demands of this entry and of the other entries.
    pub demands: Arc<DemandExchange>,
}

impl Control {
    /// Starts the control thread and its servers, with clients of the services in the settings.
    ///
    /// # Errors
    ///
    /// Fails if the thread does not start or a listen address cannot be bound.
    pub async fn start(parts: ControlParts) -> Result<Self, StartError> {
        let services = Services::new(&parts.settings.platform);
        Self::start_with(parts, services).await
    }

    /// Starts the control thread and its servers, with other services than those in the settings.
    ///
    /// # Errors
    ///
    /// Fails if the thread does not start or a listen address cannot be bound.
    pub async fn start_with(parts: ControlParts, services: Services) -> Result<Self, StartError> {
        let view = SharedView::default();
        let demands = Arc::<DemandExchange>::default();
        let shared = thread::SharedState {
            view: view.clone(),
            demands: demands.clone(),
        };
        let addresses = thread::start(parts, services, shared).await?;
        Ok(Self {
            view,
            demands,
            peer_address: addresses.peers,
            admin_address: addresses.admin,
        })
    }
}
