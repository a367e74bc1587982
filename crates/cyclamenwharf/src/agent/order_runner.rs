//! Forwarding of orders to the engine.

use std::sync::Arc;
use std::time::Duration;

use cw_policy::OrderStep;
use cw_types::ModelName;
use cw_types::VersionName;
use cw_wire::Order;
use cw_wire::OrderKind;
use cw_wire::OrderResponse;
use http::StatusCode;
use log::info;

use super::agent_state::AgentState;
use super::agent_state::lock;
use super::engine_json::OrderAccepted;
use super::engine_json::OrderFenced;
use super::engine_json::OrderRequest;
use super::engine_json::OrderState;
use super::planner_lease;

/// The timeout for the engine's response to an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(10);

/// The result of an order that was sent to the engine.
struct SentOrder {
    answer: OrderResponse,
    /// Whether the order may still take effect although `answer` reports a failure.
    may_apply: bool,
}

/// Forwards an order to the engine, unless it must be refused or was answered before.
pub(super) async fn run(state: &Arc<AgentState>, order: &Order) -> OrderResponse {
    if let Err(error) = planner_lease::ensure_read(state).await {
        return OrderResponse::Failed {
            message: error.to_string(),
        };
    }
    if let OrderStep::Answer(answer) = admit(state, order) {
        return answer;
    }
    let SentOrder { answer, may_apply } = send_order(state, order).await;
    lock(&state.orders).on_answer(order, &answer);
    let failed = matches!(
        answer,
        OrderResponse::Failed { .. } | OrderResponse::Fenced { .. }
    );
    match &order.kind {
        // A version that may still be unloaded stays closed to new work.
        OrderKind::Unload { model, version } if failed && !may_apply => {
            allow_new_work(state, model, version);
        }
        OrderKind::Load { model, version, .. } if !failed => allow_new_work(state, model, version),
        _ => {}
    }
    state.check_target.notify_one();
    info!(
        target = state.settings.target.id.as_str(),
        fencing = order.fencing.0,
        sequence = order.sequence;
        "the engine answered an order: {answer:?}"
    );
    answer
}

fn allow_new_work(state: &Arc<AgentState>, model: &ModelName, version: &VersionName) {
    state.apply_event(|table, _| {
        table.on_unloading(model, version, false);
        Vec::new()
    });
}

/// Decides whether to send an order. If it unloads a version, this also closes the version to new
/// work, in the same step as the check that the version is not pinned.
fn admit(state: &Arc<AgentState>, order: &Order) -> OrderStep {
    let mut orders = lock(&state.orders);
    state.update_table(|table, _| {
        let OrderKind::Unload { model, version } = &order.kind else {
            return (orders.on_order(order, 0), Vec::new());
        };
        let step = orders.on_order(order, table.pinned(model, version));
        if step == OrderStep::Forward {
            table.on_unloading(model, version, true);
        }
        (step, Vec::new())
    })
}

async fn send_order(state: &Arc<AgentState>, order: &Order) -> SentOrder {
    let body = OrderRequest {
        fencing: order.fencing,
        sequence: order.sequence,
        order: &order.kind,
    };
    let sent = state
        .target_client
        .control("/v1/orders", Some(&body), ORDER_TIMEOUT)
        .await;
    match sent {
        Ok((status, bytes)) => SentOrder {
            answer: read_answer(state, status, &bytes),
            may_apply: false,
        },
        Err(error) => SentOrder {
            may_apply: !error.had_no_effect(),
            answer: OrderResponse::Failed {
                message: error.to_string(),
            },
        },
    }
}

fn read_answer(state: &Arc<AgentState>, status: StatusCode, bytes: &[u8]) -> OrderResponse {
    let failed = || OrderResponse::Failed {
        message: String::from_utf8_lossy(bytes).into_owned(),
    };
    match status {
        StatusCode::OK => match serde_json::from_slice::<OrderAccepted>(bytes) {
            Ok(accepted) => match accepted.state {
                OrderState::Done => OrderResponse::Done,
                OrderState::Begun => OrderResponse::Begun,
            },
            Err(_) => failed(),
        },
        StatusCode::CONFLICT => match serde_json::from_slice::<OrderFenced>(bytes) {
            Ok(OrderFenced { highest }) => {
                lock(&state.orders).observe_fencing(highest);
                OrderResponse::Fenced { highest }
            }
            Err(_) => failed(),
        },
        _ => failed(),
    }
}
