//! The queue of requests that wait for a target, shared by all requests of an entry.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use cw_policy::queue::QueueEvent;
use cw_policy::queue::QueueLimits;
use cw_policy::queue::QueueStep;
use cw_policy::queue::QueuedRequest;
use cw_policy::queue::RequestQueue;
use cw_policy::queue::TargetPool;
use cw_types::ErrorKind;
use cw_types::GenerationId;
use cw_types::Time;
use tokio::sync::oneshot;

use crate::LimitSettings;

/// How a request leaves the queue.
#[derive(Clone, Copy, Debug)]
pub(crate) enum QueueOutcome {
    /// The request may choose a target.
    Start,
    /// The request is refused.
    Refuse {
        /// The kind of error.
        kind: ErrorKind,
        /// The delay after which the caller may retry.
        retry: Duration,
    },
}

#[derive(Debug)]
struct Inner {
    queue: RequestQueue,
    waiting: BTreeMap<GenerationId, oneshot::Sender<QueueOutcome>>,
}

/// The queue of requests that wait for a target, shared by all requests of an entry.
#[derive(Debug)]
pub(crate) struct SharedQueue {
    inner: Mutex<Inner>,
}

impl SharedQueue {
    /// Creates an empty queue.
    pub(crate) fn new(limits: &LimitSettings) -> Self {
        let limits = QueueLimits {
            max_requests: limits.queue as usize,
            max_bytes: limits.queue_bytes,
            ..QueueLimits::default()
        };
        let inner = Inner {
            queue: RequestQueue::new(limits),
            waiting: BTreeMap::new(),
        };
        Self {
            inner: Mutex::new(inner),
        }
    }

    /// Adds a request to the queue, and returns the channel that reports how it leaves the queue.
    ///
    /// With `again`, the request has been queued before and gets its former place.
    pub(crate) fn enqueue(
        &self,
        now: Time,
        request: QueuedRequest,
        again: bool,
    ) -> oneshot::Receiver<QueueOutcome> {
        let (sender, receiver) = oneshot::channel();
        let mut inner = self.lock();
        inner.waiting.insert(request.id, sender);
        let event = match again {
            true => QueueEvent::Returned(request),
            false => QueueEvent::Offered(request),
        };
        inner.on_event(now, event);
        receiver
    }

    /// Removes a request that no longer waits for a target; does nothing if it is not queued.
    pub(crate) fn remove(&self, now: Time, id: GenerationId) {
        let mut inner = self.lock();
        if inner.waiting.remove(&id).is_some() {
            inner.on_event(now, QueueEvent::CallerGone(id));
        }
    }

    /// Starts one queued request of a target pool, and returns whether there was one.
    pub(crate) fn start_one(&self, now: Time, pool: &TargetPool) -> bool {
        let mut inner = self.lock();
        let before = inner.queue.len();
        inner.on_event(now, QueueEvent::CapacityAvailable(pool.clone()));
        inner.queue.len() < before
    }

    /// Refuses requests past their deadlines, and returns the target pools that others wait for.
    pub(crate) fn refuse_expired(&self, now: Time) -> Vec<TargetPool> {
        let mut inner = self.lock();
        if inner.queue.is_empty() {
            return Vec::new();
        }
        inner.on_event(now, QueueEvent::Tick);
        inner.queue.waiting_pools().cloned().collect()
    }

    /// Returns the number of queued requests.
    pub(crate) fn len(&self) -> usize {
        self.lock().queue.len()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn on_event(&mut self, now: Time, event: QueueEvent) {
        for step in self.queue.on_event(now, event, &mut rand::rng()) {
            let (id, outcome) = match step {
                QueueStep::Start(request) => (request.id, QueueOutcome::Start),
                QueueStep::Refuse {
                    request,
                    kind,
                    retry,
                } => (request.id, QueueOutcome::Refuse { kind, retry }),
            };
            if let Some(sender) = self.waiting.remove(&id) {
                // A driver that has ended has closed the channel and needs no result.
                let _ = sender.send(outcome);
            }
        }
    }
}
