//! Requests of this entry that wait for a target.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use cw_policy::queue::Lane;
use cw_policy::queue::Queue;
use cw_policy::queue::QueueEvent;
use cw_policy::queue::QueueLimits;
use cw_policy::queue::QueueStep;
use cw_policy::queue::Waiter;
use cw_types::ErrorKind;
use cw_types::GenerationId;
use cw_types::Time;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::Clock;
use crate::LimitSettings;

/// How often room is looked for while requests wait.
const PERIOD: Duration = Duration::from_millis(20);

/// What becomes of a request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Turn {
    /// It is its turn to choose a target.
    Start,
    /// It is refused, and was not run.
    Refuse {
        /// Why.
        kind: ErrorKind,
        /// When it is worth calling again.
        retry: Duration,
    },
}

#[derive(Debug, Default)]
struct State {
    queue: Queue,
    waiting: BTreeMap<GenerationId, oneshot::Sender<Turn>>,
}

/// Requests of this entry that wait for a target.
#[derive(Debug)]
pub(crate) struct WaitQueue {
    clock: Clock,
    state: Mutex<State>,
    changed: Notify,
}

impl WaitQueue {
    /// Returns an empty queue with the limits of the settings.
    pub(crate) fn new(clock: Clock, settings: &LimitSettings) -> Self {
        let limits = QueueLimits {
            items: settings.queue as usize,
            bytes: settings.queue_bytes,
            ..QueueLimits::default()
        };
        let state = State {
            queue: Queue::new(limits),
            ..State::default()
        };
        Self {
            clock,
            state: Mutex::new(state),
            changed: Notify::new(),
        }
    }

    /// Returns whether requests of this lane wait, so that a new one must wait behind them.
    pub(crate) fn is_taken(&self, lane: &Lane) -> bool {
        self.state().queue.lanes().any(|taken| taken == lane)
    }

    /// Waits for the turn of a request that is new here.
    pub(crate) async fn offer(&self, waiter: Waiter) -> Turn {
        let id = waiter.id;
        self.wait(id, QueueEvent::Offered(waiter)).await
    }

    /// Waits for another turn of a request that found no target in its last one.
    pub(crate) async fn return_to(&self, waiter: Waiter) -> Turn {
        let id = waiter.id;
        self.wait(id, QueueEvent::Returned(waiter)).await
    }

    /// Starts as many requests of each lane as there is room for, and answers those whose time has
    /// passed.
    pub(crate) fn pump(&self, room: impl Fn(&Lane) -> usize) {
        let lanes: Vec<Lane> = self.state().queue.lanes().cloned().collect();
        for lane in lanes {
            for _ in 0..room(&lane) {
                if !self.is_taken(&lane) {
                    break;
                }
                self.on_event(QueueEvent::Room(lane.clone()));
            }
        }
        self.on_event(QueueEvent::Tick);
    }

    /// Waits until it is worth looking for room: soon, if requests wait.
    pub(crate) async fn changed(&self) {
        if self.state().queue.is_empty() {
            self.changed.notified().await;
        }
        tokio::time::sleep(PERIOD).await;
    }

    // ---- The state machine ----

    async fn wait(&self, id: GenerationId, event: QueueEvent) -> Turn {
        let (turn, answer) = oneshot::channel();
        self.state().waiting.insert(id, turn);
        let _leave = Leave { queue: self, id };
        self.on_event(event);
        self.changed.notify_one();
        answer.await.unwrap_or(Turn::Refuse {
            kind: ErrorKind::Internal,
            retry: Duration::ZERO,
        })
    }

    fn on_event(&self, event: QueueEvent) {
        let now: Time = self.clock.now();
        let mut state = self.state();
        let steps = state.queue.on_event(now, event, &mut rand::rng());
        for step in steps {
            let (id, turn) = match step {
                QueueStep::Start(waiter) => (waiter.id, Turn::Start),
                QueueStep::Refuse {
                    waiter,
                    kind,
                    retry,
                } => (waiter.id, Turn::Refuse { kind, retry }),
            };
            if let Some(waiting) = state.waiting.remove(&id) {
                // A caller that left in this moment has no use for its turn; the next pump gives
                // the room to another.
                let _ = waiting.send(turn);
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes a request out of the queue when its caller stops waiting.
struct Leave<'a> {
    queue: &'a WaitQueue,
    id: GenerationId,
}

impl Drop for Leave<'_> {
    fn drop(&mut self) {
        let waits = self.queue.state().waiting.remove(&self.id).is_some();
        if waits {
            self.queue.on_event(QueueEvent::Gone(self.id));
        }
    }
}
