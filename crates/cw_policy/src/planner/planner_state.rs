//! From accepted model versions to orders.

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

use super::Need;
use super::checks::holds;
use super::checks::is_unpinned;
use super::checks::is_usable;
use super::checks::load;
use super::checks::unload;
use crate::Liveness;
use crate::TargetView;
use crate::View;

/// How long an order may go without an answer before it is sent again.
const RESEND_PERIOD: Duration = Duration::from_secs(2);

/// How long a target is left alone after it refused an order.
const BACKOFF: Duration = Duration::from_secs(10);

/// How long after an answer the target's report must show the effect.
const EFFECT_LIMIT: Duration = Duration::from_secs(60);

/// How many times the paced time a load may take.
const LOAD_SLACK: u32 = 4;

/// What the weight store says of one set of weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Weight {
    /// Its size.
    pub size: ByteSize,
    /// How many bytes a second the store gives out to all readers together.
    pub rate: ByteSize,
}

impl Weight {
    /// Returns how long one load takes when it is alone.
    pub fn load_time(&self) -> Duration {
        let micros = self.size.0.saturating_mul(1_000_000) / self.rate.0.max(1);
        Duration::from_micros(micros)
    }
}

/// What the planner goes by.
#[derive(Clone, Copy, Debug)]
pub struct PlannerInput<'a> {
    /// The view of targets and records.
    pub view: &'a View,
    /// What is known of weights; without it nothing is loaded.
    pub weights: &'a BTreeMap<String, Weight>,
    /// The pinned versions that targets reported; a target without an entry may have any.
    pub pins: &'a BTreeMap<TargetId, Pins>,
}

/// An order for one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOrder {
    /// The target.
    pub target: TargetId,
    /// The order.
    pub order: Order,
}

/// What became of sending an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The agent answered.
    Answer(OrderResponse),
    /// No answer came: the order may or may not have arrived.
    Lost,
}

/// An order that was sent.
#[derive(Clone, Debug)]
struct Sent {
    order: Order,
    first: Time,
    last: Time,
    answered: bool,
    limit: Duration,
}

/// A target, what to order, and how long it may take to show.
type Task = (TargetId, OrderKind, Duration);

/// A version on a target.
type Held = (TargetId, ModelName, VersionName);

/// From accepted model versions to orders, at most one at a time for each target.
///
/// An order keeps its number when it is sent again, so a doubled one has no second effect, and
/// every order carries the fencing number of the lease, so a late one of a deposed planner is
/// refused.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    fencing: Option<FencingNumber>,
    deposed: bool,
    sequence: u64,
    sent: BTreeMap<TargetId, Sent>,
    rest: BTreeMap<TargetId, Time>,
    next_load: Time,
    unneeded: BTreeMap<Held, Time>,
    adapters: BTreeSet<(TargetId, Incarnation, VersionName, AdapterName)>,
}

impl Planner {
    /// Takes the fencing number of the lease, or its loss, which ends all orders at once.
    pub fn on_lease(&mut self, fencing: Option<FencingNumber>) {
        if self.fencing != fencing {
            *self = Self {
                fencing,
                ..Self::default()
            };
        }
    }

    /// Returns whether a target has seen a later holder of the lease than this process.
    pub fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// Returns how many orders are in progress.
    pub fn in_progress(&self) -> usize {
        self.sent.len()
    }

    /// Returns the orders to send now.
    pub fn plan(&mut self, now: Time, input: PlannerInput<'_>) -> Vec<PlannedOrder> {
        let Some(fencing) = self.fencing else {
            return Vec::new();
        };
        self.settle(now, input.view);
        let mut orders = self.resend(now);
        for (model, need) in Need::read(&input.view.config) {
            let mut kinds = self.loads(now, &model, &need, input);
            kinds.extend(self.adapter_loads(&model, &need, input.view));
            kinds.extend(self.unloads(now, &model, &need, input));
            for (target, kind, limit) in kinds {
                let order = self.number(now, fencing, &target, kind, limit);
                orders.push(PlannedOrder { target, order });
            }
        }
        orders
    }

    /// Takes what became of an order.
    pub fn on_outcome(&mut self, now: Time, target: &TargetId, sequence: u64, end: OrderOutcome) {
        let Some(sent) = self.sent.get_mut(target) else {
            return;
        };
        if sent.order.sequence != sequence {
            return;
        }
        match end {
            OrderOutcome::Lost => {}
            OrderOutcome::Answer(OrderResponse::Done | OrderResponse::Begun) => {
                sent.answered = true
            }
            OrderOutcome::Answer(OrderResponse::Fenced { highest }) => self.on_fenced(highest),
            OrderOutcome::Answer(OrderResponse::Pinned { .. } | OrderResponse::Failed { .. }) => {
                self.sent.remove(target);
                self.rest.insert(target.clone(), now + BACKOFF);
            }
        }
    }

    // ------------------------------------------------------------------------
    // Orders in progress

    fn on_fenced(&mut self, highest: FencingNumber) {
        // A later holder is at work, whatever this process believes of its lease.
        if self.fencing.is_some_and(|own| own < highest) {
            self.on_lease(None);
            self.deposed = true;
        }
    }

    fn settle(&mut self, now: Time, view: &View) {
        self.rest.retain(|_, until| now < *until);
        let sent = std::mem::take(&mut self.sent);
        for (target, sent) in sent {
            let seen = view.targets.get(&target);
            if seen.is_none_or(|seen| seen.liveness == Liveness::Gone) {
                continue;
            }
            if seen.is_some_and(|seen| shows(seen, &sent)) {
                self.on_shown(target, seen, &sent);
            } else if now.since(sent.first) >= sent.limit {
                self.rest.insert(target, now + BACKOFF);
            } else {
                self.sent.insert(target, sent);
            }
        }
    }

    fn on_shown(&mut self, target: TargetId, seen: Option<&TargetView>, sent: &Sent) {
        if let (
            Some(seen),
            OrderKind::LoadAdapter {
                version, adapter, ..
            },
        ) = (seen, &sent.order.kind)
        {
            let key = (target, seen.incarnation, version.clone(), adapter.clone());
            self.adapters.insert(key);
        }
    }

    fn resend(&mut self, now: Time) -> Vec<PlannedOrder> {
        let due = |sent: &Sent| !sent.answered && now.since(sent.last) >= RESEND_PERIOD;
        self.sent
            .iter_mut()
            .filter(|(_, sent)| due(sent))
            .map(|(target, sent)| {
                sent.last = now;
                PlannedOrder {
                    target: target.clone(),
                    order: sent.order.clone(),
                }
            })
            .collect()
    }

    fn number(
        &mut self,
        now: Time,
        fencing: FencingNumber,
        target: &TargetId,
        kind: OrderKind,
        limit: Duration,
    ) -> Order {
        self.sequence += 1;
        let order = Order {
            fencing,
            sequence: self.sequence,
            kind,
        };
        let sent = Sent {
            order: order.clone(),
            first: now,
            last: now,
            answered: false,
            limit,
        };
        self.sent.insert(target.clone(), sent);
        order
    }

    fn is_free(&self, target: &TargetId) -> bool {
        !self.sent.contains_key(target) && !self.rest.contains_key(target)
    }

    // ------------------------------------------------------------------------
    // Loads

    /// At most one load starts at a time, and the next when the store has had time for it.
    fn loads(
        &mut self,
        now: Time,
        model: &ModelName,
        need: &Need,
        input: PlannerInput<'_>,
    ) -> Vec<Task> {
        for (name, version) in &need.versions {
            let wanted = version.targets as usize;
            if now < self.next_load || self.holding(model, name, input.view) >= wanted {
                continue;
            }
            let Some(weight) = input.weights.get(&version.weights) else {
                continue;
            };
            let Some(target) = self.choose(model, name, input.view) else {
                continue;
            };
            self.next_load = now + weight.load_time();
            let limit = weight.load_time() * LOAD_SLACK + EFFECT_LIMIT;
            return vec![(target, load(version), limit)];
        }
        Vec::new()
    }

    /// Returns how many targets hold a version or are loading it.
    fn holding(&self, model: &ModelName, version: &VersionName, view: &View) -> usize {
        let loading = |id: &TargetId| {
            self.sent.get(id).is_some_and(|sent| {
                matches!(&sent.order.kind, OrderKind::Load { model: m, version: v, .. }
                    if m == model && v == version)
            })
        };
        view.targets
            .iter()
            .filter(|(id, seen)| is_usable(seen) && (holds(seen, model, version) || loading(id)))
            .count()
    }

    /// Chooses the target with the fewest versions, so that the old one stays where it is.
    fn choose(&self, model: &ModelName, version: &VersionName, view: &View) -> Option<TargetId> {
        let count = |seen: &TargetView| -> usize { seen.versions.values().map(|v| v.len()).sum() };
        view.targets
            .iter()
            .filter(|(id, seen)| is_usable(seen) && self.is_free(id))
            .filter(|(_, seen)| !holds(seen, model, version))
            .min_by_key(|(id, seen)| (count(seen), seen.load.running, (*id).clone()))
            .map(|(id, _)| id.clone())
    }

    fn adapter_loads(&self, model: &ModelName, need: &Need, view: &View) -> Vec<Task> {
        let mut found = BTreeMap::new();
        for (name, version) in &need.versions {
            for (id, seen) in &view.targets {
                let ready = is_usable(seen) && holds(seen, model, name) && self.is_free(id);
                let missing = |adapter: &&AdapterName| {
                    let key = (
                        id.clone(),
                        seen.incarnation,
                        name.clone(),
                        (*adapter).clone(),
                    );
                    !self.adapters.contains(&key)
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
        let limited = |(id, kind)| (id, kind, EFFECT_LIMIT);
        found.into_iter().map(limited).collect()
    }

    // ------------------------------------------------------------------------
    // Unloads

    /// Unloads what is not needed, once the needed versions are everywhere they should be and
    /// nothing in the whole deployment has been pinned to the old one for long enough.
    fn unloads(
        &mut self,
        now: Time,
        model: &ModelName,
        need: &Need,
        input: PlannerInput<'_>,
    ) -> Vec<Task> {
        let view = input.view;
        let complete = need.versions.iter().all(|(name, version)| {
            let loaded = |seen: &&TargetView| is_usable(seen) && holds(seen, model, name);
            let usable = view.targets.values().filter(|seen| is_usable(seen)).count();
            let wanted = (version.targets as usize).min(usable);
            view.targets.values().filter(loaded).count() >= wanted
        });
        let mut found = Vec::<Task>::new();
        for (id, seen) in &view.targets {
            let held = seen.versions.get(model).into_iter().flatten();
            for version in held.filter(|version| !need.wants(version)) {
                let key = (id.clone(), model.clone(), version.clone());
                let quiet = complete && is_unpinned(model, version, input);
                if !quiet {
                    self.unneeded.remove(&key);
                    continue;
                }
                let since = *self.unneeded.entry(key).or_insert(now);
                let due = now.since(since) >= need.keep;
                let again = found.iter().any(|(other, ..)| other == id);
                if due && !again && is_usable(seen) && self.is_free(id) {
                    found.push((id.clone(), unload(model, version), EFFECT_LIMIT));
                }
            }
        }
        found
    }
}

/// Returns whether the report of a target shows what it was ordered.
fn shows(seen: &TargetView, sent: &Sent) -> bool {
    match &sent.order.kind {
        OrderKind::Load { model, version, .. } => holds(seen, model, version),
        OrderKind::Unload { model, version } => !holds(seen, model, version),
        OrderKind::LoadAdapter { .. } | OrderKind::Role { .. } => sent.answered,
    }
}
