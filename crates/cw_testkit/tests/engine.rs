//! Tests of the fake engine on its own.

mod common;

use common::call_fake;
use common::fast_timings;
use common::start_engine;
use common::wait_until;
use common::within_timeout;
use cw_testkit::Caller;
use cw_testkit::Completion;
use cw_testkit::CompletionReader;
use cw_testkit::CompletionRequest;
use cw_testkit::EngineFaults;
use cw_testkit::FakeEngine;
use cw_testkit::MODEL;
use cw_testkit::POISON;
use cw_testkit::VERSION;
use cw_types::TokenId;
use http::Method;
use serde_json::Value;
use serde_json::json;

fn body(prompt: &str, tokens: u64, so_far: &[TokenId]) -> Value {
    json!({
        "model": MODEL,
        "version": VERSION,
        "prompt": prompt,
        "max_tokens": tokens,
        "seed": 7,
        "stream": true,
        "return_token_ids": true,
        "request_id": format!("{prompt}/1"),
        "output_so_far": so_far,
    })
}

async fn open(engine: &FakeEngine, body: &Value) -> CompletionReader {
    let caller = Caller::new(engine.address, "-");
    within_timeout(caller.open_stream_with_body(body))
        .await
        .expect("the request is accepted")
}

async fn run(engine: &FakeEngine, body: &Value) -> Completion {
    within_timeout(open(engine, body).await.finish())
        .await
        .expect("the stream completes")
}

async fn load(engine: &FakeEngine) -> Value {
    let response = call_fake(engine.address, Method::GET, "/v1/load", &json!(null)).await;
    response.json()
}

fn expected(prompt: &str, tokens: u64) -> Vec<TokenId> {
    CompletionRequest::new("-", prompt, tokens).expected(MODEL, VERSION)
}

#[tokio::test]
async fn output_is_a_pure_function_of_the_request() {
    let engine = start_engine(fast_timings()).await;

    let completion = run(&engine, &body("a ledger", 20, &[])).await;

    assert!(completion.is_complete());
    assert_eq!(completion.ids, expected("a ledger", 20));
    assert_eq!(completion.finish_reason.as_deref(), Some("length"));
}

#[tokio::test]
async fn output_continues_after_the_output_so_far() {
    let engine = start_engine(fast_timings()).await;
    let whole = expected("a ledger", 20);

    let completion = run(&engine, &body("a ledger", 8, &whole[..12])).await;

    assert_eq!(completion.ids, whole[12..]);
    assert_eq!(engine.counters().output_mismatches, 0);
}

#[tokio::test]
async fn a_wrong_output_so_far_is_counted() {
    let engine = start_engine(fast_timings()).await;
    let other = expected("another ledger", 12);

    run(&engine, &body("a ledger", 8, &other)).await;

    assert_eq!(engine.counters().output_mismatches, 1);
}

#[tokio::test]
async fn a_cached_prefix_is_not_computed_again() {
    let engine = start_engine(fast_timings()).await;
    let prompt = "a long ledger ".repeat(40);

    run(&engine, &body(&prompt, 1, &[])).await;
    let first = engine.counters();
    run(&engine, &body(&prompt, 1, &[])).await;
    let second = engine.counters();

    assert_eq!(first.cached_tokens, 0);
    assert!(second.prompt_tokens - first.prompt_tokens <= 16);
    assert!(second.cached_tokens >= 100);
}

#[tokio::test]
async fn a_killed_engine_breaks_its_streams_and_restarts_with_a_new_boot_number() {
    let engine = start_engine(fast_timings()).await;
    let mut reader = open(&engine, &body("a ledger", 100_000, &[])).await;
    within_timeout(reader.read_tokens(3))
        .await
        .expect("tokens arrive");
    let before = load(&engine).await;

    engine.kill().await;
    let broken = within_timeout(reader.finish()).await;
    engine.restart().await.expect("the port is free");
    let after = load(&engine).await;

    assert!(broken.is_err());
    assert_eq!(before["boot"], 1);
    assert_eq!(after["boot"], 2);
    assert_eq!(after["running"], 0);
}

#[tokio::test]
async fn a_paused_engine_continues_its_streams() {
    let engine = start_engine(fast_timings()).await;
    let mut reader = open(&engine, &body("a ledger", 200, &[])).await;
    within_timeout(reader.read_tokens(3))
        .await
        .expect("tokens arrive");

    engine.pause();
    let read_rest = async { while let Ok(Some(_)) = reader.next().await {} };
    let paused = tokio::time::timeout(std::time::Duration::from_millis(700), read_rest).await;
    engine.resume();
    let completion = within_timeout(reader.finish())
        .await
        .expect("the stream continues");

    assert!(paused.is_err());
    assert_eq!(completion.ids, expected("a ledger", 200));
}

#[tokio::test]
async fn a_poisonous_prompt_crashes_the_engine() {
    let engine = start_engine(fast_timings()).await;
    let bystander = open(&engine, &body("a ledger", 100_000, &[])).await;

    let poison = open(&engine, &body(POISON, 4, &[])).await;
    let ends = within_timeout(futures::future::join(poison.finish(), bystander.finish())).await;
    wait_until(|| engine.counters().crashes == 1).await;

    assert!(ends.0.is_err() && ends.1.is_err());
}

#[tokio::test]
async fn a_closed_connection_cancels_its_request() {
    let engine = start_engine(fast_timings()).await;
    let mut reader = open(&engine, &body("a ledger", 1_000_000, &[])).await;
    within_timeout(reader.read_tokens(3))
        .await
        .expect("tokens arrive");

    drop(reader);

    wait_until(|| engine.counters().cancelled == 1).await;
    assert_eq!(load(&engine).await["running"], 0);
}

#[tokio::test]
async fn an_abort_is_idempotent() {
    let engine = start_engine(fast_timings()).await;
    let mut reader = open(&engine, &body("a ledger", 1_000_000, &[])).await;
    within_timeout(reader.read_tokens(3))
        .await
        .expect("tokens arrive");
    let abort = json!({ "request_id": "a ledger/1" });

    let first = call_fake(engine.address, Method::POST, "/v1/abort", &abort).await;
    let second = call_fake(engine.address, Method::POST, "/v1/abort", &abort).await;

    assert_eq!((first.status.as_u16(), second.status.as_u16()), (200, 200));
    assert_eq!(engine.counters().cancelled, 1);
}

#[tokio::test]
async fn the_last_request_can_be_made_to_finish_first() {
    let engine = start_engine(fast_timings()).await;
    engine.set_faults(EngineFaults {
        reversed: true,
        ..EngineFaults::default()
    });
    let first = open(&engine, &body("the first", 30, &[])).await;
    let second = open(&engine, &body("the second", 30, &[])).await;

    let second = within_timeout(second.finish())
        .await
        .expect("the stream completes");
    let first = within_timeout(first.finish())
        .await
        .expect("the stream completes");

    let end = |completion: &Completion| completion.arrivals.last().expect("it has tokens").at;
    assert!(end(&second) < end(&first));
    assert_eq!(first.ids, expected("the first", 30));
}

#[tokio::test]
async fn an_order_with_an_old_fencing_number_is_refused() {
    let spec = cw_testkit::EngineSpec {
        fenced: true,
        ..Default::default()
    };
    let engine = FakeEngine::start(spec).await.expect("a port is free");
    let order = |fencing: u64| {
        let load = json!({ "load": { "model": MODEL, "version": "v2", "weights": "w" } });
        json!({ "fencing": fencing, "sequence": 1, "order": load })
    };

    let newer = call_fake(engine.address, Method::POST, "/v1/orders", &order(5)).await;
    let older = call_fake(engine.address, Method::POST, "/v1/orders", &order(4)).await;
    wait_until(|| engine.counters().fenced_orders == 1).await;
    let again = call_fake(engine.address, Method::POST, "/v1/orders", &order(5)).await;

    assert_eq!(newer.status.as_u16(), 200);
    assert_eq!(older.status.as_u16(), 409);
    assert_eq!(older.json(), json!({ "highest": 5 }));
    assert_eq!(again.status.as_u16(), 200);
}

#[tokio::test]
async fn cache_events_report_their_gaps() {
    let timings = cw_testkit::EngineTimings {
        event_loss: 2,
        ..fast_timings()
    };
    let engine = start_engine(timings).await;
    run(&engine, &body(&"one ledger ".repeat(20), 1, &[])).await;
    run(&engine, &body(&"two ledger ".repeat(20), 1, &[])).await;
    run(&engine, &body(&"six ledger ".repeat(20), 1, &[])).await;

    let path = "/v1/cache/events?after=0";
    let page = call_fake(engine.address, Method::GET, path, &json!(null)).await;

    let page = page.json();
    assert_eq!(page["gap"], true);
    assert_eq!(page["events"][0]["kind"], "stored");
}
