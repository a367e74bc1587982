//! Routes, services and keys of forwarded traffic.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cw_types::ErrorKind;
use cw_types::KeyHash;
use cw_types::RouteName;
use cw_types::ServiceName;
use cw_types::WorkspaceId;

/// Whether a request may be sent to a second target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Never once it may have run.
    Never,
    /// From its beginning; the answer is held back until it is whole.
    Whole,
    /// From the last event that the caller has.
    Resume,
}

/// One route: which service answers, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardRoute {
    /// Its name.
    pub name: RouteName,
    /// The host that callers name.
    pub host: String,
    /// The beginning of the paths it takes, with a slash at both ends.
    pub prefix: String,
    /// The services that share its requests, with their weights.
    pub services: Vec<(ServiceName, u32)>,
    /// Whether a request may be sent again.
    pub repeat: Repeat,
    /// Whether the answer is a stream of events.
    pub streaming: bool,
    /// The longest time that a request may take.
    pub timeout: Duration,
    /// The time to the answer, or to the first event, that the operators aim for.
    pub objective: Duration,
    /// The longest pause between events that the operators aim for.
    pub pause: Option<Duration>,
    /// The most targets that may run one request.
    pub attempts: u32,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
    /// Whether it needs no key.
    pub open: bool,
}

impl ForwardRoute {
    /// Returns the service for a draw between 0 and 1.
    pub fn service(&self, draw: f64) -> Option<&ServiceName> {
        let total: u32 = self.services.iter().map(|(_, weight)| weight).sum();
        let mut left = draw * f64::from(total);
        for (name, weight) in &self.services {
            left -= f64::from(*weight);
            if left < 0.0 {
                return Some(name);
            }
        }
        self.services.last().map(|(name, _)| name)
    }
}

/// A service: targets that answer alike.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardService {
    /// The most connections that one target takes, over all entries.
    pub connections: u32,
    /// The tokens that one engine's cache memory holds; `None` for a plain service.
    pub memory: Option<u64>,
    /// Whether engines keep copies of each other's runs.
    pub copies: bool,
    /// How long an engine keeps a copy that was made on request.
    pub copy_life: Duration,
}

/// Bounds on what a caller may send, and how slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The longest body, in bytes.
    pub body: usize,
    /// How long a connection may be idle.
    pub idle: Duration,
}

/// Who holds a key.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyHolder {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Its rank, which goes before that of the route.
    pub priority: Option<u8>,
}

/// A request that the configuration allows.
#[derive(Clone, Debug, PartialEq)]
pub struct Admitted {
    /// Its route.
    pub route: Arc<ForwardRoute>,
    /// The workspace of its key.
    pub workspace: Option<WorkspaceId>,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
}

/// The configuration of forwarded traffic, as a whole.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardConfig {
    version: u64,
    /// Routes by host, those with the longest prefix first.
    routes: BTreeMap<String, Vec<Arc<ForwardRoute>>>,
    services: BTreeMap<ServiceName, ForwardService>,
    keys: BTreeMap<KeyHash, KeyHolder>,
    limits: CallerLimits,
}

impl ForwardConfig {
    /// Returns a configuration without keys, whose routes are open to every caller.
    pub fn new(
        version: u64,
        routes: Vec<ForwardRoute>,
        services: BTreeMap<ServiceName, ForwardService>,
        limits: CallerLimits,
    ) -> Self {
        let mut by_host: BTreeMap<String, Vec<Arc<ForwardRoute>>> = BTreeMap::new();
        for route in routes {
            let host = route.host.clone();
            by_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            routes: by_host,
            services,
            keys: BTreeMap::new(),
            limits,
        }
    }

    /// Returns it with keys; a route that is not open then needs one.
    #[must_use]
    pub fn with_keys(self, keys: BTreeMap<KeyHash, KeyHolder>) -> Self {
        Self { keys, ..self }
    }

    /// Returns its version; a later one is higher.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the bounds on callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns a service.
    pub fn service(&self, name: &ServiceName) -> Option<&ForwardService> {
        self.services.get(name)
    }

    /// Returns the names of all services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// Finds the route of a request and who sends it.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::UnknownModel`] when no route takes the path, [`ErrorKind::Unauthorized`] when
    /// the route needs a key that this configuration does not have.
    pub fn admit(&self, host: &str, path: &str, key: Option<&str>) -> Result<Admitted, ErrorKind> {
        let routes = self.routes.get(host).map_or(&[][..], Vec::as_slice);
        let route = routes
            .iter()
            .find(|route| path.starts_with(&route.prefix))
            .ok_or(ErrorKind::UnknownModel)?;
        let holder = key.and_then(|key| self.keys.get(&KeyHash::of(key)));
        if holder.is_none() && !route.open && !self.keys.is_empty() {
            return Err(ErrorKind::Unauthorized);
        }
        let priority = holder.and_then(|holder| holder.priority);
        Ok(Admitted {
            route: Arc::clone(route),
            workspace: holder.map(|holder| holder.workspace.clone()),
            priority: priority.unwrap_or(route.priority),
        })
    }
}
