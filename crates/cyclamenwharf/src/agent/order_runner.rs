//! Passes orders on to the engine.

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
use super::engine_json::OrderBody;
use super::engine_json::OrderFenced;
use super::engine_json::OrderState;
use super::engine_json::OrderTaken;
use super::lease_floor;

/// How long the engine may take to answer an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(10);

/// What became of an order that was passed on.
struct Passed {
    answer: OrderResponse,
    /// Whether the order may still take effect although the answer says otherwise.
    open: bool,
}

/// Runs an order, or answers why not.
pub(super) async fn run(state: &Arc<AgentState>, order: &Order) -> OrderResponse {
    if let Err(error) = lease_floor::ensure(state).await {
        return OrderResponse::Failed {
            message: error.to_string(),
        };
    }
    if let OrderStep::Answer(answer) = admit(state, order) {
        return answer;
    }
    let Passed { answer, open } = pass(state, order).await;
    lock(&state.orders).on_answer(order, &answer);
    let failed = matches!(
        answer,
        OrderResponse::Failed { .. } | OrderResponse::Fenced { .. }
    );
    match &order.kind {
        // A version that may vanish any time stays closed to new work.
        OrderKind::Unload { model, version } if failed && !open => {
            reopen(state, model, version);
        }
        OrderKind::Load { model, version, .. } if !failed => reopen(state, model, version),
        _ => {}
    }
    state.check.notify_one();
    info!(
        target = state.settings.target.id.as_str(),
        fencing = order.fencing.0,
        sequence = order.sequence;
        "an order was passed on: {answer:?}"
    );
    answer
}

fn reopen(state: &Arc<AgentState>, model: &ModelName, version: &VersionName) {
    state.tell(|table, _| {
        table.on_unloading(model, version, false);
        Vec::new()
    });
}

/// Decides, and closes the version to new work in the same moment in which nothing is pinned.
fn admit(state: &Arc<AgentState>, order: &Order) -> OrderStep {
    let mut orders = lock(&state.orders);
    state.decide(|table, _| {
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

async fn pass(state: &Arc<AgentState>, order: &Order) -> Passed {
    let body = OrderBody {
        fencing: order.fencing,
        sequence: order.sequence,
        order: &order.kind,
    };
    let sent = state
        .engine
        .control("/v1/orders", Some(&body), ORDER_TIMEOUT)
        .await;
    match sent {
        Ok((status, bytes)) => Passed {
            answer: read(state, status, &bytes),
            open: false,
        },
        Err(error) => Passed {
            open: !error.is_harmless(),
            answer: OrderResponse::Failed {
                message: error.to_string(),
            },
        },
    }
}

fn read(state: &Arc<AgentState>, status: StatusCode, bytes: &[u8]) -> OrderResponse {
    let failed = || OrderResponse::Failed {
        message: String::from_utf8_lossy(bytes).into_owned(),
    };
    match status {
        StatusCode::OK => match serde_json::from_slice::<OrderTaken>(bytes) {
            Ok(taken) => match taken.state {
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
