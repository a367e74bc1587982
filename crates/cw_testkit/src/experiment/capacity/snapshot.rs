//! The size of a snapshot and the cost of reading it, by the number of workspaces.

use std::time::Instant;

use cw_types::Config;
use cw_types::Record;
use cw_types::RecordKind;
use cw_types::Revision;
use cw_types::SchemaVersion;
use cw_types::Snapshot;
use serde_json::Value;
use serde_json::json;

use super::WORKSPACES;
use super::line::Line;

/// Targets for each workspace at the planned size: 660 to 420.
const TARGETS_EACH: f64 = 660.0 / 420.0;

/// How often each snapshot is read.
const REPEATS: u32 = 50;

/// Returns the lines of a snapshot's bytes and of the time to read it.
pub(super) fn lines() -> Vec<Line> {
    let (mut bytes, mut times) = (Vec::new(), Vec::new());
    for workspaces in WORKSPACES {
        let text = serde_json::to_vec(&snapshot(workspaces)).expect("a snapshot is JSON");
        bytes.push((workspaces as f64, text.len() as f64));
        let start = Instant::now();
        for _ in 0..REPEATS {
            let read: Snapshot = serde_json::from_slice(&text).expect("it was a snapshot");
            std::hint::black_box(Config::from_snapshot(&read));
        }
        let micros = start.elapsed().as_secs_f64() * 1e6 / f64::from(REPEATS);
        times.push((workspaces as f64, micros));
    }
    let per = "workspace, with 660/420 targets each";
    vec![
        Line::fit("snapshot", "bytes", per, bytes),
        Line::fit("reading a snapshot", "us", per, times),
    ]
}

fn snapshot(workspaces: usize) -> Snapshot {
    let targets = (workspaces as f64 * TARGETS_EACH) as usize;
    let of_workspaces = (0..workspaces).map(|n| {
        let body = json!({
            "keys": ["ab".repeat(32), "cd".repeat(32)],
            "quota": { "concurrent": 64, "requests": "50/s", "tokens": "20000/s" },
            "weight": 10,
        });
        record(RecordKind::Workspace, &format!("workspace-{n}"), 2, body)
    });
    let of_targets = (0..targets).map(|n| {
        let body = json!({
            "agent": format!("10.20.30.40:{}", 10_000 + n), "host": format!("host-{n:05}"),
            "zone": "region-1-zone-a", "region": "region-1", "kind": "engine", "fenced": true,
            "versions": { "model-one": ["2026-12-01"] },
        });
        record(RecordKind::Target, &format!("target-{n:05}"), 1, body)
    });
    let records = of_workspaces.chain(of_targets);
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
