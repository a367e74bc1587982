//! How large a deployment is.

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

/// The model that every engine has.
pub const MODEL: &str = "settlement";
/// The version of it.
pub const VERSION: &str = "v1";
/// The route whose lost attempts are recovered for latency.
pub const ROUTE_LATENCY: &str = "settlement";
/// The route whose lost attempts are recovered for little extra work.
pub const ROUTE_THRIFT: &str = "settlement-thrift";
/// The plain service whose calls may be repeated.
pub const SERVICE: &str = "ledger";
/// The plain service whose calls may run once.
pub const SERVICE_ONCE: &str = "notices";

/// How large a deployment is, and how its parts are set.
#[derive(Clone, Debug, PartialEq)]
pub struct DeploymentSpec {
    /// The number of entries.
    pub entries: usize,
    /// The number of engines.
    pub engines: usize,
    /// The number of plain services, in turn [`SERVICE`] and [`SERVICE_ONCE`].
    pub services: usize,
    /// The number of availability zones, over which everything is spread in turn.
    pub zones: usize,
    /// The number of workspaces.
    pub workspaces: usize,
    /// The quota of each.
    pub quota: Quota,
    /// How long a request may wait before its first token.
    pub patience: Duration,
    /// How fast engines are.
    pub timings: EngineTimings,
    /// The agents' limits.
    pub engine: EngineSettings,
    /// The entries' limits.
    pub limits: LimitSettings,
    /// How entries notice lost attempts.
    pub recovery: RecoverySettings,
    /// What entries record of their decisions.
    pub trace: TraceSettings,
    /// How entries choose targets.
    pub routing: RoutingSettings,
    /// Whether entries reach each agent through a [`crate::Forwarder`].
    pub with_forwarders: bool,
    /// Whether the agents of plain services start only after everything else.
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
            with_forwarders: false,
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

    /// Lets the agents of plain services start only after everything else.
    #[must_use]
    pub fn with_late_services(mut self) -> Self {
        self.late_services = true;
        self
    }

    /// Sets the number of availability zones.
    #[must_use]
    pub fn with_zones(mut self, count: usize) -> Self {
        self.zones = count.max(1);
        self
    }

    /// Sets how fast engines are.
    #[must_use]
    pub fn with_timings(mut self, timings: EngineTimings) -> Self {
        self.timings = timings;
        self
    }

    /// Sets what entries record of their decisions.
    #[must_use]
    pub fn with_trace(mut self, trace: TraceSettings) -> Self {
        self.trace = trace;
        self
    }

    /// Puts a forwarder before each agent.
    #[must_use]
    pub fn with_forwarders(mut self) -> Self {
        self.with_forwarders = true;
        self
    }

    /// Sets how entries choose targets.
    #[must_use]
    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.routing.policy = policy;
        self
    }
}
