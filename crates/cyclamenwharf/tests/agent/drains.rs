//! Graceful shutdown, and the opposite.

use cw_types::TokenIndex;
use cw_wire::Finish;
use cw_wire::Frame;
use cw_wire::Reason;
use cw_wire::TargetState;
use cw_wire::path;
use cyclamenwharf::PeerError;
use rstest::rstest;

use super::fake_engine::FakeEngine;
use super::fixtures::HANG;
use super::fixtures::Rig;
use super::fixtures::attempt;
use super::fixtures::next;
use super::fixtures::tokens;
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
            reason: Reason::Leaving,
            ..
        }))
    ));
    assert!(matches!(accepted, Some(Frame::Accepted { .. })));
    assert_eq!(first, (0, vec![1]));
    assert!(!early);
    let expected = Frame::Done {
        finish: Finish::Stop,
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
    super::fixtures::until(|| call.is_closed()).await;
}
