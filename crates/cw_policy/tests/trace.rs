//! Recorded traces replay to the same steps and to their stated outcomes.

use std::path::PathBuf;

use cw_policy::trace::Difference;
use cw_policy::trace::Ending;
use cw_policy::trace::Outcome;
use cw_policy::trace::TraceError;
use cw_policy::trace::replay;
use rstest::rstest;
use serde_json::Value;

fn text(file: &PathBuf) -> String {
    std::fs::read_to_string(file).expect("a trace is a text file")
}

/// Returns a trace whose stated outcome was changed.
fn restated(text: &str, change: impl Fn(&mut Value)) -> String {
    let (head, rest) = text.split_once('\n').expect("a trace has several lines");
    let mut head: Value = serde_json::from_str(head).expect("a head is JSON");
    change(&mut head["outcome"]);
    format!("{head}\n{rest}")
}

#[rstest]
fn a_recorded_trace_replays_to_its_stated_outcome(#[files("tests/traces/*.jsonl")] file: PathBuf) {
    let outcome = replay(&text(&file)).expect("a trace can be read");

    let outcome = outcome.unwrap_or_else(|difference| panic!("{difference}"));
    assert_eq!(outcome.out_of_order, 0);
    assert_ne!(outcome.ending, Ending::Open);
}

#[rstest]
fn a_changed_outcome_is_found(#[files("tests/traces/*.jsonl")] file: PathBuf) {
    let changed = restated(&text(&file), |outcome| {
        outcome["delivered"] = 999_999.into()
    });

    let difference = replay(&changed).expect("a trace can be read");

    assert!(matches!(difference, Err(Difference::Outcome { .. })));
}

#[rstest]
fn a_missing_event_is_found(#[files("tests/traces/*.jsonl")] file: PathBuf) {
    let text = text(&file);
    // The first event after the head starts the generation; without it nothing else fits.
    let mut lines: Vec<&str> = text.lines().collect();
    lines.remove(1);

    let difference = replay(&lines.join("\n")).expect("a trace can be read");

    assert!(difference.is_err());
}

#[rstest]
fn what_is_not_a_trace_is_refused() {
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

    let json = serde_json::to_value(outcome).expect("an outcome is JSON");

    assert_eq!(json["slowest"], "1s 250ms");
}
