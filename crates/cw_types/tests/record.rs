//! Records preserve unknown fields, and a snapshot converts to a configuration.

use cw_types::Config;
use cw_types::KeyHash;
use cw_types::Record;
use cw_types::RecordKey;
use cw_types::RecordKind;
use cw_types::Revision;
use cw_types::SchemaVersion;
use cw_types::Snapshot;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

fn record(kind: RecordKind, name: &str, body: Value) -> Record {
    Record {
        kind,
        name: name.to_owned(),
        schema: SchemaVersion(1),
        body: body.as_object().expect("a body is an object").clone(),
    }
}

fn snapshot(records: Vec<Record>) -> Snapshot {
    let entry = |record: Record| (record.key(), (Revision(1), record));
    Snapshot {
        revision: Revision(1),
        records: records.into_iter().map(entry).collect(),
        changes: Vec::new(),
    }
}

#[rstest]
fn a_snapshot_with_unknown_fields_round_trips_through_json() {
    let body = json!({"rank": 3, "colour": "blue"});
    let before = snapshot(vec![record(RecordKind::Priority, "fast", body)]);

    let text = serde_json::to_string(&before).expect("a snapshot serializes to JSON");
    let after: Snapshot = serde_json::from_str(&text).expect("the JSON text is a snapshot");

    assert_eq!(after, before);
}

#[rstest]
fn an_invalid_record_does_not_affect_the_others() {
    let good = record(RecordKind::Priority, "fast", json!({"rank": 3}));
    let bad = record(RecordKind::Priority, "slow", json!({"rank": "high"}));

    let (config, errors) = Config::from_snapshot(&snapshot(vec![good, bad]));

    assert_eq!(config.priorities.len(), 1);
    assert_eq!(errors.len(), 1);
    assert_eq!(errors[0].key.to_string(), "priority/slow");
}

#[rstest]
fn an_api_key_identifies_only_its_own_workspace() {
    let of = |key| json!({"keys": [KeyHash::of(key)]});
    let records = vec![
        record(RecordKind::Workspace, "a", of("key-a")),
        record(RecordKind::Workspace, "b", of("key-b")),
    ];

    let (config, _) = Config::from_snapshot(&snapshot(records));
    let found = |key| config.workspace_by_key(key).map(|(id, _)| id.to_string());

    assert_eq!(found("key-b"), Some("b".to_owned()));
    assert_eq!(found("key-c"), None);
}

#[rstest]
#[case("route/chat", true)]
#[case("route/", false)]
#[case("lane/chat", false)]
#[case("route", false)]
fn a_record_key_has_a_known_kind_and_a_name(#[case] text: &str, #[case] valid: bool) {
    let key = text.parse::<RecordKey>();

    assert_eq!(key.is_ok(), valid);
}
