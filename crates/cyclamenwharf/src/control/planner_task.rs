//! Holds the planner's lease when it can, and sends orders while it does.

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
use cw_types::TargetId;
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
use super::lease_calls::LeaseCalls;
use crate::Clock;
use crate::PeerClient;

/// How often the planner looks at what there is to do.
const PERIOD: Duration = Duration::from_millis(200);

/// How long an agent may take to answer an order.
const ORDER_LIMIT: Duration = Duration::from_secs(12);

/// How long what the weight store says is believed.
const WEIGHT_PERIOD: Duration = Duration::from_secs(30);

/// How often the weight store is asked about weights that are not known yet.
const UNKNOWN_PERIOD: Duration = Duration::from_millis(500);

/// What comes back from calls under way.
#[derive(Debug)]
pub(super) enum News {
    /// Of the lease.
    Lease(LeaseEvent),
    /// Of an order.
    Order(TargetId, u64, OrderOutcome),
    /// Of a set of weights.
    Weight(String, WeightsInfo),
}

/// Holds the planner's lease when it can, and sends orders while it does.
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

/// What changes while the task runs.
struct Work {
    lease: Lease,
    planner: Planner,
    weights: BTreeMap<String, WeightsInfo>,
    asked: Time,
    status: PlannerStatus,
}

impl PlannerTask {
    /// Runs until the task is dropped.
    pub(super) async fn run(self) {
        let now = self.clock.now();
        let mut work = Work {
            lease: Lease::new(now),
            planner: Planner::default(),
            weights: BTreeMap::new(),
            asked: Time::default(),
            status: PlannerStatus::default(),
        };
        let (news, mut incoming) = mpsc::channel(1024);
        let mut ticks = tokio::time::interval(PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(item) = incoming.recv() => self.on_news(&mut work, &news, item),
                _ = ticks.tick() => self.on_tick(&mut work, &news).await,
            }
        }
    }

    fn on_news(&self, work: &mut Work, news: &mpsc::Sender<News>, item: News) {
        let now = self.clock.now();
        match item {
            News::Lease(event) => {
                let step = work.lease.on_event(now, event);
                self.lease_calls.start(step, now, news.clone());
            }
            News::Order(target, sequence, outcome) => {
                work.planner.on_outcome(now, &target, sequence, outcome);
            }
            News::Weight(name, weight) => {
                work.weights.insert(name, weight);
            }
        }
    }

    async fn on_tick(&self, work: &mut Work, news: &mpsc::Sender<News>) {
        let now = self.clock.now();
        let view = self.view.load_full();
        let candidate = is_candidate(&self.host, &view.entries);
        let step = match work.planner.is_fenced() {
            true => work.lease.on_event(now, LeaseEvent::Expired),
            false => work.lease.on_event(now, LeaseEvent::Tick { candidate }),
        };
        self.lease_calls.start(step, now, news.clone());
        let fencing = work.lease.fencing(now);
        work.planner.on_lease(fencing);
        self.publish(work, fencing).await;
        if fencing.is_none() {
            return;
        }
        self.ask_weights(work, now, &view, news);
        let Some(inspection) = self.inspect().await else {
            return;
        };
        let now = self.clock.now();
        // The answer may have come late, and the lease may have lapsed since.
        work.planner.on_lease(work.lease.fencing(now));
        let input = PlannerInput {
            view: &inspection.view,
            weights: &work.weights,
            pins: &inspection.pins,
        };
        for planned in work.planner.plan(now, input) {
            self.send(planned, &inspection.view, news.clone());
        }
    }

    fn send(&self, planned: PlannedOrder, view: &View, news: mpsc::Sender<News>) {
        let Some(seen) = view.targets.get(&planned.target) else {
            return;
        };
        let (client, agent) = (self.client.clone(), seen.target.agent);
        self.metrics.orders.inc();
        info!(
            target_id = planned.target.as_str(), fencing = planned.order.fencing.0,
            sequence = planned.order.sequence;
            "an order is sent: {:?}", planned.order.kind
        );
        tokio::spawn(async move {
            let PlannedOrder { target, order } = planned;
            let call = client.call::<_, OrderResponse>(agent, path::ORDERS, &order, ORDER_LIMIT);
            let outcome = match call.await {
                Ok(answer) => OrderOutcome::Response(answer),
                Err(error) => {
                    warn!(target_id = target.as_str(); "an order has no answer: {error}");
                    OrderOutcome::Lost
                }
            };
            let _ = news
                .send(News::Order(target, order.sequence, outcome))
                .await;
        });
    }

    fn ask_weights(&self, work: &mut Work, now: Time, view: &View, news: &mpsc::Sender<News>) {
        let names: BTreeSet<_> = view.config.versions.values().map(|v| &v.weights).collect();
        let known = names.iter().all(|name| work.weights.contains_key(*name));
        let period = if known { WEIGHT_PERIOD } else { UNKNOWN_PERIOD };
        if now.since(work.asked) < period {
            return;
        }
        work.asked = now;
        for name in names.into_iter().cloned() {
            let (store, news) = (self.weight_store.clone(), news.clone());
            tokio::spawn(async move {
                if let Ok(info) = store.describe(&name).await {
                    let (size, rate) = (info.size, info.rate);
                    let _ = news
                        .send(News::Weight(name, WeightsInfo { size, rate }))
                        .await;
                }
            });
        }
    }

    async fn publish(&self, work: &mut Work, fencing: Option<FencingNumber>) {
        let status = PlannerStatus {
            holder: fencing.map(|_| self.host.clone()),
            fencing: fencing.unwrap_or_default(),
            orders: work.planner.in_progress() as u32,
        };
        if status == work.status {
            return;
        }
        self.metrics.planner.set(i64::from(fencing.is_some()));
        work.status = status.clone();
        let _ = self.events.send(Event::Planner(status)).await;
    }

    async fn inspect(&self) -> Option<Inspection> {
        let (answer, receiver) = oneshot::channel();
        self.events.send(Event::Inspect { answer }).await.ok()?;
        receiver.await.ok()
    }
}
