//! The queue itself.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cw_types::ErrorKind;
use cw_types::GenerationId;
use cw_types::Time;
use cw_types::WorkspaceId;
use rand::Rng;
use rand::RngExt;

use super::Lane;
use super::QueueEvent;
use super::QueueLimits;
use super::QueueStep;
use super::Waiter;
use super::flow::Order;
use super::lane::Line;

/// Where a request waits within its lane.
#[derive(Clone, Debug)]
pub(super) struct Place {
    pub(super) lane: Lane,
    pub(super) rank: u8,
    pub(super) workspace: WorkspaceId,
    pub(super) order: Order,
}

impl Place {
    pub(super) fn of(waiter: &Waiter) -> Self {
        Self {
            lane: waiter.lane.clone(),
            rank: waiter.rank,
            workspace: waiter.workspace.clone(),
            order: (waiter.deadline, waiter.id),
        }
    }
}

/// Requests that wait for a target.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    limits: QueueLimits,
    lines: BTreeMap<Lane, Line>,
    places: BTreeMap<GenerationId, Place>,
    deadlines: BTreeSet<Order>,
    bytes: u64,
}

impl Queue {
    /// Returns an empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Takes in an event, and says what to do now; requests past their deadline come first.
    pub fn on_event(&mut self, now: Time, event: QueueEvent, rng: &mut impl Rng) -> Vec<QueueStep> {
        let mut steps = self.expire(now, rng);
        match event {
            QueueEvent::Offered(waiter) => steps.extend(self.offer(now, waiter, rng)),
            QueueEvent::Room(lane) => steps.extend(self.start(&lane)),
            QueueEvent::Returned(waiter) => steps.extend(self.restore(now, waiter, rng)),
            QueueEvent::Gone(id) => drop(self.remove(id)),
            QueueEvent::Tick => {}
        }
        for line in self.lines.values_mut() {
            let waits = !line.is_empty();
            line.drain.update(now, waits);
        }
        steps
    }

    /// Returns when the next request passes its deadline.
    pub fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|order| order.0)
    }

    /// Returns the lanes in which requests wait.
    pub fn lanes(&self) -> impl Iterator<Item = &Lane> {
        self.lines
            .iter()
            .filter(|(_, line)| !line.is_empty())
            .map(|(lane, _)| lane)
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether none waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    // -----------------------------------------------------------------------------------------

    fn offer(&mut self, now: Time, waiter: Waiter, rng: &mut impl Rng) -> Option<QueueStep> {
        if waiter.deadline <= now || self.misses(now, &waiter) {
            return Some(self.refuse(waiter, ErrorKind::Overloaded, rng));
        }
        if self.fits(&waiter) {
            self.insert(waiter);
            return None;
        }
        let Some(victim) = self.victim(&waiter) else {
            return Some(self.refuse(waiter, ErrorKind::Overloaded, rng));
        };
        let victim = self.remove(victim)?;
        self.insert(waiter);
        Some(self.refuse(victim, ErrorKind::Overloaded, rng))
    }

    fn restore(&mut self, now: Time, waiter: Waiter, rng: &mut impl Rng) -> Option<QueueStep> {
        if waiter.deadline <= now {
            return Some(self.refuse(waiter, ErrorKind::Expired, rng));
        }
        let line = self.lines.entry(waiter.lane.clone()).or_default();
        line.refund(&waiter);
        self.insert(waiter);
        None
    }

    fn start(&mut self, lane: &Lane) -> Option<QueueStep> {
        let line = self.lines.get_mut(lane)?;
        let waiter = line.take(self.limits.lower)?;
        line.drain.start();
        self.forget(&waiter);
        Some(QueueStep::Start(waiter))
    }

    fn expire(&mut self, now: Time, rng: &mut impl Rng) -> Vec<QueueStep> {
        let mut steps = Vec::new();
        while let Some(&(deadline, id)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            if let Some(waiter) = self.remove(id) {
                steps.push(self.refuse(waiter, ErrorKind::Expired, rng));
            }
        }
        steps
    }

    // -----------------------------------------------------------------------------------------

    /// Returns whether a request cannot start before its deadline at the measured drain rate.
    fn misses(&self, now: Time, waiter: &Waiter) -> bool {
        let Some(line) = self.lines.get(&waiter.lane) else {
            return false;
        };
        let ahead = line.ahead(waiter, self.limits.lower);
        let left = now.until(waiter.deadline);
        ahead > 0 && line.drain.time(ahead).is_some_and(|time| time > left)
    }

    fn fits(&self, waiter: &Waiter) -> bool {
        self.places.len() < self.limits.items
            && self.bytes.saturating_add(waiter.bytes.0) <= self.limits.bytes.0
    }

    /// Returns the request that gives way to `waiter`: the last of a lower rank, or that of a
    /// workspace of its own rank that has more waiting.
    fn victim(&self, waiter: &Waiter) -> Option<GenerationId> {
        let rank = self.lines.values().filter_map(Line::lowest).min()?;
        let flow = self
            .lines
            .values()
            .filter_map(|line| line.longest(rank))
            .max_by(|a, b| a.length().total_cmp(&b.length()))?;
        let victim = flow.last()?;
        let own = self.lines.get(&waiter.lane);
        let length = own.map_or(0.0, |line| line.length_with(waiter));
        let gives_way = rank < waiter.rank
            || (rank == waiter.rank
                && victim.workspace != waiter.workspace
                && flow.length() > length);
        let freed = self.bytes - victim.bytes.0;
        let enough = freed.saturating_add(waiter.bytes.0) <= self.limits.bytes.0;
        (gives_way && enough).then_some(victim.id)
    }

    fn refuse(&self, waiter: Waiter, kind: ErrorKind, rng: &mut impl Rng) -> QueueStep {
        let line = self.lines.get(&waiter.lane);
        let drain = line.and_then(|line| line.drain.time(line.len()));
        let drain = drain
            .unwrap_or(self.limits.retry_min)
            .clamp(self.limits.retry_min, self.limits.retry_max);
        // Full jitter spreads those that are refused together.
        let retry = self.limits.retry_min + drain.mul_f64(rng.random::<f64>());
        QueueStep::Refuse {
            waiter,
            kind,
            retry,
        }
    }

    // -----------------------------------------------------------------------------------------

    fn insert(&mut self, waiter: Waiter) {
        self.bytes += waiter.bytes.0;
        self.places.insert(waiter.id, Place::of(&waiter));
        self.deadlines.insert((waiter.deadline, waiter.id));
        let line = self.lines.entry(waiter.lane.clone()).or_default();
        line.insert(waiter);
    }

    fn remove(&mut self, id: GenerationId) -> Option<Waiter> {
        let place = self.places.get(&id)?;
        let waiter = self.lines.get_mut(&place.lane)?.remove(place)?;
        self.forget(&waiter);
        Some(waiter)
    }

    fn forget(&mut self, waiter: &Waiter) {
        self.bytes -= waiter.bytes.0;
        self.places.remove(&waiter.id);
        self.deadlines.remove(&(waiter.deadline, waiter.id));
    }
}
