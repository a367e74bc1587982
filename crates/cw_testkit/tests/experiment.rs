//! Tests of the calculations behind the figures of the experiments.

use std::time::Duration;
use std::time::Instant;

use cw_testkit::Completion;
use cw_testkit::CompletionRequest;
use cw_testkit::Event;
use cw_testkit::MODEL;
use cw_testkit::VERSION;
use cw_testkit::experiment::Report;
use cw_testkit::experiment::Summary;
use cw_testkit::experiment::Tally;
use cw_testkit::experiment::write_table;
use cw_types::TokenId;
use rstest::rstest;
use serde_json::json;

fn completion(ids: Vec<TokenId>) -> Completion {
    Completion {
        ids,
        finish_reason: Some("length".to_owned()),
        closed: true,
        ..Completion::default()
    }
}

fn tally(change: impl FnOnce(&mut Vec<TokenId>)) -> Tally {
    let request = CompletionRequest::new("-", "a ledger", 50);
    let mut ids = request.expected(MODEL, VERSION);
    change(&mut ids);
    let mut tally = Tally::default();
    tally.add(&request, &Ok(completion(ids)));
    tally
}

fn event(id: &str, tokens: &[u32], at: Instant) -> Event {
    let choice = json!({ "token_ids": tokens, "text": "" });
    Event {
        id: Some(id.to_owned()),
        data: Some(json!({ "choices": [choice] })),
        at,
    }
}

#[test]
fn percentiles_match_the_recorded_times() {
    let summary = Summary::of((1..=1000).map(Duration::from_millis));

    assert_eq!(summary.count, 1000);
    assert!((summary.p50_ms - 500.0).abs() < 2.0, "{summary:?}");
    assert!((summary.p95_ms - 950.0).abs() < 2.0, "{summary:?}");
    assert!((summary.max_ms - 1000.0).abs() < 2.0, "{summary:?}");
}

#[rstest]
#[case::whole(0, 0, 0, |_: &mut Vec<TokenId>| {})]
#[case::missing(3, 0, 0, |ids: &mut Vec<TokenId>| drop(ids.drain(10..13)))]
#[case::short(5, 0, 0, |ids: &mut Vec<TokenId>| ids.truncate(45))]
#[case::repeated(0, 2, 0, |ids: &mut Vec<TokenId>| {
    let again = ids[8..10].to_vec();
    ids.splice(10..10, again);
})]
#[case::mixed(0, 0, 1, |ids: &mut Vec<TokenId>| ids.insert(10, TokenId(u32::MAX)))]
fn each_kind_of_wrong_token_is_counted(
    #[case] missing: u64,
    #[case] repeated: u64,
    #[case] mixed: u64,
    #[case] change: fn(&mut Vec<TokenId>),
) {
    let tally = tally(change);

    assert_eq!(
        (tally.missing, tally.repeated, tally.mixed),
        (missing, repeated, mixed)
    );
    assert_eq!(tally.is_clean(), missing + repeated + mixed == 0);
}

#[test]
fn resume_latency_is_the_end_of_the_longest_gap_after_the_fault() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut completion = Completion::default();
    for (millis, target) in [(10, "a"), (20, "a"), (31, "a"), (531, "b"), (541, "b")] {
        completion.push(&event(&format!("g/1/1/{target}/v"), &[1], at(millis)));
    }

    let resumed = completion.resume_latency(at(25));

    assert_eq!(completion.target_at(at(25)), Some("a"));
    assert_eq!(resumed, Some(Duration::from_millis(506)));
}

#[test]
fn a_table_replaces_the_previous_one() {
    let directory = tempfile::tempdir().expect("a temporary directory is created");
    let page = directory.path().join("page.md");
    std::fs::write(&page, "# Figures\n\nWords before.\n").expect("the page can be written");
    let report = |rate: f64| {
        let mut report = Report::new("routing", json!({}));
        report.rows = vec![json!({ "policy": "affinity", "load": { "prefix_hit_rate": rate } })];
        report
    };

    write_table(&page, &report(0.25)).expect("the page can be written");
    write_table(&page, &report(0.75)).expect("the page can be written");

    let text = std::fs::read_to_string(&page).expect("the page can be read");
    assert!(text.starts_with("# Figures\n\nWords before.\n"));
    assert!(text.contains("| policy | prefix hits |\n|---|---|\n| affinity | 0.7500 |"));
    assert!(!text.contains("0.2500"));
}
