//! Tests of graceful shutdown and of killed agents.

use std::net::SocketAddr;

use cw_types::Ran;
use cw_types::TargetKind;
use cw_types::TokenIndex;
use cw_wire::FinishReason;
use cw_wire::Frame;
use cw_wire::NotRunReason;
use cw_wire::TargetState;
use cw_wire::Work;
use cw_wire::path;
use cyclamenwharf::PeerError;
use rstest::rstest;

use super::fake_engine::FakeEngine;
use super::fixtures::Fixture;
use super::fixtures::TEST_TIMEOUT;
use super::fixtures::attempt;
use super::fixtures::call;
use super::fixtures::dispatch;
use super::fixtures::next_frame;
use super::fixtures::next_tokens;
use super::fixtures::wait_until;
use super::fixtures::with_timeout;

#[rstest]
#[tokio::test]
async fn a_draining_agent_refuses_new_work_and_finishes_running_attempts() {
    let mut engine = FakeEngine::start();
    let mut fixture = Fixture::start(engine.server.local_addr()).await;
    let mut frames = fixture.send(&fixture.dispatch(attempt(1, 1))).await;
    let call = engine.next_call().await;
    let late = fixture.dispatch(attempt(2, 1));
    let client = fixture.client.clone();
    let peers = fixture.agent.peers;
    let agent = std::sync::Arc::new(fixture.agent);

    let drained = tokio::spawn({
        let agent = agent.clone();
        async move { agent.drain().await }
    });
    let leaving = |report: &cw_wire::Report| report.state == TargetState::Leaving;
    fixture.relay.next_report(leaving).await;
    let refused = client
        .frames(peers, path::ATTEMPTS, &late, TEST_TIMEOUT)
        .await;
    let refused = futures::StreamExt::next(&mut refused.unwrap()).await;
    call.token(1);
    let accepted = next_frame(&mut frames).await;
    let first = next_tokens(&mut frames).await;
    let drained_early = drained.is_finished();
    call.finish();
    let done = next_frame(&mut frames).await;
    with_timeout(drained).await.unwrap();

    assert!(matches!(
        refused,
        Some(Ok(Frame::NotRun {
            reason: NotRunReason::Leaving,
            ..
        }))
    ));
    assert!(matches!(accepted, Some(Frame::Accepted { .. })));
    assert_eq!(first, (0, vec![1]));
    assert!(!drained_early);
    let expected = Frame::Done {
        finish: FinishReason::Stop,
        next: TokenIndex(1),
    };
    assert_eq!(done, Some(expected));
    let after = client
        .frames(peers, path::ATTEMPTS, &late, TEST_TIMEOUT)
        .await;
    assert!(matches!(after.err(), Some(PeerError::Connect { .. })));
}

#[rstest]
#[tokio::test]
async fn a_killed_agent_breaks_its_streams() {
    let mut engine = FakeEngine::start();
    let fixture = Fixture::start(engine.server.local_addr()).await;
    let mut frames = fixture.send(&fixture.dispatch(attempt(1, 1))).await;
    let call = engine.next_call().await;
    call.token(1);
    next_frame(&mut frames).await;
    next_tokens(&mut frames).await;

    fixture.agent.kill();

    assert_eq!(next_frame(&mut frames).await, None);
    wait_until(|| call.is_closed()).await;
}

#[rstest]
#[tokio::test]
async fn a_restarted_agent_does_not_repeat_a_call() {
    let mut service = FakeEngine::start();
    let kind = TargetKind::Service {
        service: "notices".to_owned(),
    };
    let address = service.server.local_addr();
    let first = Fixture::start_with(address, kind.clone(), |_| {}).await;
    let mut dispatch = dispatch(attempt(1, 1), first.stamp(), Work::Call(call()));
    dispatch.idempotent = false;
    let mut lost = first.send(&dispatch).await;
    service.next_call().await;
    let peers = first.agent.peers;
    first.agent.kill();
    while next_frame(&mut lost).await.is_some() {}

    let second = restart(address, kind, peers).await;
    dispatch.repeat = true;
    let mut frames = second.send(&dispatch).await;

    let frame = next_frame(&mut frames).await;
    let outcome_unknown = matches!(
        frame,
        Some(Frame::Failed {
            ran: Ran::Unknown,
            ..
        })
    );
    assert!(outcome_unknown, "{frame:?}");
    assert!(!service.has_call());
}

/// Starts an agent at the address of a killed one, as soon as that address is free.
async fn restart(target: SocketAddr, kind: TargetKind, peers: SocketAddr) -> Fixture {
    wait_until_free(peers).await;
    Fixture::start_with(target, kind, |settings| settings.listen.peers = peers).await
}

async fn wait_until_free(address: SocketAddr) {
    wait_until(|| std::net::TcpListener::bind(address).is_ok()).await;
}
