//! Tests of attempts on a plain service.

use bytes::Bytes;
use cw_types::Ran;
use cw_types::TargetKind;
use cw_types::TokenIndex;
use cw_wire::Dispatch;
use cw_wire::Failure;
use cw_wire::FinishReason;
use cw_wire::Frame;
use cw_wire::Work;
use rstest::rstest;
use serde_json::json;

use super::fake_engine::FakeEngine;
use super::fixtures::Fixture;
use super::fixtures::attempt;
use super::fixtures::call;
use super::fixtures::dispatch;
use super::fixtures::next_frame;

async fn start(engine: &FakeEngine) -> Fixture {
    let service = "notices".to_owned();
    let kind = TargetKind::Service { service };
    Fixture::start_with(engine.server.local_addr(), kind, |_| {}).await
}

fn notice(fixture: &Fixture) -> Dispatch {
    let mut dispatch = dispatch(attempt(1, 1), fixture.stamp(), Work::Call(call()));
    dispatch.idempotent = false;
    dispatch
}

#[rstest]
#[tokio::test]
async fn an_answer_passes_from_the_service_to_the_entry() {
    let mut service = FakeEngine::start();
    let fixture = start(&service).await;

    let mut frames = fixture.send(&notice(&fixture)).await;
    let call = service.next_call().await;
    call.bytes(Bytes::from_static(b"sent"));
    check_and_drop(call);

    assert!(matches!(
        next_frame(&mut frames).await,
        Some(Frame::Accepted { .. })
    ));
    let head = next_frame(&mut frames).await;
    assert!(matches!(head, Some(Frame::Head { status: 200, .. })));
    let body = Frame::Body {
        offset: 0,
        bytes: Bytes::from_static(b"sent"),
    };
    assert_eq!(next_frame(&mut frames).await, Some(body));
    let done = Frame::Done {
        finish: FinishReason::Stop,
        next: TokenIndex(4),
    };
    assert_eq!(next_frame(&mut frames).await, Some(done));
}

/// Checks the body of a call, and ends its response by dropping it.
fn check_and_drop(call: super::fake_engine::ReceivedCall) {
    assert_eq!(call.body, json!({"amount": 12}));
}

#[rstest]
#[tokio::test]
async fn a_service_lost_after_the_call_was_sent_leaves_the_outcome_unknown() {
    let mut service = FakeEngine::start();
    let fixture = start(&service).await;

    let mut frames = fixture.send(&notice(&fixture)).await;
    let call = service.next_call().await;
    call.break_connection();

    let mut last = None;
    while let Some(frame) = next_frame(&mut frames).await {
        last = Some(frame);
    }
    let failed = Frame::Failed {
        failure: Failure::TargetLost,
        ran: Ran::Unknown,
        next: TokenIndex(0),
    };
    assert_eq!(last, Some(failed));
}

#[rstest]
#[tokio::test]
async fn a_repeated_call_reaches_the_service_once() {
    let mut service = FakeEngine::start();
    let fixture = start(&service).await;
    let mut repeated = notice(&fixture);
    repeated.repeat = true;

    let _first = fixture.send(&notice(&fixture)).await;
    let call = service.next_call().await;
    let mut second = fixture.send(&repeated).await;
    call.bytes(Bytes::from_static(b"sent"));
    drop(call);

    let mut bodies = Vec::new();
    while let Some(frame) = next_frame(&mut second).await {
        if let Frame::Body { bytes, .. } = frame {
            bodies.push(bytes);
        }
    }
    assert_eq!(bodies.concat(), b"sent");
    assert!(!service.has_call());
}

#[rstest]
#[tokio::test]
async fn a_call_never_reaches_the_control_interface_of_an_engine() {
    let engine = FakeEngine::start();
    let fixture = Fixture::start(engine.server.local_addr()).await;
    let mut dispatch = notice(&fixture);
    let mut call = call();
    call.head.path = "/v1/orders".to_owned();
    dispatch.work = Work::Call(call);

    let mut frames = fixture.send(&dispatch).await;

    let frame = next_frame(&mut frames).await;
    assert!(matches!(frame, Some(Frame::NotRun { .. })), "{frame:?}");
    assert!(engine.shared.orders.lock().unwrap().is_empty());
}

#[rstest]
#[case("notices")]
#[case("@127.0.0.1:9/notices")]
#[case("")]
#[tokio::test]
async fn a_path_cannot_change_where_a_call_goes(#[case] path: &str) {
    let mut service = FakeEngine::start();
    let fixture = start(&service).await;
    let mut dispatch = notice(&fixture);
    let mut call = call();
    call.head.path = path.to_owned();
    dispatch.work = Work::Call(call);

    let mut frames = fixture.send(&dispatch).await;

    let failed = Frame::Failed {
        failure: Failure::TargetError,
        ran: Ran::No,
        next: TokenIndex(0),
    };
    assert_eq!(next_frame(&mut frames).await, Some(failed));
    assert!(!service.has_call());
}
