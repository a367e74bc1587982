//! The turns of a generation in the queue of its entry.

use std::time::Duration;

use cw_policy::Event;
use cw_policy::Generation;
use cw_policy::Step;
use cw_policy::Verdict;
use cw_types::ErrorKind;
use cw_types::Ran;

use super::Driver;
use crate::entry::wait_queue::Turn;

impl Driver {
    /// Waits behind others that wait for the same targets, and says how to begin.
    pub(super) async fn first_turn(&mut self) -> Option<Event> {
        let turn = tokio::select! {
            turn = self.turn.first() => Some(turn),
            () = self.delivery.closed() => None,
        };
        match turn {
            Some(Turn::Start) => Some(Event::Start),
            Some(Turn::Refuse { kind, retry }) => self.give_up(kind, retry).await,
            None => self.abandon().await,
        }
    }

    /// Waits after all targets have refused the request, and starts anew at the next turn.
    pub(super) async fn next_turn(&mut self, retry: Duration) -> Option<Event> {
        let turn = tokio::select! {
            turn = self.turn.next() => Some(turn),
            () = self.delivery.closed() => None,
        };
        match turn {
            Some(Turn::Start) => {
                let limits = self.job.limits(&self.front.settings);
                let plan = self.turn.plan(&self.job.plan);
                self.end_trace();
                let traces = &self.front.traces;
                self.recorder = traces.begin(self.job.generation, &plan, &limits);
                self.machine = Generation::new(plan, limits);
                Some(Event::Start)
            }
            Some(Turn::Refuse {
                kind,
                retry: drained,
            }) => self.give_up(kind, drained.max(retry)).await,
            None => self.abandon().await,
        }
    }

    async fn give_up(&mut self, kind: ErrorKind, retry: Duration) -> Option<Event> {
        let now = self.front.clock.now();
        let ran = Ran::No;
        let step = Step::Fail { kind, ran, retry };
        self.delivery.take(now, step).await;
        None
    }

    async fn abandon(&mut self) -> Option<Event> {
        let now = self.front.clock.now();
        self.delivery.take(now, Step::Abandon).await;
        None
    }

    /// Returns whether the request is known to crash its targets.
    pub(super) fn is_guilty(&self) -> bool {
        let view = self.front.view.load_full();
        let now = self.front.clock.now();
        let suspicion = &self.front.suspicion;
        suspicion.verdict(now, &view, self.job.fingerprint) == Verdict::Guilty
    }
}
