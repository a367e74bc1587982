//! Which target a driver's next attempt goes to.

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

use super::super::wait_line::Turn;
use super::Driver;

/// What a refusal says when no target can be chosen.
const TARGET_RETRY: Duration = Duration::from_secs(1);

/// How often the reports are looked at for the crashes of a request that is judged.
const JUDGE_PERIOD: Duration = Duration::from_millis(100);

/// How often at most they are looked at.
const JUDGE_TRIES: u32 = 15;

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
        match self.choose_apart(now, exclude) {
            Choice::Target(target) if self.may_send(resumed, hedge, &target) => {
                Event::Chosen(target)
            }
            Choice::Target(_) => no_target(ErrorKind::Overloaded, TARGET_RETRY),
            Choice::Wait { until } => no_target(ErrorKind::Overloaded, now.until(until)),
            Choice::NoTarget => no_target(ErrorKind::NoTarget, TARGET_RETRY),
        }
    }

    /// Returns whether the budgets allow one more send. Replacing a lost attempt needs none.
    fn may_send(&mut self, resumed: bool, hedge: bool, target: &TargetId) -> bool {
        let route = &self.job.route;
        let mut budgets = self.front.budgets();
        if hedge {
            let allowed = budgets.try_spend(ExtraSend::Hedge, route, target);
            if allowed {
                self.front.metrics.hedges.inc();
            }
            return allowed;
        }
        if resumed {
            return true;
        }
        match std::mem::replace(&mut self.tried, true) {
            true => budgets.try_spend(ExtraSend::Redirect, route, target),
            false => {
                budgets.record_first(route, target);
                true
            }
        }
    }

    /// Lets the request wait for its turn.
    pub(super) fn queue(&mut self, now: Time) {
        let request = QueuedRequest {
            id: self.job.generation,
            pool: TargetPool::from(&self.job.to),
            workspace: self.job.workspace.clone(),
            weight: self.job.weight,
            rank: self.job.rank,
            arrived: self.started,
            deadline: self.started + self.job.plan.patience,
            bytes: self.job.size,
        };
        let again = std::mem::replace(&mut self.waited, true);
        // A turn in the queue is a first try once more.
        self.tried = false;
        let turn = self.front.line.wait(now, request, again);
        self.inputs.wait(async move {
            match turn.await {
                Ok(Turn::Start) => Event::Dequeued,
                Ok(Turn::Refuse { kind, retry }) => Event::QueueRejected { kind, retry },
                Err(_) => Event::QueueRejected {
                    kind: ErrorKind::Overloaded,
                    retry: TARGET_RETRY,
                },
            }
        });
    }

    /// Chooses a target that no other suspect is on, if the request is one and there is such.
    fn choose_apart(&mut self, now: Time, exclude: &BTreeSet<TargetId>) -> Choice {
        let view = self.front.view.load_full();
        let router = &self.front.router;
        let verdict = (self.front.suspicion).verdict(now, &view, self.job.fingerprint);
        self.suspect |= verdict != CrashSuspicion::Unsuspected;
        if self.suspect {
            for avoided in self.front.suspicion.avoided(&view) {
                let exclude = exclude.union(&avoided).cloned().collect();
                let choice = router.choose(now, &view, &self.request, &exclude);
                if let Choice::Target(_) = choice {
                    return choice;
                }
            }
        }
        router.choose(now, &view, &self.request, exclude)
    }

    /// Waits for the reports of the targets that were lost with this request.
    pub(super) fn judge(&mut self) {
        let front = Arc::clone(&self.front);
        let request = self.job.fingerprint;
        let known = self.known;
        self.inputs.wait(async move {
            for _ in 0..JUDGE_TRIES {
                tokio::time::sleep(JUDGE_PERIOD).await;
                let view = front.view.load_full();
                let now = front.clock.now();
                let verdict = front.suspicion.verdict(now, &view, request);
                if matches!(verdict, CrashSuspicion::Confirmed { crashes } if crashes > known) {
                    front.suspicion.convict(request);
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
