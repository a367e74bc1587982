//! Tests of attempts on an engine.

use std::time::Duration;

use cw_types::ByteSize;
use cw_types::Ran;
use cw_types::TargetKind;
use cw_types::TokenCount;
use cw_types::TokenId;
use cw_types::TokenIndex;
use cw_wire::Ack;
use cw_wire::Attach;
use cw_wire::Cancel;
use cw_wire::Cancelled;
use cw_wire::Failure;
use cw_wire::FinishReason;
use cw_wire::Frame;
use cw_wire::NotRunReason;
use cw_wire::Work;
use cw_wire::path;
use cyclamenwharf::PeerClient;
use cyclamenwharf::PeerError;
use futures::StreamExt;
use rstest::rstest;
use serde_json::json;

use super::fake_engine::FakeEngine;
use super::fixtures::Fixture;
use super::fixtures::TEST_TIMEOUT;
use super::fixtures::attempt;
use super::fixtures::generate;
use super::fixtures::next_frame;
use super::fixtures::next_tokens;
use super::fixtures::wait_until;
use super::fixtures::with_timeout;

fn is_not_run(frame: Option<Frame>, expected: NotRunReason) -> bool {
    matches!(frame, Some(Frame::NotRun { reason, .. }) if reason == expected)
}

#[rstest]
#[tokio::test]
async fn tokens_pass_from_the_engine_to_the_entry() {
    let mut engine = FakeEngine::start();
    let fixture = Fixture::start(engine.server.local_addr()).await;
    let mut work = generate();
    work.so_far = vec![TokenId(50), TokenId(51)];
    let mut dispatch = fixture.dispatch(attempt(1, 2));
    dispatch.from = TokenIndex(2);
    dispatch.work = Work::Generate(work);

    let mut frames = fixture.send(&dispatch).await;
    let call = engine.next_call().await;
    call.accept(4);
    call.token(52);
    let accepted = next_frame(&mut frames).await;
    let first = next_tokens(&mut frames).await;
    call.finish();

    assert!(matches!(accepted, Some(Frame::Accepted { cached, .. }) if cached == TokenCount(4)));
    assert_eq!(first, (2, vec![52]));
    let done = Frame::Done {
        finish: FinishReason::Stop,
        next: TokenIndex(3),
    };
    assert_eq!(next_frame(&mut frames).await, Some(done));
    assert_eq!(next_frame(&mut frames).await, None);
    assert_eq!(call.body["request_id"], json!(attempt(1, 2).to_string()));
    assert_eq!(call.body["output_so_far"], json!([50, 51]));
    assert_eq!(call.body["max_tokens"], json!(998));
    assert_eq!(call.body["seed"], json!(7));
}

#[rstest]
#[tokio::test]
async fn a_repeated_dispatch_attaches_and_replays() {
    let mut engine = FakeEngine::start();
    let fixture = Fixture::start(engine.server.local_addr()).await;
    let mut dispatch = fixture.dispatch(attempt(1, 1));
    let mut first = fixture.send(&dispatch).await;
    let call = engine.next_call().await;
    call.token(1);
    call.token(2);
    next_frame(&mut first).await;
    next_tokens(&mut first).await;
    drop(first);

    dispatch.repeat = true;
    dispatch.from = TokenIndex(1);
    let mut second = fixture.send(&dispatch).await;
    let accepted = next_frame(&mut second).await;
    let replayed = next_tokens(&mut second).await;
    call.token(3);

    assert!(matches!(accepted, Some(Frame::Accepted { .. })));
    assert_eq!(replayed, (1, vec![2]));
    assert_eq!(next_tokens(&mut second).await, (2, vec![3]));
    assert!(!engine.has_call());
}

#[rstest]
#[tokio::test]
async fn a_generation_is_found_by_its_workspace_only() {
    let mut engine = FakeEngine::start();
    let fixture = Fixture::start(engine.server.local_addr()).await;
    let _frames = fixture.send(&fixture.dispatch(attempt(1, 1))).await;
    let call = engine.next_call().await;
    call.token(1);
    let attach = |workspace: &str| Attach {
        generation: attempt(1, 1).generation,
        attempt: None,
        workspace: workspace.parse().unwrap(),
        from: TokenIndex(0),
    };

    let mut own = fixture.frames(path::ATTACH, &attach("partagez")).await;
    let mut foreign = fixture.frames(path::ATTACH, &attach("office")).await;

    assert!(matches!(
        next_frame(&mut own).await,
        Some(Frame::Accepted { .. })
    ));
    assert_eq!(next_tokens(&mut own).await, (0, vec![1]));
    assert!(is_not_run(
        next_frame(&mut foreign).await,
        NotRunReason::Unknown
    ));
}

#[rstest]
#[tokio::test]
async fn an_attempt_cancelled_before_it_was_seen_never_runs() {
    let mut engine = FakeEngine::start();
    let fixture = Fixture::start(engine.server.local_addr()).await;
    let id = attempt(1, 1);
    let stamp = fixture.stamp();

    let cancelled: Cancelled = fixture.call(path::CANCEL, &Cancel { id, stamp }).await;
    let mut frames = fixture.send(&fixture.dispatch(id)).await;

    assert_eq!(cancelled.ran, Ran::No);
    assert!(is_not_run(
        next_frame(&mut frames).await,
        NotRunReason::Cancelled
    ));
    assert!(!engine.has_call());
}

#[rstest]
#[tokio::test]
async fn a_cancel_reaches_the_engine() {
    let mut engine = FakeEngine::start();
    let fixture = Fixture::start(engine.server.local_addr()).await;
    let id = attempt(1, 1);
    let stamp = fixture.stamp();
    let mut frames = fixture.send(&fixture.dispatch(id)).await;
    let call = engine.next_call().await;

    let cancelled: Cancelled = fixture.call(path::CANCEL, &Cancel { id, stamp }).await;

    assert_eq!(cancelled.ran, Ran::Partly);
    let frame = next_frame(&mut frames).await;
    assert!(matches!(
        frame,
        Some(Frame::Failed {
            failure: Failure::Cancelled,
            ..
        })
    ));
    let shared = engine.shared.clone();
    wait_until(|| *shared.aborted.lock().unwrap() == [id.to_string()]).await;
    wait_until(|| call.is_closed()).await;
}

#[rstest]
#[tokio::test]
async fn a_crash_of_the_engine_is_reported_at_once() {
    let mut engine = FakeEngine::start();
    let fixture = Fixture::start(engine.server.local_addr()).await;
    let mut frames = fixture.send(&fixture.dispatch(attempt(1, 1))).await;
    let call = engine.next_call().await;
    call.token(1);
    next_frame(&mut frames).await;
    next_tokens(&mut frames).await;

    call.break_connection();

    let failed = Frame::Failed {
        failure: Failure::TargetLost,
        ran: Ran::Partly,
        next: TokenIndex(1),
    };
    assert_eq!(next_frame(&mut frames).await, Some(failed));
}

#[rstest]
#[tokio::test]
async fn heartbeats_contain_how_long_the_engine_is_quiet() {
    let mut engine = FakeEngine::start();
    let fixture = Fixture::start(engine.server.local_addr()).await;
    let mut frames = fixture.send(&fixture.dispatch(attempt(1, 1))).await;
    let _call = engine.next_call().await;

    let mut quiet_times = Vec::new();
    while quiet_times.len() < 3 {
        match with_timeout(frames.next()).await.flatten() {
            Some(Frame::Heartbeat { quiet }) => quiet_times.push(quiet),
            other => panic!("expected a heartbeat, found {other:?}"),
        }
    }

    assert!(quiet_times.is_sorted(), "{quiet_times:?}");
    assert!(quiet_times[2] > quiet_times[0], "{quiet_times:?}");
}

#[rstest]
#[tokio::test]
async fn a_wrong_secret_is_refused() {
    let engine = FakeEngine::start();
    let fixture = Fixture::start(engine.server.local_addr()).await;
    let client = PeerClient::new("guess");
    let dispatch = fixture.dispatch(attempt(1, 1));

    let answer = client
        .frames(fixture.agent.peers, path::ATTEMPTS, &dispatch, TEST_TIMEOUT)
        .await;

    assert!(matches!(answer.err(), Some(PeerError::Status { status, .. }) if status == 401));
}

#[rstest]
#[tokio::test]
async fn an_attempt_of_an_earlier_incarnation_is_not_run_and_its_outcome_is_unknown() {
    let mut engine = FakeEngine::start();
    let fixture = Fixture::start(engine.server.local_addr()).await;
    let mut late = fixture.dispatch(attempt(1, 1));
    late.stamp.incarnation.0 -= 1;
    let mut repeated = fixture.dispatch(attempt(2, 1));
    repeated.stamp.incarnation.0 -= 1;
    repeated.repeat = true;
    let cancel = Cancel {
        id: attempt(3, 1),
        stamp: late.stamp,
    };

    let mut first = fixture.send(&late).await;
    let mut second = fixture.send(&repeated).await;
    let cancelled: Cancelled = fixture.call(path::CANCEL, &cancel).await;

    assert!(is_not_run(
        next_frame(&mut first).await,
        NotRunReason::Unknown
    ));
    let frame = next_frame(&mut second).await;
    assert!(matches!(
        frame,
        Some(Frame::Failed {
            ran: Ran::Unknown,
            ..
        })
    ));
    assert_eq!(cancelled.ran, Ran::Unknown);
    assert!(!engine.has_call());
}

#[rstest]
#[tokio::test]
async fn a_slow_entry_applies_backpressure_and_gets_all_tokens() {
    let mut engine = FakeEngine::start();
    let kind = TargetKind::Engine;
    let fixture = Fixture::start_with(engine.server.local_addr(), kind, |settings| {
        settings.engine.running = 8;
        settings.engine.kept = ByteSize::kib(64);
    })
    .await;
    let mut frames = fixture.send(&fixture.dispatch(attempt(1, 1))).await;
    let call = engine.next_call().await;
    let count = 20_000;
    for id in 0..count {
        call.token(id);
    }
    call.finish();
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(kept_bytes(&fixture).await < 64 << 10);

    let mut received = Vec::new();
    while let Some(frame) = next_frame(&mut frames).await {
        if let Frame::Tokens { first, tokens } = frame {
            assert_eq!(first.0, received.len() as u64);
            received.extend(tokens.iter().map(|token| token.id.0));
            if received.len().is_multiple_of(100) {
                let id = attempt(1, 1);
                let next = TokenIndex(received.len() as u64);
                fixture.call::<_, ()>(path::ACK, &Ack { id, next }).await;
            }
        }
    }

    assert!(received.iter().copied().eq(0..count));
}

async fn kept_bytes(fixture: &Fixture) -> u64 {
    let text = super::reports::get_text(fixture.agent.admin, "/metrics").await;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("cyclamenwharf_agent_kept_bytes "));
    line.unwrap().parse().unwrap()
}
