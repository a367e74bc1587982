//! Tests that callers get complete answers through an entry when engines and connections fail.

#![expect(
    clippy::disallowed_methods,
    reason = "what the programs under test send has an end"
)]

mod entry_kit;

use std::time::Duration;

use cw_types::Ran;
use cw_types::Rate;
use cw_types::Recovery;
use cw_wire::NotRunReason;
use entry_kit::API_KEY;
use entry_kit::Script;
use entry_kit::Setup;
use entry_kit::complete;
use entry_kit::send;
use entry_kit::text;
use rstest::rstest;

const STREAM_BODY: &str = r#"{"model":"chat","prompt":"hi","max_tokens":20,"stream":true}"#;
const UNSTREAMED_BODY: &str =
    r#"{"model":"chat","prompt":"hi","max_tokens":20,"return_token_ids":true}"#;

#[rstest]
#[tokio::test]
async fn a_stream_carries_every_token_and_ends_with_done() {
    let setup = Setup::engines(1, &[Script::Run]);
    let entry = setup.entry();

    let reply = complete(&entry, &[], STREAM_BODY).await;

    assert_eq!(reply.status, 200);
    assert_eq!(reply.streamed_text(), text(20));
    assert!(reply.body.ends_with("data: [DONE]\n\n"));
}

#[rstest]
#[tokio::test]
async fn an_answer_without_streaming_carries_text_and_token_ids() {
    let setup = Setup::engines(1, &[Script::Run]);
    let entry = setup.entry();

    let reply = complete(&entry, &[], UNSTREAMED_BODY).await;

    let json = reply.json();
    assert_eq!(json["choices"][0]["text"], text(20));
    assert_eq!(json["choices"][0]["token_ids"][19], 19 * 7 + 1);
    assert_eq!(json["usage"]["completion_tokens"], 20);
}

#[rstest]
#[tokio::test]
async fn a_chat_request_gets_a_message() {
    let setup = Setup::engines(1, &[Script::Run]);
    let entry = setup.entry();
    let body = r#"{"model":"chat","messages":[{"role":"user","content":"hi"}],"max_tokens":2}"#;
    let bearer = format!("Bearer {API_KEY}");
    let headers = [("authorization", bearer.as_str())];

    let reply = send(&entry, "POST", "/v1/chat/completions", &headers, body).await;

    assert_eq!(reply.json()["choices"][0]["message"]["content"], text(2));
}

#[rstest]
#[case::engine_dies(Script::CrashAfter(5))]
#[case::connection_breaks(Script::DisconnectAfter(5))]
#[case::connection_goes_silent(Script::SilentAfter(5))]
#[case::engine_stalls(Script::StallAfter(5))]
#[case::head_never_comes(Script::NoResponse)]
#[case::frames_repeated_and_skipped(Script::RepeatAndSkip(5))]
#[case::dies_before_the_first_token(Script::CrashAfter(0))]
#[tokio::test]
async fn a_stream_continues_after_a_lost_attempt(
    #[case] script: Script,
    #[values(Recovery::Latency, Recovery::Thrift)] recovery: Recovery,
) {
    let mut setup = Setup::engines(3, &[script, Script::Run]);
    setup.recovery = recovery;
    let entry = setup.entry();

    let reply = complete(&entry, &[], STREAM_BODY).await;

    assert_eq!(reply.streamed_text(), text(20));
    assert!(reply.body.ends_with("data: [DONE]\n\n"));
}

#[rstest]
#[tokio::test]
async fn a_lost_generation_ends_the_stream_with_an_error_when_no_target_is_left() {
    let setup = Setup::engines(1, &[Script::CrashAfter(5)]);
    let entry = setup.entry();

    let reply = complete(&entry, &[], STREAM_BODY).await;

    assert_eq!(reply.streamed_text(), text(5));
    assert!(
        reply
            .body
            .contains("event: error\ndata: {\"error\":{\"code\":\"generation_lost\"")
    );
    assert!(!reply.body.contains("[DONE]"));
}

#[rstest]
#[case::no_key(&[], STREAM_BODY, 401, "unauthorized")]
#[case::wrong_key(&[("authorization", "Bearer nobody")], STREAM_BODY, 401, "unauthorized")]
#[case::bad_json(&[AUTH], "{", 422, "bad_request")]
#[case::unknown_field(&[AUTH], r#"{"model":"chat","prompt":"x","colour":1}"#, 422, "bad_request")]
#[case::unknown_model(&[AUTH], r#"{"model":"none","prompt":"x"}"#, 404, "unknown_model")]
#[case::no_tokens(&[AUTH], r#"{"model":"chat","prompt":"x","max_tokens":0}"#, 422, "bad_request")]
#[case::held_tokens_without_event(
    &[AUTH], r#"{"model":"chat","prompt":"x","output_so_far":[1]}"#, 422, "bad_request"
)]
#[tokio::test]
async fn an_invalid_request_is_refused_with_its_status_and_error_code(
    #[case] headers: &[(&str, &str)],
    #[case] body: &str,
    #[case] status: u16,
    #[case] code: &str,
) {
    let setup = Setup::engines(1, &[Script::Run]);
    let entry = setup.entry();

    let reply = send(&entry, "POST", "/v1/completions", headers, body).await;

    assert_eq!((reply.status, reply.code().as_str()), (status, code));
    assert_eq!(reply.json()["error"]["ran"], "no");
    assert_eq!(setup.dispatched(), 0);
}

/// The authorization header of the workspace `a`.
const AUTH: (&str, &str) = ("authorization", "Bearer key-of-workspace-a");

#[rstest]
#[tokio::test]
async fn a_body_over_the_limit_is_too_large() {
    let setup = Setup::engines(1, &[Script::Run]);
    let entry = setup.entry();
    let body = format!(r#"{{"model":"chat","prompt":"{}"}}"#, "x".repeat(65 << 10));

    let reply = complete(&entry, &[], &body).await;

    assert_eq!((reply.status, reply.code().as_str()), (413, "too_large"));
}

#[rstest]
#[tokio::test]
async fn a_request_that_no_target_takes_in_time_was_not_run() {
    let mut setup = Setup::engines(2, &[Script::Refuse(NotRunReason::Busy)]);
    setup.patience = Duration::from_millis(300);
    let entry = setup.entry();

    let reply = complete(&entry, &[], STREAM_BODY).await;

    assert_eq!((reply.status, reply.code().as_str()), (504, "expired"));
    assert_eq!(reply.json()["error"]["ran"], "no");
    assert!(reply.headers.contains_key("retry-after"));
}

#[rstest]
#[tokio::test]
async fn a_request_waits_in_the_queue_until_a_target_takes_it() {
    let busy = Script::Refuse(NotRunReason::Busy);
    let setup = Setup::engines(2, &[busy, busy, busy, busy, Script::Run]);
    let entry = setup.entry();

    let reply = complete(&entry, &[], STREAM_BODY).await;

    assert_eq!(reply.streamed_text(), text(20));
}

#[rstest]
#[tokio::test]
async fn a_request_over_its_quota_is_refused_and_not_run() {
    let mut setup = Setup::engines(1, &[Script::Run]);
    setup.quota.requests = Rate(0.01);
    let entry = setup.entry();

    let first = complete(&entry, &[], STREAM_BODY).await;
    let second = complete(&entry, &[], STREAM_BODY).await;

    assert_eq!(first.status, 200);
    assert_eq!((second.status, second.code().as_str()), (429, "over_quota"));
    assert_eq!(second.json()["error"]["ran"], "no");
    assert!(second.headers.contains_key("retry-after"));
    assert_eq!(setup.dispatched(), 1);
}

#[rstest]
#[tokio::test]
async fn a_caller_reconnects_with_its_last_event_id_through_another_entry() {
    let setup = Setup::engines(1, &[Script::Run]);
    let first = setup.entry();
    let reply = complete(&first, &[], STREAM_BODY).await;
    let id = reply.last_id().expect("events have ids");
    let id = id.replacen("/20/", "/7/", 1);
    first.kill();
    let second = setup.entry();

    let reply = complete(&second, &[("last-event-id", &id)], STREAM_BODY).await;

    let rest: String = (7..20).map(|index| entry_kit::token(index).text).collect();
    assert_eq!(reply.streamed_text(), rest);
    assert_eq!(setup.engines[0].dispatched(), 1);
}

#[rstest]
#[tokio::test]
async fn a_caller_never_reaches_a_generation_of_another_workspace() {
    let setup = Setup::engines(1, &[Script::Run]);
    let entry = setup.entry();
    let reply = complete(&entry, &[], STREAM_BODY).await;
    let id = reply.last_id().expect("events have ids");
    let id = id.replacen("/20/", "/7/", 1);
    let headers = [("authorization", "Bearer other"), ("last-event-id", &id)];

    let reply = send(&entry, "POST", "/v1/completions", &headers, STREAM_BODY).await;

    assert_eq!(reply.code(), "generation_lost");
    assert_eq!(setup.engines[0].dispatched(), 1);
}

#[rstest]
#[tokio::test]
async fn a_caller_that_sends_its_tokens_continues_without_the_former_agent() {
    let setup = Setup::engines(2, &[Script::Run]);
    let entry = setup.entry();
    let reply = complete(&entry, &[], STREAM_BODY).await;
    let id = reply.last_id().expect("events have ids");
    let id = id.replacen("/20/", "/3/", 1);
    let with_lost_agent = id.replace("/e0/", "/e9/").replace("/e1/", "/e9/");
    let body = r#"{"model":"chat","prompt":"hi","max_tokens":20,"stream":true,
        "output_so_far":[1,8,15]}"#;

    let reply = complete(&entry, &[("last-event-id", &with_lost_agent)], body).await;

    let rest: String = (3..20).map(|index| entry_kit::token(index).text).collect();
    assert_eq!(reply.streamed_text(), rest);
}

#[rstest]
#[tokio::test]
async fn an_event_id_that_names_an_adapter_of_no_route_starts_nothing() {
    let setup = Setup::engines(1, &[Script::Run]);
    let entry = setup.entry();
    let reply = complete(&entry, &[], STREAM_BODY).await;
    let id = reply.last_id().expect("events have ids");
    let forged = format!("{}/foreign-adapter", id.replacen("/20/", "/0/", 1));

    let reply = complete(&entry, &[("last-event-id", &forged)], STREAM_BODY).await;

    assert_eq!(reply.code(), "unknown_generation");
    assert_eq!(setup.dispatched(), 1);
}

/// Disconnects a caller in the middle of its answer, and returns the number of cancellations once
/// `wait` has returned.
async fn cancels_after_disconnect(setup: &Setup, wait: impl AsyncFn(&Setup)) -> usize {
    let entry = std::sync::Arc::new(setup.entry());
    let call = {
        let entry = std::sync::Arc::clone(&entry);
        tokio::spawn(async move { complete(&entry, &[], STREAM_BODY).await })
    };
    while setup.dispatched() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    call.abort();
    wait(setup).await;
    cancel_count(setup)
}

fn cancel_count(setup: &Setup) -> usize {
    let state = setup.engines[0].state.lock().expect("no test panics here");
    state.cancels.len()
}

fn setup_with_unfinished_output(idempotent: bool) -> Setup {
    let mut setup = Setup::engines(1, &[Script::HeartbeatAfter(5)]);
    setup.idempotent = idempotent;
    setup.absence = Duration::from_millis(100);
    setup
}

#[rstest]
#[tokio::test]
async fn a_generation_whose_caller_stays_disconnected_is_cancelled() {
    let setup = setup_with_unfinished_output(true);
    let until_cancelled = async |setup: &Setup| {
        while cancel_count(setup) == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };

    let cancel_count = cancels_after_disconnect(&setup, until_cancelled).await;

    assert_eq!(cancel_count, 1);
}

#[rstest]
#[tokio::test]
async fn non_idempotent_work_continues_without_its_caller() {
    let setup = setup_with_unfinished_output(false);
    let longer_than_absence =
        async |_: &Setup| tokio::time::sleep(Duration::from_millis(600)).await;

    let cancel_count = cancels_after_disconnect(&setup, longer_than_absence).await;

    assert_eq!((cancel_count, setup.dispatched()), (0, 1));
}

#[rstest]
#[tokio::test]
async fn a_plain_service_gets_the_call_and_its_answer_reaches_the_caller() {
    let setup = Setup::services(1, &[Script::Run]);
    let entry = setup.entry();

    let reply = send(&entry, "PUT", "/v1/services/loans/a/b?c=d", &[AUTH], "body").await;

    assert_eq!((reply.status, reply.body.as_str()), (201, "half and half"));
    assert_eq!(reply.headers["x-answer"], "yes");
    let state = setup.services[0].state.lock().expect("no test panics here");
    let cw_wire::Work::Call(call) = &state.dispatches[0].work else {
        panic!("a service gets calls");
    };
    assert_eq!(call.head.path, "/a/b?c=d");
    assert!(!call.head.headers.contains_key("authorization"));
}

#[rstest]
#[tokio::test]
async fn an_idempotent_call_runs_again_and_its_partial_answer_is_dropped() {
    let setup = Setup::services(2, &[Script::CrashAfter(1), Script::Run]);
    let entry = setup.entry();

    let reply = send(&entry, "GET", "/v1/services/loans/x", &[AUTH], "").await;

    assert_eq!((reply.status, reply.body.as_str()), (201, "half and half"));
    assert_eq!(setup.dispatched(), 2);
}

#[rstest]
#[case::by_route(false, &[AUTH])]
#[case::by_request(true, &[AUTH, ("x-idempotent", "false")])]
#[tokio::test]
async fn a_non_idempotent_call_is_never_dispatched_twice(
    #[case] route: bool,
    #[case] headers: &[(&str, &str)],
) {
    let mut setup = Setup::services(2, &[Script::CrashAfter(1), Script::Run]);
    setup.idempotent = route;
    let entry = setup.entry();

    let reply = send(&entry, "POST", "/v1/services/loans/x", headers, "").await;

    assert_eq!(
        (reply.status, reply.code().as_str()),
        (409, "outcome_unknown")
    );
    assert_ne!(reply.json()["error"]["ran"], "no");
    assert_eq!(setup.dispatched(), 1);
}

#[rstest]
#[tokio::test]
async fn a_refused_non_idempotent_call_is_reported_as_not_run() {
    let mut setup = Setup::services(1, &[Script::Refuse(NotRunReason::Leaving)]);
    setup.idempotent = false;
    let entry = setup.entry();

    let reply = send(&entry, "POST", "/v1/services/loans/x", &[AUTH], "").await;

    assert_eq!(reply.json()["error"]["ran"], Ran::No.to_string());
}

#[rstest]
#[tokio::test]
async fn a_draining_entry_refuses_new_requests_and_completes_running_ones() {
    let setup = Setup::engines(2, &[Script::SilentAfter(5), Script::Run]);
    let entry = std::sync::Arc::new(setup.entry());
    let running = {
        let entry = std::sync::Arc::clone(&entry);
        tokio::spawn(async move { complete(&entry, &[], STREAM_BODY).await })
    };
    while setup.engines.iter().all(|agent| agent.dispatched() == 0) {
        tokio::task::yield_now().await;
    }
    let draining = {
        let entry = std::sync::Arc::clone(&entry);
        tokio::spawn(async move { entry.drain().await })
    };
    let mut late = complete(&entry, &[], STREAM_BODY).await;
    while late.status == 200 {
        late = complete(&entry, &[], STREAM_BODY).await;
    }

    let reply = running.await.expect("the caller gets its answer");
    draining.await.expect("the drain ends");

    assert_eq!(late.code(), "not_ready");
    assert_eq!(late.json()["error"]["ran"], "no");
    assert_eq!(reply.streamed_text(), text(20));
}
