//! Choice of the target for the next attempt, waiting in the queue, and the check for crashes.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cw_policy::CrashSuspicion;
use cw_policy::Event;
use cw_policy::budget::ExtraSend;
use cw_policy::queue::QueuedRequest;
use cw_policy::queue::TargetPool;
use cw_policy::routing::Choice;
use cw_types::ErrorKind;
use cw_types::TargetId;
use cw_types::Time;

use super::super::shared_queue::QueueOutcome;
use super::Driver;

/// The retry delay sent to the caller when no target can be chosen.
const NO_TARGET_RETRY: Duration = Duration::from_secs(1);

/// The interval between checks of the reports for crashes that a request caused.
const CRASH_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// The maximum number of checks of the reports, after which the request counts as not at fault.
const MAX_CRASH_CHECKS: u32 = 15;

impl Driver {
    pub(super) fn choose(
        &mut self,
        now: Time,
        resumed: bool,
        hedge: bool,
        exclude: &BTreeSet<TargetId>,
    ) -> Event {
        if resumed && !self.request.resumed {
            self.request = self.request.clone().resumed(self.job.recovery);
        }
        match self.choose_avoiding_suspects(now, exclude) {
            Choice::Target(target) if self.may_send(resumed, hedge, &target) => {
                Event::Chosen(target)
            }
            Choice::Target(_) => no_target(ErrorKind::Overloaded, NO_TARGET_RETRY),
            Choice::Wait { until } => no_target(ErrorKind::Overloaded, now.until(until)),
            Choice::NoTarget => no_target(ErrorKind::NoTarget, NO_TARGET_RETRY),
        }
    }

    /// Returns whether the budgets allow one more send.
    ///
    /// A first try is always allowed, and so is the replacement of a lost attempt unless it is a
    /// hedge.
    fn may_send(&mut self, resumed: bool, hedge: bool, target: &TargetId) -> bool {
        let route = &self.job.route;
        let mut budgets = self.context.budgets();
        if hedge {
            let allowed = budgets.try_spend(ExtraSend::Hedge, route, target);
            if allowed {
                self.context.metrics.hedges.inc();
            }
            return allowed;
        }
        if resumed {
            return true;
        }
        match std::mem::replace(&mut self.target_tried, true) {
            true => budgets.try_spend(ExtraSend::Redirect, route, target),
            false => {
                budgets.record_first(route, target);
                true
            }
        }
    }

    /// Puts the request into the queue.
    pub(super) fn enqueue(&mut self, now: Time) {
        let request = QueuedRequest {
            id: self.job.generation,
            pool: TargetPool::from(&self.job.destination),
            workspace: self.job.workspace.clone(),
            weight: self.job.weight,
            rank: self.job.rank,
            arrived: self.started,
            deadline: self.started + self.job.plan.patience,
            bytes: self.job.body_size,
        };
        let again = std::mem::replace(&mut self.was_queued, true);
        // The send after the queue counts as a first try again, not as a redirect.
        self.target_tried = false;
        let outcome = self.context.queue.enqueue(now, request, again);
        self.sources.push(async move {
            match outcome.await {
                Ok(QueueOutcome::Start) => Event::Dequeued,
                Ok(QueueOutcome::Refuse { kind, retry }) => Event::QueueRejected { kind, retry },
                Err(_) => Event::QueueRejected {
                    kind: ErrorKind::Overloaded,
                    retry: NO_TARGET_RETRY,
                },
            }
        });
    }

    /// Chooses a target; for a suspect request, one without other suspect requests if possible.
    fn choose_avoiding_suspects(&mut self, now: Time, exclude: &BTreeSet<TargetId>) -> Choice {
        let view = self.context.view.load_full();
        let router = &self.context.router;
        let suspicion = (self.context.suspicion).assess(now, &view, self.job.fingerprint);
        self.is_suspect |= suspicion != CrashSuspicion::Unsuspected;
        if self.is_suspect {
            for avoided in self.context.suspicion.targets_to_avoid(&view) {
                let exclude = exclude.union(&avoided).cloned().collect();
                let choice = router.choose(now, &view, &self.request, &exclude);
                if let Choice::Target(_) = choice {
                    return choice;
                }
            }
        }
        router.choose(now, &view, &self.request, exclude)
    }

    /// Checks whether the reports of the lost targets confirm that this request crashes targets.
    ///
    /// Only crashes beyond those known at the start of the request count.
    pub(super) fn check_crashes(&mut self) {
        let context = Arc::clone(&self.context);
        let request = self.job.fingerprint;
        let known = self.known_crashes;
        self.sources.push(async move {
            for _ in 0..MAX_CRASH_CHECKS {
                tokio::time::sleep(CRASH_CHECK_PERIOD).await;
                let view = context.view.load_full();
                let now = context.clock.now();
                let suspicion = context.suspicion.assess(now, &view, request);
                if matches!(suspicion, CrashSuspicion::Confirmed { crashes } if crashes > known) {
                    context.suspicion.confirm(request);
                    return Event::CrashesChecked { at_fault: true };
                }
            }
            Event::CrashesChecked { at_fault: false }
        });
    }
}

fn no_target(kind: ErrorKind, retry: Duration) -> Event {
    Event::NoTarget { kind, retry }
}
