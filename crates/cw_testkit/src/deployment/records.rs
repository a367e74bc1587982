//! The configuration records of a deployment.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cw_types::KeyHash;
use cw_types::ModelVersion;
use cw_types::Priority;
use cw_types::Record;
use cw_types::RecordKind;
use cw_types::Recovery;
use cw_types::Revision;
use cw_types::Route;
use cw_types::RouteTarget;
use cw_types::SchemaVersion;
use cw_types::Snapshot;
use cw_types::Target;
use cw_types::TargetId;
use cw_types::Workspace;
use serde::Serialize;
use serde_json::Value;

use super::deployment_spec::DeploymentSpec;
use super::deployment_spec::MODEL;
use super::deployment_spec::ROUTE_LATENCY;
use super::deployment_spec::ROUTE_THRIFT;
use super::deployment_spec::SERVICE;
use super::deployment_spec::SERVICE_ONCE;
use super::deployment_spec::VERSION;

/// The priority of all routes.
const NORMAL_PRIORITY: &str = "normal";
/// The priority above [`NORMAL_PRIORITY`].
const HIGH_PRIORITY: &str = "high";

/// Returns the API key of the workspace with this index.
pub fn api_key(workspace: usize) -> String {
    format!("key-of-workspace-{workspace}")
}

/// Returns the configuration of a deployment with these targets.
pub(super) fn snapshot(spec: &DeploymentSpec, targets: BTreeMap<TargetId, Target>) -> Snapshot {
    let mut records = vec![
        record(RecordKind::Priority, NORMAL_PRIORITY, &Priority { rank: 1 }),
        record(RecordKind::Priority, HIGH_PRIORITY, &Priority { rank: 2 }),
        record(
            RecordKind::ModelVersion,
            "settlement-v1",
            &model_version(spec),
        ),
        record(
            RecordKind::Route,
            ROUTE_LATENCY,
            &model_route(spec, Recovery::Latency),
        ),
        record(
            RecordKind::Route,
            ROUTE_THRIFT,
            &model_route(spec, Recovery::Thrift),
        ),
        record(
            RecordKind::Route,
            SERVICE,
            &service_route(spec, SERVICE, true),
        ),
        record(
            RecordKind::Route,
            SERVICE_ONCE,
            &service_route(spec, SERVICE_ONCE, false),
        ),
    ];
    for index in 0..spec.workspaces {
        let name = format!("workspace-{index}");
        records.push(record(
            RecordKind::Workspace,
            &name,
            &workspace(spec, index),
        ));
    }
    for (id, target) in targets {
        records.push(record(RecordKind::Target, id.as_str(), &target));
    }
    let revision = Revision(1);
    Snapshot {
        revision,
        records: records
            .into_iter()
            .map(|record| (record.key(), (revision, record)))
            .collect(),
        ..Snapshot::default()
    }
}

fn model_version(spec: &DeploymentSpec) -> ModelVersion {
    ModelVersion {
        model: MODEL.parse().expect("a valid name"),
        version: VERSION.parse().expect("a valid name"),
        weights: "settlement-v1".to_owned(),
        adapters: BTreeSet::new(),
        targets: u32::try_from(spec.engines).unwrap_or(u32::MAX),
        keep: Duration::ZERO,
    }
}

fn model_route(spec: &DeploymentSpec, recovery: Recovery) -> Route {
    let to = RouteTarget::Model {
        model: MODEL.parse().expect("a valid name"),
        version: VERSION.parse().expect("a valid name"),
        adapter: None,
    };
    route(spec, to, recovery, true)
}

fn service_route(spec: &DeploymentSpec, name: &str, idempotent: bool) -> Route {
    let to = RouteTarget::Service {
        service: name.to_owned(),
    };
    route(spec, to, Recovery::Latency, idempotent)
}

fn route(spec: &DeploymentSpec, to: RouteTarget, recovery: Recovery, idempotent: bool) -> Route {
    Route {
        to,
        workspaces: BTreeSet::new(),
        priority: NORMAL_PRIORITY.parse().expect("a valid name"),
        recovery,
        idempotent,
        patience: spec.patience,
    }
}

fn workspace(spec: &DeploymentSpec, index: usize) -> Workspace {
    Workspace {
        keys: vec![KeyHash::of(&api_key(index))],
        quota: spec.quota.clone(),
        weight: 1,
    }
}

fn record<T: Serialize>(kind: RecordKind, name: &str, body: &T) -> Record {
    let Ok(Value::Object(body)) = serde_json::to_value(body) else {
        panic!("a record is serialized as a JSON object");
    };
    Record {
        kind,
        name: name.to_owned(),
        schema: SchemaVersion(1),
        body,
    }
}
