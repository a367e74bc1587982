//! The task that acquires the planner's lease and sends orders while it holds the lease.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cw_policy::View;
use cw_policy::planner::Lease;
use cw_policy::planner::LeaseEvent;
use cw_policy::planner::OrderOutcome;
use cw_policy::planner::PlannedOrder;
use cw_policy::planner::Planner;
use cw_policy::planner::PlannerInput;
use cw_policy::planner::WeightsInfo;
use cw_policy::planner::is_candidate;
use cw_store::WeightStore;
use cw_types::FencingNumber;
use cw_types::HostId;
use cw_types::Time;
use cw_wire::OrderResponse;
use cw_wire::path;
use log::info;
use log::warn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::MissedTickBehavior;

use super::ControlMetrics;
use super::Event;
use super::Inspection;
use super::PlannerStatus;
use super::SharedView;
use super::call_result::CallResult;
use super::lease_calls::LeaseCalls;
use crate::Clock;
use crate::PeerClient;

/// The period at which the planner updates its lease and plans orders.
const PLAN_PERIOD: Duration = Duration::from_millis(200);

/// The timeout of the call that sends an order to an agent.
const ORDER_TIMEOUT: Duration = Duration::from_secs(12);

/// The period at which the descriptions of weights are refreshed from the weight store.
const WEIGHTS_PERIOD: Duration = Duration::from_secs(30);

/// The period at which the descriptions are requested while at least one of them is unknown.
const UNKNOWN_WEIGHTS_PERIOD: Duration = Duration::from_millis(500);

/// The task that acquires the planner's lease and sends orders while it holds the lease.
pub(super) struct PlannerTask {
    pub(super) host: HostId,
    pub(super) clock: Clock,
    pub(super) view: SharedView,
    pub(super) events: mpsc::Sender<Event>,
    pub(super) client: PeerClient,
    pub(super) lease_calls: LeaseCalls,
    pub(super) weight_store: Arc<dyn WeightStore>,
    pub(super) metrics: ControlMetrics,
}

/// The mutable state of the task.
struct PlannerState {
    lease: Lease,
    planner: Planner,
    weights: BTreeMap<String, WeightsInfo>,
    weights_requested: Time,
    status: PlannerStatus,
}

impl PlannerTask {
    /// Runs until the task is dropped.
    pub(super) async fn run(self) {
        let now = self.clock.now();
        let mut state = PlannerState {
            lease: Lease::new(now),
            planner: Planner::default(),
            weights: BTreeMap::new(),
            weights_requested: Time::default(),
            status: PlannerStatus::default(),
        };
        let (results, mut incoming) = mpsc::channel(1024);
        let mut ticks = tokio::time::interval(PLAN_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(result) = incoming.recv() => self.on_result(&mut state, &results, result),
                _ = ticks.tick() => self.on_tick(&mut state, &results).await,
            }
        }
    }

    fn on_result(
        &self,
        state: &mut PlannerState,
        results: &mpsc::Sender<CallResult>,
        result: CallResult,
    ) {
        let now = self.clock.now();
        match result {
            CallResult::Lease(event) => {
                let step = state.lease.on_event(now, event);
                self.lease_calls.start(step, now, results.clone());
            }
            CallResult::Order(target, sequence, outcome) => {
                state.planner.on_outcome(now, &target, sequence, outcome);
            }
            CallResult::Weights(name, info) => {
                state.weights.insert(name, info);
            }
        }
    }

    async fn on_tick(&self, state: &mut PlannerState, results: &mpsc::Sender<CallResult>) {
        let now = self.clock.now();
        let view = self.view.load_full();
        let candidate = is_candidate(&self.host, &view.entries);
        let step = match state.planner.is_fenced() {
            true => state.lease.on_event(now, LeaseEvent::Expired),
            false => state.lease.on_event(now, LeaseEvent::Tick { candidate }),
        };
        self.lease_calls.start(step, now, results.clone());
        let fencing = state.lease.fencing(now);
        state.planner.on_lease(fencing);
        self.publish(state, fencing).await;
        if fencing.is_none() {
            return;
        }
        self.refresh_weights(state, now, &view, results);
        let Some(inspection) = self.inspect().await else {
            return;
        };
        let now = self.clock.now();
        // The lease may have expired while this task waited for the reply.
        state.planner.on_lease(state.lease.fencing(now));
        let input = PlannerInput {
            view: &inspection.view,
            weights: &state.weights,
            pins: &inspection.pins,
        };
        for planned in state.planner.plan(now, input) {
            self.send_order(planned, &inspection.view, results.clone());
        }
    }

    fn send_order(&self, planned: PlannedOrder, view: &View, results: mpsc::Sender<CallResult>) {
        let Some(target_view) = view.targets.get(&planned.target) else {
            return;
        };
        let (client, agent) = (self.client.clone(), target_view.target.agent);
        self.metrics.orders.inc();
        info!(
            target_id = planned.target.as_str(), fencing = planned.order.fencing.0,
            sequence = planned.order.sequence;
            "sending an order: {:?}", planned.order.kind
        );
        tokio::spawn(async move {
            let PlannedOrder { target, order } = planned;
            let call = client.call::<_, OrderResponse>(agent, path::ORDERS, &order, ORDER_TIMEOUT);
            let outcome = match call.await {
                Ok(response) => OrderOutcome::Response(response),
                Err(error) => {
                    warn!(target_id = target.as_str(); "no response to an order: {error}");
                    OrderOutcome::Lost
                }
            };
            let _ = results
                .send(CallResult::Order(target, order.sequence, outcome))
                .await;
        });
    }

    fn refresh_weights(
        &self,
        state: &mut PlannerState,
        now: Time,
        view: &View,
        results: &mpsc::Sender<CallResult>,
    ) {
        let names: BTreeSet<_> = view.config.versions.values().map(|v| &v.weights).collect();
        let known = names.iter().all(|name| state.weights.contains_key(*name));
        let period = if known {
            WEIGHTS_PERIOD
        } else {
            UNKNOWN_WEIGHTS_PERIOD
        };
        if now.since(state.weights_requested) < period {
            return;
        }
        state.weights_requested = now;
        for name in names.into_iter().cloned() {
            let (store, results) = (self.weight_store.clone(), results.clone());
            tokio::spawn(async move {
                if let Ok(info) = store.describe(&name).await {
                    let (size, rate) = (info.size, info.rate);
                    let _ = results
                        .send(CallResult::Weights(name, WeightsInfo { size, rate }))
                        .await;
                }
            });
        }
    }

    async fn publish(&self, state: &mut PlannerState, fencing: Option<FencingNumber>) {
        let status = PlannerStatus {
            holder: fencing.map(|_| self.host.clone()),
            fencing: fencing.unwrap_or_default(),
            orders: state.planner.in_progress() as u32,
        };
        if status == state.status {
            return;
        }
        self.metrics.planner.set(i64::from(fencing.is_some()));
        state.status = status.clone();
        let _ = self.events.send(Event::PlannerStatus(status)).await;
    }

    async fn inspect(&self) -> Option<Inspection> {
        let (reply, receiver) = oneshot::channel();
        self.events.send(Event::Inspect { reply }).await.ok()?;
        receiver.await.ok()
    }
}
