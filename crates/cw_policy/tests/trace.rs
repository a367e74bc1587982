//! Tests that recorded traces replay to the same steps and to their expected outcomes.

use std::path::PathBuf;

use cw_policy::trace::Difference;
use cw_policy::trace::Ending;
use cw_policy::trace::Outcome;
use cw_policy::trace::TraceError;
use cw_policy::trace::replay;
use rstest::rstest;
use serde_json::Value;

fn read_trace(file: &PathBuf) -> String {
    std::fs::read_to_string(file).expect("the trace is a text file")
}

/// Returns the trace with a changed expected outcome.
fn with_outcome(text: &str, change: impl Fn(&mut Value)) -> String {
    let (header, rest) = text.split_once('\n').expect("the trace has several lines");
    let mut header: Value = serde_json::from_str(header).expect("the header is JSON");
    change(&mut header["outcome"]);
    format!("{header}\n{rest}")
}

#[rstest]
fn a_recorded_trace_replays_to_its_expected_outcome(
    #[files("tests/traces/*.jsonl")] file: PathBuf,
) {
    let outcome = replay(&read_trace(&file)).expect("the trace can be read");

    let outcome = outcome.unwrap_or_else(|difference| panic!("{difference}"));
    assert_eq!(outcome.out_of_order, 0);
    assert_ne!(outcome.ending, Ending::Open);
}

#[rstest]
fn a_changed_outcome_is_detected(#[files("tests/traces/*.jsonl")] file: PathBuf) {
    let changed = with_outcome(&read_trace(&file), |outcome| {
        outcome["delivered"] = 999_999.into()
    });

    let difference = replay(&changed).expect("the trace can be read");

    assert!(matches!(difference, Err(Difference::Outcome { .. })));
}

#[rstest]
fn a_missing_event_is_detected(#[files("tests/traces/*.jsonl")] file: PathBuf) {
    let text = read_trace(&file);
    // The first event after the header starts the generation; without it no later step matches.
    let mut lines: Vec<&str> = text.lines().collect();
    lines.remove(1);

    let difference = replay(&lines.join("\n")).expect("the trace can be read");

    assert!(difference.is_err());
}

#[rstest]
fn invalid_traces_are_refused() {
    assert!(matches!(replay(""), Err(TraceError::Empty)));
    assert!(matches!(
        replay("{}"),
        Err(TraceError::Line { line: 1, .. })
    ));
}

#[rstest]
fn an_outcome_is_written_with_units() {
    let outcome = Outcome {
        longest_gap: Some(std::time::Duration::from_millis(1250)),
        ..Outcome::default()
    };

    let json = serde_json::to_value(outcome).expect("the outcome is JSON");

    assert_eq!(json["slowest"], "1s 250ms");
}
