//! The check of what a change would break.

use std::fmt;

use cw_macro::data;
use cw_types::Config;
use cw_types::ConfigError;
use cw_types::RecordKey;
use cw_types::RecordKind;
use cw_types::Route;
use cw_types::RouteName;
use cw_types::RouteTarget;
use cw_types::Snapshot;
use cw_types::TargetKind;
use cw_types::VersionName;
use cw_types::WorkspaceId;

/// A fault in the configuration that a change would cause.
#[data(Eq)]
#[serde(rename_all = "snake_case")]
pub enum Breakage {
    /// A record cannot be read.
    Malformed {
        /// The record's key, as `kind/name`.
        record: String,
        /// The fault in the record.
        reason: String,
    },
    /// A route would have no target that is not drained.
    NoTarget {
        /// The route without a usable target.
        route: RouteName,
    },
    /// A route's priority does not exist.
    NoPriority {
        /// The route that names the missing priority.
        route: RouteName,
    },
    /// A route's model version would have neither a record that requires targets nor a target that
    /// holds it.
    NoVersion {
        /// The route that names the version.
        route: RouteName,
        /// The version of the route's model that is not available.
        version: VersionName,
    },
    /// A route names a workspace that does not exist.
    NoWorkspace {
        /// The route that names the workspace.
        route: RouteName,
        /// The workspace that has no record.
        workspace: WorkspaceId,
    },
    /// The last workspace of a route would be taken away, and the empty list would allow all workspaces.
    OpenToAll {
        /// The route whose list of workspaces would be empty.
        route: RouteName,
    },
    /// A workspace's quota would admit no request.
    NoQuota {
        /// The workspace whose limit on concurrency, requests or tokens would be zero.
        workspace: WorkspaceId,
    },
    /// Live generations are pinned to a version that would be removed.
    Pinned {
        /// The version to be removed, to which the generations are pinned.
        version: VersionName,
        /// The number of generations.
        generations: u32,
    },
    /// No operator could accept changes any more.
    NoAccepter,
}

impl fmt::Display for Breakage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Breakage::Malformed { record, reason } => {
                write!(f, "record {record} cannot be read: {reason}")
            }
            Breakage::NoTarget { route } => write!(f, "route {route} would have no target"),
            Breakage::NoPriority { route } => write!(f, "route {route} would have no priority"),
            Breakage::NoVersion { route, version } => {
                write!(
                    f,
                    "route {route} names version {version}, which nothing holds"
                )
            }
            Breakage::NoWorkspace { route, workspace } => {
                write!(
                    f,
                    "route {route} names workspace {workspace}, which does not exist"
                )
            }
            Breakage::OpenToAll { route } => write!(
                f,
                "route {route} would be open to all workspaces: its list is empty; leave the list out to open it, or remove the route"
            ),
            Breakage::NoQuota { workspace } => {
                write!(f, "workspace {workspace} would have no quota")
            }
            Breakage::Pinned {
                version,
                generations,
            } => write!(
                f,
                "{generations} generations are pinned to version {version}"
            ),
            Breakage::NoAccepter => f.write_str("no operator could accept changes any more"),
        }
    }
}

/// Returns the faults of `next` that `present` does not have.
pub fn dry_run(present: &Snapshot, next: &Snapshot) -> Vec<Breakage> {
    let before = find_breakages(present);
    let mut after = find_breakages(next);
    after.retain(|breakage| !before.contains(breakage));
    after.extend(find_opened(present, next));
    after
}

/// Finds the routes whose last workspace `next` takes away. A list that is left out allows all on purpose.
fn find_opened(present: &Snapshot, next: &Snapshot) -> Vec<Breakage> {
    let (before, _) = Config::from_snapshot(present);
    let (after, _) = Config::from_snapshot(next);
    let has_list = |name: &RouteName| {
        let key = RecordKey {
            kind: RecordKind::Route,
            name: name.as_str().to_owned(),
        };
        let record = next.records.get(&key);
        record.is_some_and(|(_, record)| record.body.get("workspaces").is_some())
    };
    let was_limited = |name: &RouteName| {
        let route = before.routes.get(name);
        route.is_some_and(|route| !route.workspaces.is_empty())
    };
    let routes = after.routes.iter();
    routes
        .filter(|(name, route)| route.workspaces.is_empty() && was_limited(name) && has_list(name))
        .map(|(name, _)| Breakage::OpenToAll {
            route: name.clone(),
        })
        .collect()
}

fn find_breakages(snapshot: &Snapshot) -> Vec<Breakage> {
    let (config, errors) = Config::from_snapshot(snapshot);
    let mut found: Vec<_> = errors.into_iter().map(malformed).collect();
    for (name, route) in &config.routes {
        check_route(&config, name, route, &mut found);
    }
    for (id, workspace) in &config.workspaces {
        let quota = &workspace.quota;
        if quota.concurrent == 0 || quota.requests.0 == 0.0 || quota.tokens.0 == 0.0 {
            let workspace = id.clone();
            found.push(Breakage::NoQuota { workspace });
        }
    }
    let accepts = |o: &cw_types::Operator| o.role == cw_types::OperatorRole::Accepter;
    if !config.operators.is_empty() && !config.operators.values().any(accepts) {
        found.push(Breakage::NoAccepter);
    }
    found
}

fn malformed(error: ConfigError) -> Breakage {
    Breakage::Malformed {
        record: error.key.to_string(),
        reason: error.reason,
    }
}

fn check_route(config: &Config, name: &RouteName, route: &Route, found: &mut Vec<Breakage>) {
    let name = || name.clone();
    if !has_target(config, route) {
        found.push(Breakage::NoTarget { route: name() });
    }
    if !config.priorities.contains_key(&route.priority) {
        found.push(Breakage::NoPriority { route: name() });
    }
    if let Some(version) = missing_version(config, route) {
        let route = name();
        found.push(Breakage::NoVersion { route, version });
    }
    for workspace in &route.workspaces {
        if !config.workspaces.contains_key(workspace) {
            found.push(Breakage::NoWorkspace {
                route: name(),
                workspace: workspace.clone(),
            });
        }
    }
}

fn has_target(config: &Config, route: &Route) -> bool {
    config
        .targets
        .iter()
        .filter(|(id, _)| !config.is_drained(id))
        .any(|(_, target)| match (&route.to, &target.kind) {
            (RouteTarget::Model { .. }, TargetKind::Engine) => true,
            (RouteTarget::Service { service }, TargetKind::Service { service: offered }) => {
                service == offered
            }
            _ => false,
        })
}

fn missing_version(config: &Config, route: &Route) -> Option<VersionName> {
    let RouteTarget::Model { model, version, .. } = &route.to else {
        return None;
    };
    let recorded = config
        .versions
        .values()
        .any(|v| v.model == *model && v.version == *version && v.targets > 0);
    let held = config.targets.values().any(|target| {
        let versions = target.versions.get(model);
        versions.is_some_and(|versions| versions.contains(version))
    });
    (!recorded && !held).then(|| version.clone())
}
