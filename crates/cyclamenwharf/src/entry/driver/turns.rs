//! The turns of a generation in the queue of its entry.

use std::time::Duration;

use cw_policy::Event;
use cw_policy::Generation;
use cw_policy::Limits;
use cw_policy::Step;
use cw_policy::Verdict;
use cw_types::ErrorKind;
use cw_types::Ran;

use super::Driver;
use crate::entry::frontend::Frontend;
use crate::entry::job::Job;
use crate::entry::wait_queue::Turn;

impl Driver {
    /// Waits behind others that wait for the same targets, and says how to begin.
    pub(super) async fn first_turn(&mut self) -> Option<Event> {
        if self.verdict == Verdict::Guilty {
            return Some(Event::Refuse(ErrorKind::CrashesTargets));
        }
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
                let limits = limits(&self.front, &self.job, self.verdict);
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
}

/// Returns the limits of a generation, whose request may be one that crashes its targets.
pub(super) fn limits(front: &Frontend, job: &Job, verdict: Verdict) -> Limits {
    let mut limits = job.limits(&front.settings);
    if let Verdict::Suspect { crashes } = verdict {
        // Crashes that other calls of the request were in flight at count for this one too.
        let before = u32::try_from(crashes).unwrap_or(u32::MAX);
        limits.crashes = limits.crashes.saturating_sub(before).max(1);
    }
    limits
}
