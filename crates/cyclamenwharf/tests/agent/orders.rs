//! Orders to an engine that ignores fencing numbers.

use cw_types::FencingNumber;
use cw_wire::Frame;
use cw_wire::NotRunReason;
use cw_wire::Order;
use cw_wire::OrderKind;
use cw_wire::OrderResponse;
use cw_wire::Work;
use cw_wire::path;
use rstest::rstest;

use super::fake_engine::FakeEngine;
use super::fixtures::Rig;
use super::fixtures::attempt;
use super::fixtures::generate;
use super::fixtures::next;

fn unload(fencing: u64, sequence: u64) -> Order {
    Order {
        fencing: FencingNumber(fencing),
        sequence,
        kind: OrderKind::Unload {
            model: "ledger".parse().unwrap(),
            version: "v1".parse().unwrap(),
        },
    }
}

#[rstest]
#[tokio::test]
async fn a_deposed_planner_is_refused_and_a_repeat_is_not_passed_on() {
    let engine = FakeEngine::start();
    let rig = Rig::start(engine.server.local_addr()).await;

    let done: OrderResponse = rig.call(path::ORDERS, &unload(5, 1)).await;
    let again: OrderResponse = rig.call(path::ORDERS, &unload(5, 1)).await;
    let fenced: OrderResponse = rig.call(path::ORDERS, &unload(4, 9)).await;

    assert_eq!(done, OrderResponse::Done);
    assert_eq!(again, OrderResponse::Done);
    let highest = FencingNumber(5);
    assert_eq!(fenced, OrderResponse::Fenced { highest });
    assert_eq!(engine.shared.orders.lock().unwrap().len(), 1);
}

#[rstest]
#[tokio::test]
async fn a_version_is_not_unloaded_under_a_generation() {
    let mut engine = FakeEngine::start();
    let rig = Rig::start(engine.server.local_addr()).await;
    let mut frames = rig.send(&rig.dispatch(attempt(1, 1))).await;
    let call = engine.received().await;

    let pinned: OrderResponse = rig.call(path::ORDERS, &unload(5, 1)).await;
    call.finish();
    while next(&mut frames).await.is_some() {}
    let done: OrderResponse = rig.call(path::ORDERS, &unload(5, 2)).await;
    let mut late = rig.send(&rig.dispatch(attempt(2, 1))).await;
    let mut other = generate();
    other.version = "v2".parse().unwrap();
    let mut dispatch = rig.dispatch(attempt(3, 1));
    dispatch.work = Work::Generate(other);
    let _other = rig.send(&dispatch).await;
    engine.received().await;

    assert_eq!(pinned, OrderResponse::Pinned { generations: 1 });
    assert_eq!(done, OrderResponse::Done);
    assert!(matches!(
        next(&mut late).await,
        Some(Frame::NotRun {
            reason: NotRunReason::WrongVersion,
            ..
        })
    ));
}

#[rstest]
#[tokio::test]
async fn a_restarted_agent_learns_from_the_lease_who_was_deposed() {
    let engine = FakeEngine::start();
    let rig = Rig::start(engine.server.local_addr()).await;
    rig.relay.plan(Some(5));

    let late: OrderResponse = rig.call(path::ORDERS, &unload(4, 1)).await;
    let due: OrderResponse = rig.call(path::ORDERS, &unload(5, 1)).await;

    let highest = FencingNumber(5);
    assert_eq!(late, OrderResponse::Fenced { highest });
    assert_eq!(due, OrderResponse::Done);
    assert_eq!(engine.shared.orders.lock().unwrap().len(), 1);
}

#[rstest]
#[tokio::test]
async fn without_a_planner_no_order_is_taken() {
    let engine = FakeEngine::start();
    let rig = Rig::start(engine.server.local_addr()).await;
    rig.relay.plan(None);

    let refused: OrderResponse = rig.call(path::ORDERS, &unload(4, 1)).await;
    rig.relay.plan(Some(4));
    let taken: OrderResponse = rig.call(path::ORDERS, &unload(4, 1)).await;

    assert!(
        matches!(refused, OrderResponse::Failed { .. }),
        "{refused:?}"
    );
    assert_eq!(taken, OrderResponse::Done);
}
