//! Tests of the guard that checks orders at an agent.

use cw_policy::OrderGuard;
use cw_policy::OrderStep;
use cw_types::FencingNumber;
use cw_wire::Order;
use cw_wire::OrderKind;
use cw_wire::OrderResponse;
use rstest::rstest;

fn order(fencing: u64, sequence: u64) -> Order {
    Order {
        fencing: FencingNumber(fencing),
        sequence,
        kind: OrderKind::Role {
            role: "decode".to_owned(),
        },
    }
}

fn failed() -> OrderResponse {
    OrderResponse::Failed {
        message: "down".to_owned(),
    }
}

#[rstest]
fn a_lower_fencing_number_is_refused() {
    let mut guard = OrderGuard::default();
    guard.on_order(&order(5, 1), 0);

    let step = guard.on_order(&order(4, 2), 0);

    let highest = FencingNumber(5);
    assert_eq!(step, OrderStep::Answer(OrderResponse::Fenced { highest }));
}

#[rstest]
fn a_repeated_order_gets_the_recorded_answer() {
    let mut guard = OrderGuard::default();
    let first = guard.on_order(&order(5, 1), 0);
    let meanwhile = guard.on_order(&order(5, 1), 0);
    guard.on_answer(&order(5, 1), &OrderResponse::Done);

    let later = guard.on_order(&order(5, 1), 0);

    assert_eq!(first, OrderStep::Forward);
    assert_eq!(meanwhile, OrderStep::Answer(OrderResponse::Begun));
    assert_eq!(later, OrderStep::Answer(OrderResponse::Done));
}

#[rstest]
fn a_failed_order_is_forwarded_again() {
    let mut guard = OrderGuard::default();
    guard.on_order(&order(5, 1), 0);
    guard.on_answer(&order(5, 1), &failed());

    let again = guard.on_order(&order(5, 1), 0);

    assert_eq!(again, OrderStep::Forward);
}

#[rstest]
fn a_late_answer_to_a_previous_planner_is_ignored() {
    let mut guard = OrderGuard::default();
    guard.on_order(&order(5, 1), 0);
    guard.on_order(&order(6, 1), 0);

    guard.on_answer(&order(5, 1), &failed());
    let step = guard.on_order(&order(6, 1), 0);

    assert_eq!(step, OrderStep::Answer(OrderResponse::Begun));
}

#[rstest]
fn a_pinned_version_is_not_unloaded_and_the_order_may_be_repeated() {
    let mut guard = OrderGuard::default();

    let pinned = guard.on_order(&order(5, 1), 2);
    let later = guard.on_order(&order(5, 1), 0);

    let generations = 2;
    assert_eq!(
        pinned,
        OrderStep::Answer(OrderResponse::Pinned { generations })
    );
    assert_eq!(later, OrderStep::Forward);
}

#[rstest]
fn an_observed_fencing_number_raises_the_highest() {
    let mut guard = OrderGuard::default();

    guard.observe_fencing(FencingNumber(9));
    let step = guard.on_order(&order(8, 1), 0);

    let highest = FencingNumber(9);
    assert_eq!(step, OrderStep::Answer(OrderResponse::Fenced { highest }));
}

#[rstest]
fn an_order_older_than_the_retained_answers_is_not_run_again() {
    let mut guard = OrderGuard::default();
    for sequence in 1..=300 {
        guard.on_order(&order(5, sequence), 0);
        guard.on_answer(&order(5, sequence), &OrderResponse::Done);
    }
    guard.on_order(&order(5, 301), 0);
    guard.on_answer(&order(5, 301), &failed());

    let step = guard.on_order(&order(5, 1), 0);

    let failed = matches!(step, OrderStep::Answer(OrderResponse::Failed { .. }));
    assert!(failed, "{step:?}");
}
