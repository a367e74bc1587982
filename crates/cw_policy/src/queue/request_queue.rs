//! The queue itself.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cw_types::ErrorKind;
use cw_types::GenerationId;
use cw_types::Time;
use cw_types::WorkspaceId;
use rand::Rng;
use rand::RngExt;

use super::QueueEvent;
use super::QueueLimits;
use super::QueueStep;
use super::QueuedRequest;
use super::TargetPool;
use super::flow::Order;
use super::target_pool::Line;

/// Where a request waits within its lane.
#[derive(Clone, Debug)]
pub(super) struct Place {
    pub(super) pool: TargetPool,
    pub(super) rank: u8,
    pub(super) workspace: WorkspaceId,
    pub(super) order: Order,
}

impl Place {
    pub(super) fn of(request: &QueuedRequest) -> Self {
        Self {
            pool: request.pool.clone(),
            rank: request.rank,
            workspace: request.workspace.clone(),
            order: (request.deadline, request.id),
        }
    }
}

/// Requests that wait for a target.
#[derive(Clone, Debug, Default)]
pub struct RequestQueue {
    limits: QueueLimits,
    lines: BTreeMap<TargetPool, Line>,
    places: BTreeMap<GenerationId, Place>,
    deadlines: BTreeSet<Order>,
    bytes: u64,
}

impl RequestQueue {
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
            QueueEvent::Offered(request) => steps.extend(self.offer(now, request, rng)),
            QueueEvent::CapacityAvailable(pool) => steps.extend(self.start(&pool)),
            QueueEvent::Returned(request) => steps.extend(self.restore(now, request, rng)),
            QueueEvent::CallerGone(id) => drop(self.remove(id)),
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
    pub fn waiting_pools(&self) -> impl Iterator<Item = &TargetPool> {
        self.lines
            .iter()
            .filter(|(_, line)| !line.is_empty())
            .map(|(pool, _)| pool)
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

    fn offer(
        &mut self,
        now: Time,
        request: QueuedRequest,
        rng: &mut impl Rng,
    ) -> Option<QueueStep> {
        if request.deadline <= now || self.misses(now, &request) {
            return Some(self.refuse(request, ErrorKind::Overloaded, rng));
        }
        if self.fits(&request) {
            self.insert(request);
            return None;
        }
        let Some(victim) = self.victim(&request) else {
            return Some(self.refuse(request, ErrorKind::Overloaded, rng));
        };
        let victim = self.remove(victim)?;
        self.insert(request);
        Some(self.refuse(victim, ErrorKind::Overloaded, rng))
    }

    fn restore(
        &mut self,
        now: Time,
        request: QueuedRequest,
        rng: &mut impl Rng,
    ) -> Option<QueueStep> {
        if request.deadline <= now {
            return Some(self.refuse(request, ErrorKind::Expired, rng));
        }
        let line = self.lines.entry(request.pool.clone()).or_default();
        line.refund(&request);
        self.insert(request);
        None
    }

    fn start(&mut self, pool: &TargetPool) -> Option<QueueStep> {
        let line = self.lines.get_mut(pool)?;
        let request = line.take(self.limits.lower_interval)?;
        line.drain.start();
        self.forget(&request);
        Some(QueueStep::Start(request))
    }

    fn expire(&mut self, now: Time, rng: &mut impl Rng) -> Vec<QueueStep> {
        let mut steps = Vec::new();
        while let Some(&(deadline, id)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            if let Some(request) = self.remove(id) {
                steps.push(self.refuse(request, ErrorKind::Expired, rng));
            }
        }
        steps
    }

    // -----------------------------------------------------------------------------------------

    /// Returns whether a request cannot start before its deadline at the measured drain rate.
    fn misses(&self, now: Time, request: &QueuedRequest) -> bool {
        let Some(line) = self.lines.get(&request.pool) else {
            return false;
        };
        let ahead = line.ahead(request, self.limits.lower_interval);
        let left = now.until(request.deadline);
        ahead > 0 && line.drain.time(ahead).is_some_and(|time| time > left)
    }

    fn fits(&self, request: &QueuedRequest) -> bool {
        self.places.len() < self.limits.max_requests
            && self.bytes.saturating_add(request.bytes.0) <= self.limits.max_bytes.0
    }

    /// Returns the request that gives way to `request`: the last of a lower rank, or that of a
    /// workspace of its own rank that has more waiting.
    fn victim(&self, request: &QueuedRequest) -> Option<GenerationId> {
        let rank = self.lines.values().filter_map(Line::lowest).min()?;
        let flow = self
            .lines
            .values()
            .filter_map(|line| line.longest(rank))
            .max_by(|a, b| a.length().total_cmp(&b.length()))?;
        let victim = flow.last()?;
        let own = self.lines.get(&request.pool);
        let length = own.map_or(0.0, |line| line.length_with(request));
        let gives_way = rank < request.rank
            || (rank == request.rank
                && victim.workspace != request.workspace
                && flow.length() > length);
        let freed = self.bytes - victim.bytes.0;
        let enough = freed.saturating_add(request.bytes.0) <= self.limits.max_bytes.0;
        (gives_way && enough).then_some(victim.id)
    }

    fn refuse(&self, request: QueuedRequest, kind: ErrorKind, rng: &mut impl Rng) -> QueueStep {
        let line = self.lines.get(&request.pool);
        let drain = line.and_then(|line| line.drain.time(line.len()));
        let drain = drain
            .unwrap_or(self.limits.retry_min)
            .clamp(self.limits.retry_min, self.limits.retry_max);
        // Full jitter spreads those that are refused together.
        let retry = self.limits.retry_min + drain.mul_f64(rng.random::<f64>());
        QueueStep::Refuse {
            request,
            kind,
            retry,
        }
    }

    // -----------------------------------------------------------------------------------------

    fn insert(&mut self, request: QueuedRequest) {
        self.bytes += request.bytes.0;
        self.places.insert(request.id, Place::of(&request));
        self.deadlines.insert((request.deadline, request.id));
        let line = self.lines.entry(request.pool.clone()).or_default();
        line.insert(request);
    }

    fn remove(&mut self, id: GenerationId) -> Option<QueuedRequest> {
        let place = self.places.get(&id)?;
        let request = self.lines.get_mut(&place.pool)?.remove(place)?;
        self.forget(&request);
        Some(request)
    }

    fn forget(&mut self, request: &QueuedRequest) {
        self.bytes -= request.bytes.0;
        self.places.remove(&request.id);
        self.deadlines.remove(&(request.deadline, request.id));
    }
}
