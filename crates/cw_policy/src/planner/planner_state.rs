//! The planning of orders from model version records.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cw_types::AdapterName;
use cw_types::ByteSize;
use cw_types::FencingNumber;
use cw_types::Incarnation;
use cw_types::ModelName;
use cw_types::TargetId;
use cw_types::Time;
use cw_types::VersionName;
use cw_wire::Order;
use cw_wire::OrderKind;
use cw_wire::OrderResponse;
use cw_wire::Pins;

use super::RequiredVersions;
use super::checks::holds;
use super::checks::is_unpinned;
use super::checks::is_usable;
use super::checks::load_order;
use super::checks::unload_order;
use crate::Liveness;
use crate::TargetView;
use crate::View;

/// How long to wait for a response before an order is sent again.
const RESEND_PERIOD: Duration = Duration::from_secs(2);

/// How long no order is sent to a target after it refused one or an order timed out.
const BACKOFF: Duration = Duration::from_secs(10);

/// How long after an order the target's report may take to show its effect.
const EFFECT_TIMEOUT: Duration = Duration::from_secs(60);

/// The multiple of the undisturbed load time that a load may take.
const LOAD_TIMEOUT_FACTOR: u32 = 4;

/// The size of one set of weights, and the rate at which the weight store serves it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightsInfo {
    /// The size of the weights.
    pub size: ByteSize,
    /// The store's total throughput over all readers, in bytes per second.
    pub rate: ByteSize,
}

impl WeightsInfo {
    /// Returns how long a load takes when it is the only one.
    pub fn load_time(&self) -> Duration {
        let micros = self.size.0.saturating_mul(1_000_000) / self.rate.0.max(1);
        Duration::from_micros(micros)
    }
}

/// The state on which the planner bases its orders.
#[derive(Clone, Copy, Debug)]
pub struct PlannerInput<'a> {
    /// The view of targets and records.
    pub view: &'a View,
    /// The known weights by name. A version whose weights are missing is not loaded.
    pub weights: &'a BTreeMap<String, WeightsInfo>,
    /// The pinned versions that targets reported. A target that is missing here may have pins on any
    /// version.
    pub pins: &'a BTreeMap<TargetId, Pins>,
}

/// An order for one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOrder {
    /// The target whose agent is to receive the order.
    pub target: TargetId,
    /// The order, which keeps its sequence number when it is sent again.
    pub order: Order,
}

/// The outcome of sending an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The agent responded.
    Response(OrderResponse),
    /// No response arrived: the agent may or may not have received the order.
    Lost,
}

/// An order whose effect has not been reported yet.
#[derive(Clone, Debug)]
struct PendingOrder {
    order: Order,
    first_sent: Time,
    last_sent: Time,
    responded: bool,
    timeout: Duration,
}

/// A target, the order for it, and how long the effect may take to be reported.
type Task = (TargetId, OrderKind, Duration);

/// A version on a target.
type HeldVersion = (TargetId, ModelName, VersionName);

/// Plans orders from model version records, with at most one order in progress for each target.
///
/// An order keeps its sequence number when it is sent again, so a duplicate has no second effect.
/// Every order carries the fencing number of the lease, so a delayed order of a former holder is
/// refused.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    fencing: Option<FencingNumber>,
    fenced: bool,
    sequence: u64,
    pending: BTreeMap<TargetId, PendingOrder>,
    backoff: BTreeMap<TargetId, Time>,
    next_load_at: Time,
    unpinned_since: BTreeMap<HeldVersion, Time>,
    loaded_adapters: BTreeSet<(TargetId, Incarnation, VersionName, AdapterName)>,
}

impl Planner {
    /// Sets the fencing number of the lease, or `None` after its loss. A change drops all orders in
    /// progress.
    pub fn on_lease(&mut self, fencing: Option<FencingNumber>) {
        if self.fencing != fencing {
            *self = Self {
                fencing,
                ..Self::default()
            };
        }
    }

    /// Returns whether a target refused an order because it has received one of a later holder of
    /// the lease.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Returns how many orders are in progress.
    pub fn in_progress(&self) -> usize {
        self.pending.len()
    }

    /// Returns the orders to send now, repeated ones included.
    pub fn plan(&mut self, now: Time, input: PlannerInput<'_>) -> Vec<PlannedOrder> {
        let Some(fencing) = self.fencing else {
            return Vec::new();
        };
        self.update_pending(now, input.view);
        let mut orders = self.resend(now);
        for (model, required) in RequiredVersions::from_config(&input.view.config) {
            let mut kinds = self.plan_load(now, &model, &required, input);
            kinds.extend(self.plan_adapter_loads(&model, &required, input.view));
            kinds.extend(self.plan_unloads(now, &model, &required, input));
            for (target, kind, timeout) in kinds {
                let order = self.start_order(now, fencing, &target, kind, timeout);
                orders.push(PlannedOrder { target, order });
            }
        }
        orders
    }

    /// Records the outcome of an order. The outcome of an order that is no longer in progress is
    /// ignored.
    pub fn on_outcome(
        &mut self,
        now: Time,
        target: &TargetId,
        sequence: u64,
        outcome: OrderOutcome,
    ) {
        let Some(sent) = self.pending.get_mut(target) else {
            return;
        };
        if sent.order.sequence != sequence {
            return;
        }
        match outcome {
            OrderOutcome::Lost => {}
            OrderOutcome::Response(OrderResponse::Done | OrderResponse::Begun) => {
                sent.responded = true
            }
            OrderOutcome::Response(OrderResponse::Fenced { highest }) => self.on_fenced(highest),
            OrderOutcome::Response(OrderResponse::Pinned { .. } | OrderResponse::Failed { .. }) => {
                self.pending.remove(target);
                self.backoff.insert(target.clone(), now + BACKOFF);
            }
        }
    }

    // ---- Orders in progress ----

    fn on_fenced(&mut self, highest: FencingNumber) {
        // A later holder is active, even if this process still considers its own lease valid.
        if self.fencing.is_some_and(|own| own < highest) {
            self.on_lease(None);
            self.fenced = true;
        }
    }

    fn update_pending(&mut self, now: Time, view: &View) {
        self.backoff.retain(|_, until| now < *until);
        let pending = std::mem::take(&mut self.pending);
        for (target, sent) in pending {
            let seen = view.targets.get(&target);
            if seen.is_none_or(|seen| seen.liveness == Liveness::Gone) {
                continue;
            }
            if seen.is_some_and(|seen| shows_effect(seen, &sent)) {
                self.on_effect(target, seen, &sent);
            } else if now.since(sent.first_sent) >= sent.timeout {
                self.backoff.insert(target, now + BACKOFF);
            } else {
                self.pending.insert(target, sent);
            }
        }
    }

    fn on_effect(&mut self, target: TargetId, seen: Option<&TargetView>, sent: &PendingOrder) {
        if let (
            Some(seen),
            OrderKind::LoadAdapter {
                version, adapter, ..
            },
        ) = (seen, &sent.order.kind)
        {
            let key = (target, seen.incarnation, version.clone(), adapter.clone());
            self.loaded_adapters.insert(key);
        }
    }

    fn resend(&mut self, now: Time) -> Vec<PlannedOrder> {
        let due =
            |sent: &PendingOrder| !sent.responded && now.since(sent.last_sent) >= RESEND_PERIOD;
        self.pending
            .iter_mut()
            .filter(|(_, sent)| due(sent))
            .map(|(target, sent)| {
                sent.last_sent = now;
                PlannedOrder {
                    target: target.clone(),
                    order: sent.order.clone(),
                }
            })
            .collect()
    }

    fn start_order(
        &mut self,
        now: Time,
        fencing: FencingNumber,
        target: &TargetId,
        kind: OrderKind,
        timeout: Duration,
    ) -> Order {
        self.sequence += 1;
        let order = Order {
            fencing,
            sequence: self.sequence,
            kind,
        };
        let sent = PendingOrder {
            order: order.clone(),
            first_sent: now,
            last_sent: now,
            responded: false,
            timeout,
        };
        self.pending.insert(target.clone(), sent);
        order
    }

    fn is_free(&self, target: &TargetId) -> bool {
        !self.pending.contains_key(target) && !self.backoff.contains_key(target)
    }

    // ---- Loads ----

    /// Returns at most one load, and none before the weight store has had time for the previous one.
    fn plan_load(
        &mut self,
        now: Time,
        model: &ModelName,
        required: &RequiredVersions,
        input: PlannerInput<'_>,
    ) -> Vec<Task> {
        for (name, version) in &required.versions {
            let wanted = version.targets as usize;
            if now < self.next_load_at || self.holder_count(model, name, input.view) >= wanted {
                continue;
            }
            let Some(weights) = input.weights.get(&version.weights) else {
                continue;
            };
            let Some(target) = self.choose_target(model, name, input.view) else {
                continue;
            };
            self.next_load_at = now + weights.load_time();
            let timeout = weights.load_time() * LOAD_TIMEOUT_FACTOR + EFFECT_TIMEOUT;
            return vec![(target, load_order(version), timeout)];
        }
        Vec::new()
    }

    /// Returns the number of usable targets that hold a version or are loading it.
    fn holder_count(&self, model: &ModelName, version: &VersionName, view: &View) -> usize {
        let loading = |id: &TargetId| {
            self.pending.get(id).is_some_and(|sent| {
                matches!(&sent.order.kind, OrderKind::Load { model: m, version: v, .. }
                    if m == model && v == version)
            })
        };
        view.targets
            .iter()
            .filter(|(id, seen)| is_usable(seen) && (holds(seen, model, version) || loading(id)))
            .count()
    }

    /// Chooses the free target with the fewest versions, so that the old version stays loaded.
    fn choose_target(
        &self,
        model: &ModelName,
        version: &VersionName,
        view: &View,
    ) -> Option<TargetId> {
        let count = |seen: &TargetView| -> usize { seen.versions.values().map(|v| v.len()).sum() };
        view.targets
            .iter()
            .filter(|(id, seen)| is_usable(seen) && self.is_free(id))
            .filter(|(_, seen)| !holds(seen, model, version))
            .min_by_key(|(id, seen)| (count(seen), seen.load.running, (*id).clone()))
            .map(|(id, _)| id.clone())
    }

    fn plan_adapter_loads(
        &self,
        model: &ModelName,
        required: &RequiredVersions,
        view: &View,
    ) -> Vec<Task> {
        let mut found = BTreeMap::new();
        for (name, version) in &required.versions {
            for (id, seen) in &view.targets {
                let ready = is_usable(seen) && holds(seen, model, name) && self.is_free(id);
                let missing = |adapter: &&AdapterName| {
                    let key = (
                        id.clone(),
                        seen.incarnation,
                        name.clone(),
                        (*adapter).clone(),
                    );
                    !self.loaded_adapters.contains(&key)
                };
                if let Some(adapter) = version.adapters.iter().find(missing).filter(|_| ready) {
                    let kind = OrderKind::LoadAdapter {
                        model: model.clone(),
                        version: name.clone(),
                        adapter: adapter.clone(),
                    };
                    found.entry(id.clone()).or_insert(kind);
                }
            }
        }
        let with_timeout = |(id, kind)| (id, kind, EFFECT_TIMEOUT);
        found.into_iter().map(with_timeout).collect()
    }

    // ---- Unloads ----

    /// Unloads versions that are not required, once the required versions are loaded on enough targets
    /// and the unrequired one has had no pins in the whole deployment for the retention time.
    fn plan_unloads(
        &mut self,
        now: Time,
        model: &ModelName,
        required: &RequiredVersions,
        input: PlannerInput<'_>,
    ) -> Vec<Task> {
        let view = input.view;
        let complete = required.versions.iter().all(|(name, version)| {
            let loaded = |seen: &&TargetView| is_usable(seen) && holds(seen, model, name);
            let usable = view.targets.values().filter(|seen| is_usable(seen)).count();
            let wanted = (version.targets as usize).min(usable);
            view.targets.values().filter(loaded).count() >= wanted
        });
        let mut found = Vec::<Task>::new();
        for (id, seen) in &view.targets {
            let held = seen.versions.get(model).into_iter().flatten();
            for version in held.filter(|version| !required.requires(version)) {
                let key = (id.clone(), model.clone(), version.clone());
                let unpinned = complete && is_unpinned(model, version, input);
                if !unpinned {
                    self.unpinned_since.remove(&key);
                    continue;
                }
                let since = *self.unpinned_since.entry(key).or_insert(now);
                let due = now.since(since) >= required.retention;
                let ordered = found.iter().any(|(other, ..)| other == id);
                if due && !ordered && is_usable(seen) && self.is_free(id) {
                    found.push((id.clone(), unload_order(model, version), EFFECT_TIMEOUT));
                }
            }
        }
        found
    }
}

/// Returns whether a target's report shows the effect of an order.
fn shows_effect(seen: &TargetView, sent: &PendingOrder) -> bool {
    match &sent.order.kind {
        OrderKind::Load { model, version, .. } => holds(seen, model, version),
        OrderKind::Unload { model, version } => !holds(seen, model, version),
        OrderKind::LoadAdapter { .. } | OrderKind::Role { .. } => sent.responded,
    }
}
