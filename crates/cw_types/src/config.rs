//! The typed view of a configuration snapshot.

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

/// The error for a record that this process cannot read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("record {key}: {reason}"))]
pub struct ConfigError {
    /// The key of the record.
    pub key: RecordKey,
    /// Why the record cannot be read.
    pub reason: String,
}

/// A configuration in the typed form that the decision code reads.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// The revision of the snapshot.
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
    /// Drains by the name of the drained target or host.
    pub drains: BTreeMap<String, Drain>,
    /// Operators by name.
    pub operators: BTreeMap<Actor, Operator>,
}

impl Config {
    /// Reads all records of `snapshot`. Returns the configuration of the valid records, and an
    /// error for each of the others.
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

    /// Copies the record `key` from `previous`, because this configuration could not read it.
    pub fn keep_previous(&mut self, key: &RecordKey, previous: &Self) {
        let name = key.name.as_str();
        match key.kind {
            RecordKind::Route => copy_entry(&mut self.routes, &previous.routes, name),
            RecordKind::Workspace => copy_entry(&mut self.workspaces, &previous.workspaces, name),
            RecordKind::Priority => copy_entry(&mut self.priorities, &previous.priorities, name),
            RecordKind::ModelVersion => copy_entry(&mut self.versions, &previous.versions, name),
            RecordKind::Target => copy_entry(&mut self.targets, &previous.targets, name),
            RecordKind::Drain => copy_entry(&mut self.drains, &previous.drains, name),
            RecordKind::Operator => copy_entry(&mut self.operators, &previous.operators, name),
        }
    }

    /// Returns the operator to whom `key` belongs.
    pub fn operator_by_key(&self, key: &str) -> Option<(&Actor, &Operator)> {
        let owns = |operator: &Operator| {
            operator
                .keys
                .iter()
                .fold(false, |found, hash| hash.matches(key) | found)
        };
        self.operators.iter().find(|(_, operator)| owns(operator))
    }

    /// Returns the workspace to which the API key `key` belongs.
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

    /// Returns whether a target is drained, under its own name or that of its host.
    pub fn is_drained(&self, id: &TargetId) -> bool {
        let host = self.targets.get(id).map(|target| target.host.as_str());
        let named = |name: &str| self.drains.contains_key(name);
        named(id.as_str()) || host.is_some_and(named)
    }

    fn insert(&mut self, record: &Record) -> Result<(), String> {
        let name = record.name.as_str();
        match record.kind {
            RecordKind::Route => insert_body(&mut self.routes, name, record),
            RecordKind::Workspace => insert_body(&mut self.workspaces, name, record),
            RecordKind::Priority => insert_body(&mut self.priorities, name, record),
            RecordKind::ModelVersion => insert_body(&mut self.versions, name, record),
            RecordKind::Target => insert_body(&mut self.targets, name, record),
            RecordKind::Drain => insert_body(&mut self.drains, name, record),
            RecordKind::Operator => insert_body(&mut self.operators, name, record),
        }
    }
}

fn copy_entry<K, V>(map: &mut BTreeMap<K, V>, previous: &BTreeMap<K, V>, name: &str)
where
    K: std::str::FromStr + Ord,
    V: Clone,
{
    let Ok(key) = name.parse::<K>() else { return };
    if let Some(value) = previous.get(&key) {
        map.insert(key, value.clone());
    }
}

fn insert_body<K, V>(map: &mut BTreeMap<K, V>, name: &str, record: &Record) -> Result<(), String>
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
