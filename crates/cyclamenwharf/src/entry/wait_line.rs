//! Requests that wait for a target, shared by all requests of an entry.

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

/// What became of a request that waited.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Turn {
    /// It may choose a target.
    Start,
    /// It is refused.
    Refuse {
        /// Why.
        kind: ErrorKind,
        /// When the caller should call again.
        retry: Duration,
    },
}

#[derive(Debug)]
struct Inner {
    queue: RequestQueue,
    waiting: BTreeMap<GenerationId, oneshot::Sender<Turn>>,
}

/// Requests that wait for a target, shared by all requests of an entry.
#[derive(Debug)]
pub(crate) struct WaitLine {
    inner: Mutex<Inner>,
}

impl WaitLine {
    /// Returns an empty line.
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

    /// Lets a request wait; one that has waited before gets its old place.
    pub(crate) fn wait(
        &self,
        now: Time,
        request: QueuedRequest,
        again: bool,
    ) -> oneshot::Receiver<Turn> {
        let (sender, receiver) = oneshot::channel();
        let mut inner = self.lock();
        inner.waiting.insert(request.id, sender);
        let event = match again {
            true => QueueEvent::Returned(request),
            false => QueueEvent::Offered(request),
        };
        inner.feed(now, event);
        receiver
    }

    /// Forgets a request whose caller has gone.
    pub(crate) fn leave(&self, now: Time, id: GenerationId) {
        let mut inner = self.lock();
        if inner.waiting.remove(&id).is_some() {
            inner.feed(now, QueueEvent::CallerGone(id));
        }
    }

    /// Lets one request of a target pool go on; returns whether there was one.
    pub(crate) fn start_one(&self, now: Time, pool: &TargetPool) -> bool {
        let mut inner = self.lock();
        let before = inner.queue.len();
        inner.feed(now, QueueEvent::CapacityAvailable(pool.clone()));
        inner.queue.len() < before
    }

    /// Gives up requests past their deadlines, and returns the target pools that others wait for.
    pub(crate) fn tick(&self, now: Time) -> Vec<TargetPool> {
        let mut inner = self.lock();
        if inner.queue.is_empty() {
            return Vec::new();
        }
        inner.feed(now, QueueEvent::Tick);
        inner.queue.waiting_pools().cloned().collect()
    }

    /// Returns how many requests wait.
    pub(crate) fn len(&self) -> usize {
        self.lock().queue.len()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn feed(&mut self, now: Time, event: QueueEvent) {
        for step in self.queue.on_event(now, event, &mut rand::rng()) {
            let (id, turn) = match step {
                QueueStep::Start(request) => (request.id, Turn::Start),
                QueueStep::Refuse {
                    request,
                    kind,
                    retry,
                } => (request.id, Turn::Refuse { kind, retry }),
            };
            if let Some(sender) = self.waiting.remove(&id) {
                // A driver that is gone needs no turn.
                let _ = sender.send(turn);
            }
        }
    }
}
