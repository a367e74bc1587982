//! Each error kind has a complete and consistent response.

use std::collections::BTreeSet;

use cw_types::ErrorKind;
use cw_types::Ran;
use rstest::rstest;

#[rstest]
fn each_kind_has_a_unique_code_and_an_error_status() {
    let codes: BTreeSet<&str> = ErrorKind::all().map(ErrorKind::code).collect();

    assert_eq!(codes.len(), ErrorKind::all().count());
    for kind in ErrorKind::all() {
        assert!((400..600).contains(&kind.status()), "{kind}");
        assert!(!kind.message().is_empty(), "{kind}");
    }
}

#[rstest]
fn the_code_is_the_serialized_name() {
    for kind in ErrorKind::all() {
        let json = serde_json::to_value(kind).expect("a kind is a string");

        assert_eq!(json, kind.code());
    }
}

#[rstest]
fn a_retryable_kind_did_not_run_or_is_protected_by_the_idempotency_key() {
    for kind in ErrorKind::all().filter(|kind| kind.is_retryable()) {
        let safe = kind.ran() == Ran::No || kind == ErrorKind::InProgress;

        assert!(safe, "a retry after {kind} may execute the request twice");
    }
}
