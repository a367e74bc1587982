//! The size of a configuration snapshot and the time to parse it, by the number of workspaces.

use std::time::Instant;

use cw_types::Config;
use cw_types::Record;
use cw_types::RecordKind;
use cw_types::Revision;
use cw_types::SchemaVersion;
use cw_types::Snapshot;
use serde_json::Value;
use serde_json::json;

use super::WORKSPACE_COUNTS;
use super::linear_fit::LinearFit;

/// Targets per workspace at the planned size, which has 660 targets and 420 workspaces.
const TARGETS_PER_WORKSPACE: f64 = 660.0 / 420.0;

/// How often each snapshot is parsed.
const REPEATS: u32 = 50;

/// Returns linear fits of the size of a snapshot and of the time to parse it.
pub(super) fn fits() -> Vec<LinearFit> {
    let (mut bytes, mut times) = (Vec::new(), Vec::new());
    for workspaces in WORKSPACE_COUNTS {
        let text =
            serde_json::to_vec(&snapshot(workspaces)).expect("a snapshot serializes to JSON");
        bytes.push((workspaces as f64, text.len() as f64));
        let start = Instant::now();
        for _ in 0..REPEATS {
            let read: Snapshot =
                serde_json::from_slice(&text).expect("a serialized snapshot parses");
            std::hint::black_box(Config::from_snapshot(&read));
        }
        let micros = start.elapsed().as_secs_f64() * 1e6 / f64::from(REPEATS);
        times.push((workspaces as f64, micros));
    }
    let per = "workspace, with 660/420 targets each";
    vec![
        LinearFit::fit("snapshot", "bytes", per, bytes),
        LinearFit::fit("reading a snapshot", "us", per, times),
    ]
}

fn snapshot(workspaces: usize) -> Snapshot {
    let targets = (workspaces as f64 * TARGETS_PER_WORKSPACE) as usize;
    let workspace_records = (0..workspaces).map(|n| {
        let body = json!({
            "keys": ["ab".repeat(32), "cd".repeat(32)],
            "quota": { "concurrent": 64, "requests": "50/s", "tokens": "20000/s" },
            "weight": 10,
        });
        record(RecordKind::Workspace, &format!("workspace-{n}"), 2, body)
    });
    let target_records = (0..targets).map(|n| {
        let body = json!({
            "agent": format!("10.20.30.40:{}", 10_000 + n), "host": format!("host-{n:05}"),
            "zone": "region-1-zone-a", "region": "region-1", "kind": "engine", "fenced": true,
            "versions": { "model-one": ["2026-12-01"] },
        });
        record(RecordKind::Target, &format!("target-{n:05}"), 1, body)
    });
    let records = workspace_records.chain(target_records);
    Snapshot {
        revision: Revision(1),
        records: records
            .map(|record| (record.key(), (Revision(1), record)))
            .collect(),
        changes: Vec::new(),
    }
}

fn record(kind: RecordKind, name: &str, schema: u32, body: Value) -> Record {
    Record {
        kind,
        name: name.to_owned(),
        schema: SchemaVersion(schema),
        body: body.as_object().expect("a body is an object").clone(),
    }
}
