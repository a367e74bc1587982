//! The queue of all requests that wait for a target.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cw_types::ErrorKind;
use cw_types::GenerationId;
use cw_types::Time;
use rand::Rng;
use rand::RngExt;

use super::QueueEvent;
use super::QueueLimits;
use super::QueueStep;
use super::QueuedRequest;
use super::TargetPool;
use super::flow::DeadlineKey;
use super::queue_position::QueuePosition;
use super::target_pool::PoolQueue;

/// The requests of an entry that wait for a target.
#[derive(Clone, Debug, Default)]
pub struct RequestQueue {
    limits: QueueLimits,
    pool_queues: BTreeMap<TargetPool, PoolQueue>,
    positions: BTreeMap<GenerationId, QueuePosition>,
    deadlines: BTreeSet<DeadlineKey>,
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

    /// Applies an event and returns the steps to take; those of expired requests come first.
    pub fn on_event(&mut self, now: Time, event: QueueEvent, rng: &mut impl Rng) -> Vec<QueueStep> {
        let mut steps = self.expire(now, rng);
        match event {
            QueueEvent::Offered(request) => steps.extend(self.offer(now, request, rng)),
            QueueEvent::CapacityAvailable(pool) => steps.extend(self.start(&pool)),
            QueueEvent::Returned(request) => steps.extend(self.restore(now, request, rng)),
            QueueEvent::CallerGone(id) => drop(self.remove(id)),
            QueueEvent::Tick => {}
        }
        for pool_queue in self.pool_queues.values_mut() {
            let waits = !pool_queue.is_empty();
            pool_queue.drain_rate.update(now, waits);
        }
        steps
    }

    /// Returns the earliest deadline of a waiting request.
    pub fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|key| key.0)
    }

    /// Returns the target pools that requests wait for.
    pub fn waiting_pools(&self) -> impl Iterator<Item = &TargetPool> {
        self.pool_queues
            .iter()
            .filter(|(_, pool_queue)| !pool_queue.is_empty())
            .map(|(pool, _)| pool)
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    // ---- Events ----

    fn offer(
        &mut self,
        now: Time,
        request: QueuedRequest,
        rng: &mut impl Rng,
    ) -> Option<QueueStep> {
        if request.deadline <= now || self.misses_deadline(now, &request) {
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
        let pool_queue = self.pool_queues.entry(request.pool.clone()).or_default();
        pool_queue.revert_start(&request);
        self.insert(request);
        None
    }

    fn start(&mut self, pool: &TargetPool) -> Option<QueueStep> {
        let pool_queue = self.pool_queues.get_mut(pool)?;
        let request = pool_queue.take_next(self.limits.lower_interval)?;
        pool_queue.drain_rate.record_start();
        self.remove_keys(&request);
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

    // ---- Limits and refusals ----

    /// Returns whether a request is expected to miss its deadline at the measured drain rate.
    fn misses_deadline(&self, now: Time, request: &QueuedRequest) -> bool {
        let Some(pool_queue) = self.pool_queues.get(&request.pool) else {
            return false;
        };
        let requests_ahead = pool_queue.requests_ahead(request, self.limits.lower_interval);
        let left = now.until(request.deadline);
        requests_ahead > 0
            && pool_queue
                .drain_rate
                .time_for(requests_ahead)
                .is_some_and(|time| time > left)
    }

    fn fits(&self, request: &QueuedRequest) -> bool {
        self.positions.len() < self.limits.max_requests
            && self.bytes.saturating_add(request.bytes.0) <= self.limits.max_bytes.0
    }

    /// Returns the request to evict for `request`, if there is one: the last one of the longest
    /// flow of the lowest rank, if that rank is lower, or if it is the same and the flow is another
    /// workspace's and longer than the request's own. It must also free enough memory.
    fn victim(&self, request: &QueuedRequest) -> Option<GenerationId> {
        let rank = self
            .pool_queues
            .values()
            .filter_map(PoolQueue::lowest_rank)
            .min()?;
        let flow = self
            .pool_queues
            .values()
            .filter_map(|pool_queue| pool_queue.longest(rank))
            .max_by(|a, b| a.length().total_cmp(&b.length()))?;
        let victim = flow.last()?;
        let own = self.pool_queues.get(&request.pool);
        let length = own.map_or(0.0, |pool_queue| pool_queue.length_with(request));
        let may_evict = rank < request.rank
            || (rank == request.rank
                && victim.workspace != request.workspace
                && flow.length() > length);
        let freed = self.bytes - victim.bytes.0;
        let enough = freed.saturating_add(request.bytes.0) <= self.limits.max_bytes.0;
        (may_evict && enough).then_some(victim.id)
    }

    fn refuse(&self, request: QueuedRequest, kind: ErrorKind, rng: &mut impl Rng) -> QueueStep {
        let pool_queue = self.pool_queues.get(&request.pool);
        let drain_time =
            pool_queue.and_then(|pool_queue| pool_queue.drain_rate.time_for(pool_queue.len()));
        let drain_time = drain_time
            .unwrap_or(self.limits.retry_min)
            .clamp(self.limits.retry_min, self.limits.retry_max);
        // Full jitter spreads the retries of callers that are refused together.
        let retry = self.limits.retry_min + drain_time.mul_f64(rng.random::<f64>());
        QueueStep::Refuse {
            request,
            kind,
            retry,
        }
    }

    // ---- Storage ----

    fn insert(&mut self, request: QueuedRequest) {
        self.bytes += request.bytes.0;
        self.positions
            .insert(request.id, QueuePosition::of(&request));
        self.deadlines.insert((request.deadline, request.id));
        let pool_queue = self.pool_queues.entry(request.pool.clone()).or_default();
        pool_queue.insert(request);
    }

    fn remove(&mut self, id: GenerationId) -> Option<QueuedRequest> {
        let position = self.positions.get(&id)?;
        let request = self.pool_queues.get_mut(&position.pool)?.remove(position)?;
        self.remove_keys(&request);
        Some(request)
    }

    /// Removes a request that has left its pool's queue from the queue's own records.
    fn remove_keys(&mut self, request: &QueuedRequest) {
        self.bytes -= request.bytes.0;
        self.positions.remove(&request.id);
        self.deadlines.remove(&(request.deadline, request.id));
    }
}
