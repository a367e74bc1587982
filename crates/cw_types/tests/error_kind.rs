//! The table from error kind to answer is closed and honest.

use std::collections::BTreeSet;

use cw_types::ErrorKind;
use cw_types::Ran;
use rstest::rstest;

#[rstest]
fn each_kind_has_one_row_and_a_code_of_its_own() {
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
fn a_caller_is_invited_to_call_again_only_when_nothing_ran_or_the_key_protects_it() {
    for kind in ErrorKind::all().filter(|kind| kind.is_retryable()) {
        let safe = kind.ran() == Ran::No || kind == ErrorKind::InProgress;

        assert!(safe, "{kind} invites a second run");
    }
}
