//! The typed view of a snapshot.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use serde_json::Value;
use snafu::Snafu;

use crate::Actor;
use crate::Drain;
use crate::ModelVersion;
use crate::Operator;
use crate::Priority;
use crate::PriorityName;
use crate::Record;
use crate::RecordKey;
use crate::RecordKind;
use crate::Revision;
use crate::Route;
use crate::RouteName;
use crate::Snapshot;
use crate::Target;
use crate::TargetId;
use crate::Workspace;
use crate::WorkspaceId;
use crate::convert;
use crate::current_schema;

/// A record that this process cannot read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("record {key}: {reason}"))]
pub struct ConfigError {
    /// The record.
    pub key: RecordKey,
    /// What is wrong with it.
    pub reason: String,
}

/// The configuration in force, as the deciding code reads it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// The snapshot's revision.
    pub revision: Revision,
    /// Routes by name.
    pub routes: BTreeMap<RouteName, Route>,
    /// Workspaces by id.
    pub workspaces: BTreeMap<WorkspaceId, Workspace>,
    /// Priorities by name.
    pub priorities: BTreeMap<PriorityName, Priority>,
    /// Model versions by record name.
    pub versions: BTreeMap<String, ModelVersion>,
    /// Targets by id.
    pub targets: BTreeMap<TargetId, Target>,
    /// Drains by the name of the target or host.
    pub drains: BTreeMap<String, Drain>,
    /// Operators by name.
    pub operators: BTreeMap<Actor, Operator>,
}

impl Config {
    /// Reads every record of `snapshot`; those that cannot be read are returned beside the rest.
    pub fn from_snapshot(snapshot: &Snapshot) -> (Self, Vec<ConfigError>) {
        let mut config = Self {
            revision: snapshot.revision,
            ..Self::default()
        };
        let mut errors = Vec::new();
        for (key, (_, record)) in &snapshot.records {
            let current = convert(record, current_schema(record.kind));
            let outcome = current
                .map_err(|error| error.to_string())
                .and_then(|record| config.insert(&record));
            if let Err(reason) = outcome {
                errors.push(ConfigError {
                    key: key.clone(),
                    reason,
                });
            }
        }
        (config, errors)
    }

    /// Takes what `previous` made of a record that this configuration could not read.
    pub fn keep_previous(&mut self, key: &RecordKey, previous: &Self) {
        let name = key.name.as_str();
        match key.kind {
            RecordKind::Route => copy(&mut self.routes, &previous.routes, name),
            RecordKind::Workspace => copy(&mut self.workspaces, &previous.workspaces, name),
            RecordKind::Priority => copy(&mut self.priorities, &previous.priorities, name),
            RecordKind::ModelVersion => copy(&mut self.versions, &previous.versions, name),
            RecordKind::Target => copy(&mut self.targets, &previous.targets, name),
            RecordKind::Drain => copy(&mut self.drains, &previous.drains, name),
            RecordKind::Operator => copy(&mut self.operators, &previous.operators, name),
        }
    }

    /// Returns the operator whose key this is.
    pub fn operator_by_key(&self, key: &str) -> Option<(&Actor, &Operator)> {
        let owns = |operator: &Operator| {
            operator
                .keys
                .iter()
                .fold(false, |found, hash| hash.matches(key) | found)
        };
        self.operators.iter().find(|(_, operator)| owns(operator))
    }

    /// Returns the workspace whose API key this is.
    pub fn workspace_by_key(&self, key: &str) -> Option<(&WorkspaceId, &Workspace)> {
        let owns = |workspace: &Workspace| {
            workspace
                .keys
                .iter()
                .fold(false, |found, hash| hash.matches(key) | found)
        };
        self.workspaces
            .iter()
            .find(|(_, workspace)| owns(workspace))
    }

    /// Returns whether operators drain a target, by its own name or by its host's.
    pub fn is_drained(&self, id: &TargetId) -> bool {
        let host = self.targets.get(id).map(|target| target.host.as_str());
        let named = |name: &str| self.drains.contains_key(name);
        named(id.as_str()) || host.is_some_and(named)
    }

    fn insert(&mut self, record: &Record) -> Result<(), String> {
        let name = record.name.as_str();
        match record.kind {
            RecordKind::Route => put(&mut self.routes, name, record),
            RecordKind::Workspace => put(&mut self.workspaces, name, record),
            RecordKind::Priority => put(&mut self.priorities, name, record),
            RecordKind::ModelVersion => put(&mut self.versions, name, record),
            RecordKind::Target => put(&mut self.targets, name, record),
            RecordKind::Drain => put(&mut self.drains, name, record),
            RecordKind::Operator => put(&mut self.operators, name, record),
        }
    }
}

fn copy<K, V>(map: &mut BTreeMap<K, V>, previous: &BTreeMap<K, V>, name: &str)
where
    K: std::str::FromStr + Ord,
    V: Clone,
{
    let Ok(key) = name.parse::<K>() else { return };
    if let Some(value) = previous.get(&key) {
        map.insert(key, value.clone());
    }
}

fn put<K, V>(map: &mut BTreeMap<K, V>, name: &str, record: &Record) -> Result<(), String>
where
    K: std::str::FromStr + Ord,
    K::Err: std::fmt::Display,
    V: DeserializeOwned,
{
    let key = name.parse().map_err(|error: K::Err| error.to_string())?;
    let body = serde_json::from_value(Value::Object(record.body.clone()))
        .map_err(|error| error.to_string())?;
    map.insert(key, body);
    Ok(())
}
