//! The configuration of forwarded traffic: routes, services and keys.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cw_types::ErrorKind;
use cw_types::KeyHash;
use cw_types::RouteName;
use cw_types::ServiceName;
use cw_types::WorkspaceId;

use super::Rank;
use super::RankPlace;

/// Whether a request may be sent to a second target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Never once it may have run.
    Never,
    /// From the beginning. The answer is buffered until it is complete.
    Whole,
    /// From the last event that the caller received.
    Resume,
}

/// A route: the requests that it matches, the services that answer them, and their limits.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardRoute {
    /// The name of the route.
    pub name: RouteName,
    /// The host name that the route matches.
    pub host: String,
    /// The path prefix that the route matches, with a slash at both ends.
    pub prefix: String,
    /// The services that the requests are split among, with their weights.
    pub services: Vec<(ServiceName, u32)>,
    /// Whether and how a request may be sent again.
    pub repeat: Repeat,
    /// Whether the answer is a stream of events.
    pub streaming: bool,
    /// The maximum duration of a request.
    pub timeout: Duration,
    /// The latency objective for the answer, or for the first event of a stream.
    pub objective: Duration,
    /// The objective for the longest pause between events.
    pub max_pause: Option<Duration>,
    /// The maximum number of targets that may run one request.
    pub attempts: u32,
    /// The priority, where 0 is the most urgent.
    pub priority: u8,
    /// Whether requests need no key.
    pub open: bool,
}

impl ForwardRoute {
    /// Returns the service for a random `draw` in `0.0..1.0`, in proportion to the weights. A service without a weight
    /// gets no requests, so there is none if no service has a weight.
    pub fn service(&self, draw: f64) -> Option<&ServiceName> {
        let weights = self.services.iter().map(|(_, weight)| f64::from(*weight));
        let mut left = draw * weights.sum::<f64>();
        let weighted = || self.services.iter().filter(|(_, weight)| *weight > 0);
        for (name, weight) in weighted() {
            left -= f64::from(*weight);
            if left < 0.0 {
                return Some(name);
            }
        }
        // The sum of the weights may have been rounded.
        weighted().next_back().map(|(name, _)| name)
    }
}

/// A service: a group of targets, any of which may begin a request.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardService {
    /// The maximum number of connections to one target, summed over all entries.
    pub connections: u32,
    /// The capacity of one engine's cache memory in tokens, `None` for a service without engines.
    pub memory: Option<u64>,
    /// Whether engines replicate the cache memory of runs to each other.
    pub copies: bool,
    /// How long an engine keeps a copy that was made on request.
    pub copy_lifetime: Duration,
}

/// Limits on a caller's requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The maximum size of a body, in bytes.
    pub max_body: usize,
    /// The maximum time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// The holder of a key.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyHolder {
    /// The workspace that the key belongs to.
    pub workspace: WorkspaceId,
    /// The priority of the holder's requests, which overrides that of the route.
    pub priority: Option<u8>,
}

/// Which keys requests need.
///
/// A configuration without keys and one whose keys have all been taken away are different: the first admits
/// everybody, the second nobody.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum CallerKeys {
    /// Every caller may use every route.
    #[default]
    NotRequired,
    /// A request of a route that is not open requires one of these keys. There may be none.
    Required(BTreeMap<KeyHash, KeyHolder>),
}

impl CallerKeys {
    /// Returns whether requests of routes that are not open require a key.
    pub fn are_required(&self) -> bool {
        matches!(self, CallerKeys::Required(_))
    }

    /// Returns the keys and their holders.
    pub fn iter(&self) -> impl Iterator<Item = (&KeyHash, &KeyHolder)> {
        let keys = match self {
            CallerKeys::NotRequired => None,
            CallerKeys::Required(keys) => Some(keys),
        };
        keys.into_iter().flatten()
    }

    fn holder(&self, key: &str) -> Option<&KeyHolder> {
        match self {
            CallerKeys::NotRequired => None,
            CallerKeys::Required(keys) => keys.get(&KeyHash::of(key)),
        }
    }
}

/// A request that matches a route and presents the key that the route requires.
#[derive(Clone, Debug, PartialEq)]
pub struct Admitted {
    /// The matching route.
    pub route: Arc<ForwardRoute>,
    /// The workspace of the request's key.
    pub workspace: Option<WorkspaceId>,
    /// The priority of the request, where 0 is the most urgent.
    pub priority: u8,
}

/// One version of the configuration of forwarded traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardConfig {
    pub(super) version: u64,
    /// The routes by host, sorted by descending length of the prefix.
    pub(super) routes: BTreeMap<String, Vec<Arc<ForwardRoute>>>,
    pub(super) services: BTreeMap<ServiceName, ForwardService>,
    pub(super) keys: CallerKeys,
    /// The ranks of each service's routes.
    ranks: BTreeMap<ServiceName, BTreeSet<Rank>>,
    pub(super) limits: CallerLimits,
}

impl ForwardConfig {
    /// Creates a configuration that requires no keys: every caller may use every route.
    pub fn new(
        version: u64,
        routes: Vec<ForwardRoute>,
        services: BTreeMap<ServiceName, ForwardService>,
        limits: CallerLimits,
    ) -> Self {
        let mut ranks: BTreeMap<ServiceName, BTreeSet<Rank>> = BTreeMap::new();
        for route in &routes {
            for (service, _) in &route.services {
                let of_service = ranks.entry(service.clone()).or_default();
                of_service.insert(Rank::of_route(route.priority));
            }
        }
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
            keys: CallerKeys::NotRequired,
            ranks,
            limits,
        }
    }

    /// Returns the configuration with `keys`. A route that is not open then requires one, also if there are none.
    #[must_use]
    pub fn with_keys(self, keys: BTreeMap<KeyHash, KeyHolder>) -> Self {
        Self {
            keys: CallerKeys::Required(keys),
            ..self
        }
    }

    /// Returns which keys requests need.
    pub fn keys(&self) -> &CallerKeys {
        &self.keys
    }

    /// Returns the version, which increases with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &ServiceName) -> Option<&ForwardService> {
        self.services.get(name)
    }

    /// Returns the names of all services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// Returns the priority that engines of a service get for a request, where 0 is the most urgent.
    ///
    /// Engines know one number. Where routes of a service differ, it is the place of the rank among all that callers
    /// can have there; otherwise it is the priority that holds for the request.
    pub fn engine_priority(&self, service: &ServiceName, rank: Rank) -> u8 {
        if RankPlace::among(rank, self.ranks(service)) == RankPlace::Only {
            return rank.priority;
        }
        let holders = self.keys.iter();
        let priorities: BTreeSet<u8> = holders.filter_map(|(_, holder)| holder.priority).collect();
        let mut before: BTreeSet<Rank> = BTreeSet::new();
        for route in self.ranks(service) {
            let held = priorities
                .iter()
                .map(|&priority| Rank { priority, ..route });
            before.extend(held.chain([route]).filter(|other| *other < rank));
        }
        u8::try_from(before.len()).unwrap_or(u8::MAX)
    }

    /// Returns the ranks of the routes to a service.
    pub fn ranks(&self, service: &ServiceName) -> impl Iterator<Item = Rank> {
        self.ranks.get(service).into_iter().flatten().copied()
    }

    /// Returns the maximum duration of a request on any route.
    pub fn longest_timeout(&self) -> Duration {
        let routes = self.routes.values().flatten();
        let timeouts = routes.map(|route| route.timeout);
        timeouts.max().unwrap_or_default()
    }

    /// Returns the route and the workspace of a request.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::UnknownModel`] when no route matches the host and path,
    /// [`ErrorKind::Unauthorized`] when the route requires a key and the request has no valid one.
    pub fn admit(&self, host: &str, path: &str, key: Option<&str>) -> Result<Admitted, ErrorKind> {
        let routes = self.routes.get(host).map_or(&[][..], Vec::as_slice);
        let route = routes
            .iter()
            .find(|route| path.starts_with(&route.prefix))
            .ok_or(ErrorKind::UnknownModel)?;
        let holder = key.and_then(|key| self.keys.holder(key));
        if holder.is_none() && !route.open && self.keys.are_required() {
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
