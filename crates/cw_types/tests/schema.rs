//! Conversions between schema versions.

use cw_types::Record;
use cw_types::RecordKind;
use cw_types::SchemaError;
use cw_types::SchemaVersion;
use cw_types::Workspace;
use cw_types::convert;
use proptest::prelude::*;
use serde_json::Value;
use serde_json::json;

fn workspace(schema: u32, body: Value) -> Record {
    let Value::Object(body) = body else {
        panic!("a body is an object");
    };
    Record {
        kind: RecordKind::Workspace,
        name: "w".to_owned(),
        schema: SchemaVersion(schema),
        body,
    }
}

#[test]
fn token_limit_of_an_old_workspace_is_converted() {
    let old = workspace(1, json!({ "keys": [], "tokens_per_minute": 6000 }));

    let new = convert(&old, SchemaVersion(2)).expect("the workspace converts");

    let typed: Workspace =
        serde_json::from_value(new.body.into()).expect("the body is a workspace");
    assert_eq!(typed.quota.tokens.0, 100.0);
}

#[test]
fn unknown_newer_version_is_an_error() {
    let newer = workspace(9, json!({ "keys": [] }));

    let outcome = convert(&newer, SchemaVersion(2));

    assert!(matches!(outcome, Err(SchemaError::Unknown { .. })));
}

proptest! {
    // The fixed seed makes every run generate the same cases.
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(61),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn new_to_old_and_back_is_lossless(
        tokens in proptest::option::of(0_u32..1_000_000),
        concurrent in proptest::option::of(0_u32..1000),
        unknown in proptest::option::of("[a-z]{1,8}"),
        inner in proptest::option::of("[a-z]{1,8}"),
    ) {
        let mut quota = serde_json::Map::new();
        if let Some(tokens) = tokens {
            quota.insert("tokens".to_owned(), format!("{tokens}/s").into());
        }
        if let Some(concurrent) = concurrent {
            quota.insert("concurrent".to_owned(), concurrent.into());
        }
        if let Some(inner) = inner {
            quota.insert("later".to_owned(), inner.into());
        }
        let mut body = json!({ "keys": [], "weight": 3 });
        if !quota.is_empty() {
            body["quota"] = quota.into();
        }
        if let Some(unknown) = unknown {
            body["unknown"] = unknown.into();
        }
        let new = workspace(2, body);

        let old = convert(&new, SchemaVersion(1)).expect("the workspace converts");
        let back = convert(&old, SchemaVersion(2)).expect("the workspace converts");

        prop_assert_eq!(back, new);
    }

    #[test]
    fn old_to_new_and_back_is_lossless(
        rate in 0_u32..1_000_000,
        unknown in "[a-z]{1,8}",
    ) {
        let rate = f64::from(rate);
        let body = json!({ "keys": [], "tokens_per_minute": rate * 60.0, "unknown": unknown });
        let old = workspace(1, body);

        let new = convert(&old, SchemaVersion(2)).expect("the workspace converts");
        let back = convert(&new, SchemaVersion(1)).expect("the workspace converts");

        prop_assert_eq!(back, old);
    }
}
