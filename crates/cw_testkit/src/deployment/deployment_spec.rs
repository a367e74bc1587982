//! The size and settings of a deployment.

use std::time::Duration;

use cw_policy::routing::Policy;
use cw_types::Quota;
use cw_types::Rate;
use cyclamenwharf::EngineSettings;
use cyclamenwharf::LimitSettings;
use cyclamenwharf::RecoverySettings;
use cyclamenwharf::RoutingSettings;
use cyclamenwharf::TraceSettings;

use crate::EngineTimings;

/// The model that each engine has loaded.
pub const MODEL: &str = "settlement";
/// The version of [`MODEL`] that each engine has loaded.
pub const VERSION: &str = "v1";
/// The route to [`MODEL`] that recovers lost attempts with the lowest latency.
pub const ROUTE_LATENCY: &str = "settlement";
/// The route to [`MODEL`] that recovers lost attempts with the least additional work.
pub const ROUTE_THRIFT: &str = "settlement-thrift";
/// The plain service whose calls are idempotent.
pub const SERVICE: &str = "ledger";
/// The plain service whose calls may run at most once.
pub const SERVICE_ONCE: &str = "notices";

/// The size of a deployment and the settings of its processes.
#[derive(Clone, Debug, PartialEq)]
pub struct DeploymentSpec {
    /// The number of entries.
    pub entries: usize,
    /// The number of engines.
    pub engines: usize,
    /// The number of plain services, which are alternately [`SERVICE`] and [`SERVICE_ONCE`].
    pub services: usize,
    /// The number of availability zones. Entries and targets are assigned to them round-robin.
    pub zones: usize,
    /// The number of workspaces.
    pub workspaces: usize,
    /// The quota of each workspace.
    pub quota: Quota,
    /// The maximum time that a request may wait for its first token.
    pub patience: Duration,
    /// The speed and capacity of the engines.
    pub timings: EngineTimings,
    /// The engine settings of the agents.
    pub engine: EngineSettings,
    /// The limits of the entries.
    pub limits: LimitSettings,
    /// The settings for detection and recovery of lost attempts at the entries.
    pub recovery: RecoverySettings,
    /// The trace settings of the entries.
    pub trace: TraceSettings,
    /// The routing settings of the entries.
    pub routing: RoutingSettings,
    /// Whether entries reach each agent through a [`crate::Forwarder`].
    pub use_forwarders: bool,
    /// Whether the agents of plain services start after all other processes.
    pub late_services: bool,
}

impl Default for DeploymentSpec {
    fn default() -> Self {
        Self {
            entries: 2,
            engines: 4,
            services: 2,
            zones: 2,
            workspaces: 2,
            quota: Quota {
                concurrent: 100_000,
                requests: Rate(1e6),
                tokens: Rate(1e9),
            },
            patience: Duration::from_secs(10),
            timings: EngineTimings::default(),
            engine: EngineSettings::default(),
            limits: LimitSettings::default(),
            recovery: RecoverySettings::default(),
            trace: TraceSettings::default(),
            routing: RoutingSettings::default(),
            use_forwarders: false,
            late_services: false,
        }
    }
}

impl DeploymentSpec {
    /// Sets the number of entries.
    #[must_use]
    pub fn with_entries(mut self, count: usize) -> Self {
        self.entries = count;
        self
    }

    /// Sets the number of engines.
    #[must_use]
    pub fn with_engines(mut self, count: usize) -> Self {
        self.engines = count;
        self
    }

    /// Sets the number of plain services.
    #[must_use]
    pub fn with_services(mut self, count: usize) -> Self {
        self.services = count;
        self
    }

    /// Starts the agents of plain services after all other processes.
    #[must_use]
    pub fn with_late_services(mut self) -> Self {
        self.late_services = true;
        self
    }

    /// Sets the number of availability zones, which is at least one.
    #[must_use]
    pub fn with_zones(mut self, count: usize) -> Self {
        self.zones = count.max(1);
        self
    }

    /// Sets the speed and capacity of the engines.
    #[must_use]
    pub fn with_timings(mut self, timings: EngineTimings) -> Self {
        self.timings = timings;
        self
    }

    /// Sets the trace settings of the entries.
    #[must_use]
    pub fn with_trace(mut self, trace: TraceSettings) -> Self {
        self.trace = trace;
        self
    }

    /// Puts a [`crate::Forwarder`] in front of the agent of each engine.
    #[must_use]
    pub fn with_forwarders(mut self) -> Self {
        self.use_forwarders = true;
        self
    }

    /// Sets the routing policy of the entries.
    #[must_use]
    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.routing.policy = policy;
        self
    }
}
