//! Graceful shutdown, and the opposite.

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
use super::fixtures::HANG;
use super::fixtures::Rig;
use super::fixtures::attempt;
use super::fixtures::call;
use super::fixtures::dispatch;
use super::fixtures::next;
use super::fixtures::tokens;
use super::fixtures::until;
use super::fixtures::within;

#[rstest]
#[tokio::test]
async fn a_drained_agent_refuses_new_work_and_cuts_nothing() {
    let mut engine = FakeEngine::start();
    let mut rig = Rig::start(engine.server.local_addr()).await;
    let mut frames = rig.send(&rig.dispatch(attempt(1, 1))).await;
    let call = engine.received().await;
    let late = rig.dispatch(attempt(2, 1));
    let client = rig.client.clone();
    let peers = rig.agent.peers;
    let agent = std::sync::Arc::new(rig.agent);

    let drained = tokio::spawn({
        let agent = agent.clone();
        async move { agent.drain().await }
    });
    let leaving = |report: &cw_wire::Report| report.state == TargetState::Leaving;
    rig.relay.report(leaving).await;
    let refused = client.frames(peers, path::ATTEMPTS, &late, HANG).await;
    let refused = futures::StreamExt::next(&mut refused.unwrap()).await;
    call.token(1);
    let accepted = next(&mut frames).await;
    let first = tokens(&mut frames).await;
    let early = drained.is_finished();
    call.finish();
    let done = next(&mut frames).await;
    within(drained).await.unwrap();

    assert!(matches!(
        refused,
        Some(Ok(Frame::NotRun {
            reason: NotRunReason::Leaving,
            ..
        }))
    ));
    assert!(matches!(accepted, Some(Frame::Accepted { .. })));
    assert_eq!(first, (0, vec![1]));
    assert!(!early);
    let expected = Frame::Done {
        finish: FinishReason::Stop,
        next: TokenIndex(1),
    };
    assert_eq!(done, Some(expected));
    let after = client.frames(peers, path::ATTEMPTS, &late, HANG).await;
    assert!(matches!(after.err(), Some(PeerError::Connect { .. })));
}

#[rstest]
#[tokio::test]
async fn a_killed_agent_breaks_its_streams() {
    let mut engine = FakeEngine::start();
    let rig = Rig::start(engine.server.local_addr()).await;
    let mut frames = rig.send(&rig.dispatch(attempt(1, 1))).await;
    let call = engine.received().await;
    call.token(1);
    next(&mut frames).await;
    tokens(&mut frames).await;

    rig.agent.kill();

    assert_eq!(next(&mut frames).await, None);
    until(|| call.is_closed()).await;
}

#[rstest]
#[tokio::test]
async fn a_notice_is_not_sent_twice_by_the_next_life_of_its_agent() {
    let mut service = FakeEngine::start();
    let kind = TargetKind::Service {
        service: "notices".to_owned(),
    };
    let address = service.server.local_addr();
    let first = Rig::start_with(address, kind.clone(), |_| {}).await;
    let mut dispatch = dispatch(attempt(1, 1), first.stamp(), Work::Call(call()));
    dispatch.idempotent = false;
    let mut lost = first.send(&dispatch).await;
    service.received().await;
    let peers = first.agent.peers;
    first.agent.kill();
    while next(&mut lost).await.is_some() {}

    let second = restart(address, kind, peers).await;
    dispatch.repeat = true;
    let mut frames = second.send(&dispatch).await;

    let frame = next(&mut frames).await;
    let open = matches!(
        frame,
        Some(Frame::Failed {
            ran: Ran::Unknown,
            ..
        })
    );
    assert!(open, "{frame:?}");
    assert!(!service.has_call());
}

/// Starts an agent where one was killed, as soon as the address is free.
async fn restart(target: SocketAddr, kind: TargetKind, peers: SocketAddr) -> Rig {
    until_free(peers).await;
    Rig::start_with(target, kind, |settings| settings.listen.peers = peers).await
}

async fn until_free(address: SocketAddr) {
    until(|| std::net::TcpListener::bind(address).is_ok()).await;
}
