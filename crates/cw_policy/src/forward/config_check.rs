//! Checks a configuration before it is sent: what is wrong in it, what can never match, which limits contradict each
//! other, and what differs from the version in force.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use cw_macro::data;
use cw_types::KeyHash;
use cw_types::ServiceName;

use super::ForwardConfig;
use super::ForwardRoute;
use super::ForwardService;
use super::KeyHolder;
use super::Repeat;

/// How serious a finding is.
#[data(Copy, Eq, Ord, PartialOrd)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// The configuration should not be sent.
    Error,
    /// The configuration works, but a part of it has no effect.
    Warning,
    /// A difference from the version in force.
    Difference,
}

/// One finding about a configuration.
#[data(Eq)]
pub struct Finding {
    /// How serious it is.
    pub severity: Severity,
    /// The part of the configuration, such as `route r-1` or `service llm`.
    pub place: String,
    /// What was found.
    pub text: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = match self.severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
            Severity::Difference => "difference",
        };
        write!(formatter, "{severity}: {}: {}", self.place, self.text)
    }
}

/// The findings about one configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigCheck {
    findings: Vec<Finding>,
}

impl ConfigCheck {
    /// Checks a configuration by itself.
    pub fn of(config: &ForwardConfig) -> Self {
        let mut check = Self::default();
        check.check_keys(config);
        for routes in config.routes.values() {
            check.check_matches(routes.iter().map(AsRef::as_ref));
            for route in routes {
                check.check_route(config, route);
            }
        }
        check.check_services(config);
        check
    }

    /// Adds what differs from the configuration in force.
    #[must_use]
    pub fn against(mut self, config: &ForwardConfig, in_force: &ForwardConfig) -> Self {
        if config.version <= in_force.version {
            let text = format!(
                "it is not higher than {}, the one in force",
                in_force.version
            );
            self.error(format!("version {}", config.version), text);
        }
        let (old, new) = (routes_by_name(in_force), routes_by_name(config));
        self.compare("route", &old, &new, route_changes);
        let services = |config: &ForwardConfig| {
            let services = config.services.iter();
            services
                .map(|(name, service)| (name.to_string(), service.clone()))
                .collect()
        };
        let (old, new) = (services(in_force), services(config));
        self.compare("service", &old, &new, service_changes);
        let (old, new) = (keys_by_workspace(in_force), keys_by_workspace(config));
        self.compare("workspace", &old, &new, key_changes);
        if in_force.keys.are_required() && !config.keys.are_required() {
            let text = "no request needs one any more: every caller may use every route".to_owned();
            self.warn("keys".to_owned(), text);
        }
        if config.limits != in_force.limits {
            let text = format!("{:?} becomes {:?}", in_force.limits, config.limits);
            self.add(Severity::Difference, "limits".to_owned(), text);
        }
        self
    }

    /// Returns the findings, the most serious first.
    pub fn findings(&self) -> Vec<Finding> {
        let mut findings = self.findings.clone();
        findings.sort_by_key(|finding| finding.severity);
        findings
    }

    /// Returns whether the configuration should not be sent.
    pub fn has_errors(&self) -> bool {
        let mut findings = self.findings.iter();
        findings.any(|finding| finding.severity == Severity::Error)
    }

    fn add(&mut self, severity: Severity, place: String, text: String) {
        self.findings.push(Finding {
            severity,
            place,
            text,
        });
    }

    fn error(&mut self, place: String, text: String) {
        self.add(Severity::Error, place, text);
    }

    fn warn(&mut self, place: String, text: String) {
        self.add(Severity::Warning, place, text);
    }

    /// Finds the routes that nobody may use, since they require a key and there is none.
    fn check_keys(&mut self, config: &ForwardConfig) {
        if !config.keys.are_required() || config.keys.iter().next().is_some() {
            return;
        }
        for route in config.routes.values().flatten().filter(|route| !route.open) {
            let text = "all its requests are refused, since no workspace has a key".to_owned();
            self.error(place(route), text);
        }
    }

    /// Finds the routes of one host that an equal prefix hides.
    fn check_matches<'a>(&mut self, routes: impl Iterator<Item = &'a ForwardRoute>) {
        let mut first: BTreeMap<&str, &ForwardRoute> = BTreeMap::new();
        for route in routes {
            match first.get(route.prefix.as_str()) {
                Some(other) => {
                    let text = format!(
                        "it can never match, since route {} has the same host and prefix {}",
                        other.name, route.prefix
                    );
                    self.error(place(route), text);
                }
                None => {
                    first.insert(&route.prefix, route);
                }
            }
        }
    }

    fn check_route(&mut self, config: &ForwardConfig, route: &ForwardRoute) {
        if !(route.prefix.starts_with('/') && route.prefix.ends_with('/')) {
            let text = format!("the prefix {} has no slash at both ends", route.prefix);
            self.error(place(route), text);
        }
        if route.objective > route.timeout {
            let text = format!(
                "the latency objective of {:?} is beyond the timeout of {:?}",
                route.objective, route.timeout
            );
            self.error(place(route), text);
        }
        if let Some(pause) = route.max_pause.filter(|pause| *pause >= route.timeout) {
            let text = format!(
                "the longest pause of {pause:?} is not below the timeout of {:?}",
                route.timeout
            );
            self.error(place(route), text);
        }
        if route.attempts == 0 {
            self.error(place(route), "no target may run its requests".to_owned());
        }
        if route.attempts > 1 && route.repeat == Repeat::Never {
            let text = format!(
                "its requests run once at most, so {} attempts are never made",
                route.attempts
            );
            self.warn(place(route), text);
        }
        if route.services.iter().all(|(_, weight)| *weight == 0) {
            self.error(place(route), "no service has a weight".to_owned());
        }
        for (service, weight) in &route.services {
            self.check_share(config, route, service, *weight);
        }
    }

    fn check_share(
        &mut self,
        config: &ForwardConfig,
        route: &ForwardRoute,
        name: &ServiceName,
        weight: u32,
    ) {
        let Some(service) = config.services.get(name) else {
            self.error(place(route), format!("there is no service {name}"));
            return;
        };
        if weight == 0 && route.services.len() > 1 {
            let text = format!("service {name} has no weight and gets no requests");
            self.warn(place(route), text);
        }
        if route.repeat == Repeat::Resume && service.memory.is_some() && !service.copies {
            let text = format!(
                "a stream that loses its engine reads its prompt again, since service {name} keeps no copies"
            );
            self.warn(place(route), text);
        }
    }

    fn check_services(&mut self, config: &ForwardConfig) {
        let routes = config.routes.values().flatten();
        let used: BTreeSet<&ServiceName> = routes
            .flat_map(|route| route.services.iter().map(|(name, _)| name))
            .collect();
        for (name, service) in &config.services {
            let place = format!("service {name}");
            if !used.contains(name) {
                self.warn(place.clone(), "no route leads to it".to_owned());
            }
            if service.connections == 0 {
                self.error(place.clone(), "it allows no connection".to_owned());
            }
            if service.copies && service.copy_lifetime.is_zero() {
                let text = "copies of runs are kept for no time".to_owned();
                self.error(place, text);
            }
        }
    }

    /// Adds what was added, removed or changed between two sets of named parts.
    fn compare<T: PartialEq>(
        &mut self,
        kind: &str,
        old: &BTreeMap<String, T>,
        new: &BTreeMap<String, T>,
        changes: impl Fn(&T, &T) -> Vec<String>,
    ) {
        let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
        for name in names {
            let text = match (old.get(name), new.get(name)) {
                (Some(before), Some(after)) if before == after => continue,
                (Some(before), Some(after)) => changes(before, after).join(", "),
                (Some(_), None) => "removed".to_owned(),
                (None, _) => "added".to_owned(),
            };
            self.add(Severity::Difference, format!("{kind} {name}"), text);
        }
    }
}

fn place(route: &ForwardRoute) -> String {
    format!("route {}", route.name)
}

fn routes_by_name(config: &ForwardConfig) -> BTreeMap<String, ForwardRoute> {
    let routes = config.routes.values().flatten();
    routes
        .map(|route| (route.name.to_string(), route.as_ref().clone()))
        .collect()
}

/// Returns the keys of each workspace, as hashes: a key itself must not be printed.
fn keys_by_workspace(config: &ForwardConfig) -> BTreeMap<String, (Option<u8>, BTreeSet<KeyHash>)> {
    let mut found: BTreeMap<String, (Option<u8>, BTreeSet<KeyHash>)> = BTreeMap::new();
    for (key, holder) in config.keys.iter() {
        let KeyHolder {
            workspace,
            priority,
        } = holder;
        let entry = found.entry(workspace.to_string()).or_default();
        entry.0 = *priority;
        entry.1.insert(*key);
    }
    found
}

fn change<T: PartialEq + fmt::Debug>(name: &str, old: &T, new: &T) -> Option<String> {
    (old != new).then(|| format!("{name} {old:?} becomes {new:?}"))
}

fn route_changes(old: &ForwardRoute, new: &ForwardRoute) -> Vec<String> {
    let changes = [
        change("host", &old.host, &new.host),
        change("prefix", &old.prefix, &new.prefix),
        change("services", &old.services, &new.services),
        change("repeat", &old.repeat, &new.repeat),
        change("streaming", &old.streaming, &new.streaming),
        change("timeout", &old.timeout, &new.timeout),
        change("objective", &old.objective, &new.objective),
        change("longest pause", &old.max_pause, &new.max_pause),
        change("attempts", &old.attempts, &new.attempts),
        change("priority", &old.priority, &new.priority),
        change("open", &old.open, &new.open),
    ];
    changes.into_iter().flatten().collect()
}

fn service_changes(old: &ForwardService, new: &ForwardService) -> Vec<String> {
    let changes = [
        change("connections", &old.connections, &new.connections),
        change("memory", &old.memory, &new.memory),
        change("copies", &old.copies, &new.copies),
        change("copy lifetime", &old.copy_lifetime, &new.copy_lifetime),
    ];
    changes.into_iter().flatten().collect()
}

fn key_changes(
    old: &(Option<u8>, BTreeSet<KeyHash>),
    new: &(Option<u8>, BTreeSet<KeyHash>),
) -> Vec<String> {
    let added = new.1.difference(&old.1).count();
    let removed = old.1.difference(&new.1).count();
    let keys = format!("{added} keys added and {removed} removed");
    let keys = (added + removed > 0).then_some(keys);
    let changes = [change("priority", &old.0, &new.0), keys];
    changes.into_iter().flatten().collect()
}
