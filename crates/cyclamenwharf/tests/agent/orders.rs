//! Tests of orders to an engine that ignores fencing numbers.

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
use super::fixtures::Fixture;
use super::fixtures::attempt;
use super::fixtures::generate;
use super::fixtures::next_frame;

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
async fn a_deposed_planner_is_refused_and_a_repeated_order_is_not_forwarded() {
    let engine = FakeEngine::start();
    let fixture = Fixture::start(engine.server.local_addr()).await;

    let done: OrderResponse = fixture.call(path::ORDERS, &unload(5, 1)).await;
    let repeated: OrderResponse = fixture.call(path::ORDERS, &unload(5, 1)).await;
    let fenced: OrderResponse = fixture.call(path::ORDERS, &unload(4, 9)).await;

    assert_eq!(done, OrderResponse::Done);
    assert_eq!(repeated, OrderResponse::Done);
    let highest = FencingNumber(5);
    assert_eq!(fenced, OrderResponse::Fenced { highest });
    assert_eq!(engine.shared.orders.lock().unwrap().len(), 1);
}

#[rstest]
#[tokio::test]
async fn a_version_is_not_unloaded_while_a_generation_uses_it() {
    let mut engine = FakeEngine::start();
    let fixture = Fixture::start(engine.server.local_addr()).await;
    let mut frames = fixture.send(&fixture.dispatch(attempt(1, 1))).await;
    let call = engine.next_call().await;

    let pinned: OrderResponse = fixture.call(path::ORDERS, &unload(5, 1)).await;
    call.finish();
    while next_frame(&mut frames).await.is_some() {}
    let done: OrderResponse = fixture.call(path::ORDERS, &unload(5, 2)).await;
    let mut late = fixture.send(&fixture.dispatch(attempt(2, 1))).await;
    let mut other = generate();
    other.version = "v2".parse().unwrap();
    let mut dispatch = fixture.dispatch(attempt(3, 1));
    dispatch.work = Work::Generate(other);
    let _other = fixture.send(&dispatch).await;
    engine.next_call().await;

    assert_eq!(pinned, OrderResponse::Pinned { generations: 1 });
    assert_eq!(done, OrderResponse::Done);
    assert!(matches!(
        next_frame(&mut late).await,
        Some(Frame::NotRun {
            reason: NotRunReason::WrongVersion,
            ..
        })
    ));
}

#[rstest]
#[tokio::test]
async fn a_restarted_agent_refuses_deposed_planners_by_the_lease() {
    let engine = FakeEngine::start();
    let fixture = Fixture::start(engine.server.local_addr()).await;
    fixture.relay.set_planner(Some(5));

    let late: OrderResponse = fixture.call(path::ORDERS, &unload(4, 1)).await;
    let current: OrderResponse = fixture.call(path::ORDERS, &unload(5, 1)).await;

    let highest = FencingNumber(5);
    assert_eq!(late, OrderResponse::Fenced { highest });
    assert_eq!(current, OrderResponse::Done);
    assert_eq!(engine.shared.orders.lock().unwrap().len(), 1);
}

#[rstest]
#[tokio::test]
async fn without_a_planner_no_order_is_accepted() {
    let engine = FakeEngine::start();
    let fixture = Fixture::start(engine.server.local_addr()).await;
    fixture.relay.set_planner(None);

    let refused: OrderResponse = fixture.call(path::ORDERS, &unload(4, 1)).await;
    fixture.relay.set_planner(Some(4));
    let accepted: OrderResponse = fixture.call(path::ORDERS, &unload(4, 1)).await;

    assert!(
        matches!(refused, OrderResponse::Failed { .. }),
        "{refused:?}"
    );
    assert_eq!(accepted, OrderResponse::Done);
}
