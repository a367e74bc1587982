//! Turns links into events and steps into links, for one generation.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use cw_policy::Effect;
use cw_policy::Event;
use cw_policy::Generation;
use cw_policy::LinkId;
use cw_policy::Step;
use cw_policy::Verdict;
use cw_policy::budget::Extra;
use cw_policy::queue::Lane;
use cw_policy::queue::Waiter;
use cw_policy::routing::Choice;
use cw_policy::routing::RouteRequest;
use cw_types::AttemptNo;
use cw_types::ErrorKind;
use cw_types::TargetId;
use cw_types::Time;
use cw_types::TokenId;
use cw_types::TokenIndex;
use cw_wire::Attach;
use cw_wire::path;
use futures::FutureExt;
use log::debug;
use tokio::sync::mpsc;

use crate::Recorder;

use super::attempts::Attempts;
use super::delivery::Delivery;
use super::frontend::Frontend;
use super::inputs::Claiming;
use super::inputs::Inputs;
use super::inputs::LinkCall;
use super::job::Job;
use super::job::KeyUse;
use super::output::Output;
use super::quota_gate::QuotaGuard;
use super::sent::Sent;
use super::wait_line::Turn;

/// What a refusal says when no target can be chosen.
const TARGET_RETRY: Duration = Duration::from_secs(1);

/// How often the reports are looked at for the crashes of a request that is judged.
const JUDGE_PERIOD: Duration = Duration::from_millis(100);

/// How often at most they are looked at.
const JUDGE_TRIES: u32 = 15;

/// Drives one generation to its end.
pub(crate) struct Driver {
    front: Arc<Frontend>,
    job: Arc<Job>,
    machine: Generation,
    inputs: Inputs,
    attempts: Attempts,
    delivery: Delivery,
    recorder: Option<Recorder>,
    request: RouteRequest,
    suspect: bool,
    /// The crashes that were known of the request when it began.
    known: usize,
    /// When the request came.
    started: Time,
    /// Whether a first target was tried.
    tried: bool,
    /// Whether the request has waited in the queue.
    waited: bool,
    absent: bool,
}

impl Driver {
    /// Returns a driver that hands the output to `out`.
    pub(crate) fn new(
        front: Arc<Frontend>,
        job: Arc<Job>,
        out: mpsc::Sender<Output>,
        quota: Option<QuotaGuard>,
    ) -> Self {
        let now = front.clock.now();
        let view = front.view.load_full();
        let verdict = (front.suspicion).verdict(now, &view, job.fingerprint);
        let mut limits = job.limits(&front.settings);
        if let Verdict::Suspect { crashes } | Verdict::Guilty { crashes } = verdict {
            // Crashes that other calls of the request were in flight at count for this one too.
            let before = u32::try_from(crashes).unwrap_or(u32::MAX);
            limits.crashes = limits.crashes.saturating_sub(before).max(1);
        }
        let known = match verdict {
            Verdict::Guilty { crashes } => crashes,
            Verdict::Clear | Verdict::Suspect { .. } => 0,
        };
        let request = front.router.request(&job);
        Self {
            recorder: front.traces.begin(job.generation, &job.plan, &limits),
            machine: Generation::new(job.plan.clone(), limits),
            inputs: Inputs::default(),
            attempts: Attempts::new(Arc::clone(&front), Arc::clone(&job), request.clone()),
            delivery: Delivery::new(Arc::clone(&front), Arc::clone(&job), out, quota),
            request,
            suspect: false,
            known,
            started: now,
            tried: false,
            waited: false,
            absent: false,
            front,
            job,
        }
    }

    /// Runs the generation to its end.
    pub(crate) async fn run(mut self) {
        self.feed(
            match self.front.suspicion.is_refused(self.job.fingerprint) {
                true => Event::Refuse(ErrorKind::CrashesTargets),
                false => Event::Start,
            },
        )
        .await;
        while !self.machine.is_ended() {
            let event = self.next_event().await;
            self.feed(event).await;
        }
        let now = self.front.clock.now();
        self.attempts.release_all(now);
        if self.waited {
            self.front.line.leave(now, self.job.generation);
        }
        if let Some(recorder) = self.recorder.take() {
            self.front.traces.end(recorder);
        }
    }

    async fn next_event(&mut self) -> Event {
        let deadline = self.machine.deadline();
        let deadline = deadline.map(|deadline| self.front.clock.instant(deadline));
        let tick = async {
            match deadline {
                Some(deadline) => tokio::time::sleep_until(deadline).await,
                None => std::future::pending().await,
            }
        };
        // Frames that have come in go before the clock: they are proof of life.
        tokio::select! {
            biased;
            Some(event) = self.inputs.next() => event,
            () = tick => Event::Tick,
            () = self.delivery.closed(), if !self.absent => {
                self.absent = true;
                Event::CallerGone
            }
        }
    }

    async fn feed(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let now = self.front.clock.now();
            self.attempts.learn(now, &event);
            for step in self.decide(now, event) {
                events.extend(self.take(now, step).await);
            }
        }
    }

    fn decide(&mut self, now: Time, event: Event) -> Vec<Step> {
        let Some(recorder) = &mut self.recorder else {
            return self.machine.on_event(now, event);
        };
        let steps = self.machine.on_event(now, event.clone());
        recorder.record(now, event, &steps);
        steps
    }

    /// Takes one step; some are answered at once.
    async fn take(&mut self, now: Time, step: Step) -> Option<Event> {
        match step {
            Step::Choose {
                exclude,
                resumed,
                suspect,
                hedge,
            } => {
                self.suspect = suspect;
                return Some(self.choose(now, resumed, hedge, &exclude));
            }
            Step::Dispatch {
                link,
                attempt,
                target,
                so_far,
                resumed,
            } => {
                let resume = resumed.then_some(so_far);
                return self.dispatch(now, link, attempt, &target, resume);
            }
            Step::Attach {
                link,
                attempt,
                target,
                repeat,
                from,
            } => return self.attach(now, link, attempt, &target, repeat, from),
            Step::Close { link } => self.inputs.close(link),
            Step::Cancel { attempt, .. } => {
                if let Some(sent) = self.attempts.release(now, attempt) {
                    self.front.cancel(sent.peer, sent.cancel());
                }
            }
            Step::Prove { attempt, .. } => return self.prove(attempt),
            Step::Queue => self.queue(now),
            Step::Judge => self.judge(),
            Step::Ack { attempt, next, .. } => {
                if let Some(sent) = self.attempts.get(attempt) {
                    self.front.ack(sent.peer, sent.id, next);
                }
            }
            step => self.delivery.take(now, step).await,
        }
        None
    }

    // ---- Targets ----

    fn choose(
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
            let allowed = budgets.spend(Extra::Hedge, route, target);
            if allowed {
                self.front.metrics.hedges.inc();
            }
            return allowed;
        }
        if resumed {
            return true;
        }
        match std::mem::replace(&mut self.tried, true) {
            true => budgets.spend(Extra::Redirect, route, target),
            false => {
                budgets.first(route, target);
                true
            }
        }
    }

    /// Lets the request wait for its turn.
    fn queue(&mut self, now: Time) {
        let waiter = Waiter {
            id: self.job.generation,
            lane: Lane::from(&self.job.to),
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
        let turn = self.front.line.wait(now, waiter, again);
        self.inputs.wait(async move {
            match turn.await {
                Ok(Turn::Start) => Event::Turn,
                Ok(Turn::Refuse { kind, retry }) => Event::Unqueued { kind, retry },
                Err(_) => Event::Unqueued {
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
        self.suspect |= verdict != Verdict::Clear;
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
    fn judge(&mut self) {
        let front = Arc::clone(&self.front);
        let request = self.job.fingerprint;
        let known = self.known;
        self.inputs.wait(async move {
            for _ in 0..JUDGE_TRIES {
                tokio::time::sleep(JUDGE_PERIOD).await;
                let view = front.view.load_full();
                let now = front.clock.now();
                let verdict = front.suspicion.verdict(now, &view, request);
                if matches!(verdict, Verdict::Guilty { crashes } if crashes > known) {
                    front.suspicion.convict(request);
                    return Event::Judged { guilty: true };
                }
            }
            Event::Judged { guilty: false }
        });
    }

    // ---- Links ----

    fn dispatch(
        &mut self,
        now: Time,
        link: LinkId,
        attempt: AttemptNo,
        target: &TargetId,
        resume: Option<Vec<TokenId>>,
    ) -> Option<Event> {
        let Some(sent) = self.attempts.send(now, link, attempt, target) else {
            return Some(unreachable(link));
        };
        debug!(
            generation = self.job.generation.to_string(),
            attempt = attempt.0,
            workspace = self.job.workspace.as_str(),
            target = target.as_str();
            "an attempt is dispatched"
        );
        if self.suspect {
            self.attempts.suspect(attempt, target);
        }
        let resumed = resume.is_some();
        let so_far = resume.unwrap_or_default();
        if resumed {
            self.front.metrics.resumes.inc();
            self.front.metrics.extra.inc_by(so_far.len() as u64);
        }
        let claim = self.claim(now, &sent);
        let call = LinkCall {
            client: self.front.peers.client(sent.peer),
            peer: sent.peer,
            path: path::ATTEMPTS,
            message: self.job.dispatch(attempt, sent.stamp, so_far, resumed),
            limit: self.front.settings.recovery.head,
        };
        self.inputs.open(link, claim, call);
        None
    }

    /// Returns what must succeed before an attempt is dispatched, if its key is claimed.
    fn claim(&self, now: Time, sent: &Sent) -> Option<Claiming> {
        match &self.job.key {
            None => None,
            Some(KeyUse::Shared(key)) => {
                let fingerprint = self.job.fingerprint;
                self.front.keys.record(now, key, fingerprint, sent.clone());
                None
            }
            Some(KeyUse::Claimed(slot)) => {
                let slot = Arc::clone(slot);
                let claim = self.job.claim(sent);
                Some(async move { slot.take(now, claim).await }.boxed())
            }
        }
    }

    fn attach(
        &mut self,
        now: Time,
        link: LinkId,
        attempt: AttemptNo,
        target: &TargetId,
        repeat: Option<Vec<TokenId>>,
        from: TokenIndex,
    ) -> Option<Event> {
        let Some(sent) = self.attempts.attach(now, link, attempt, target) else {
            return Some(unreachable(link));
        };
        let client = self.front.peers.renew(sent.peer);
        let limit = self.front.settings.recovery.reattach;
        let peer = sent.peer;
        let Some(so_far) = repeat else {
            let message = Attach {
                generation: self.job.generation,
                attempt: Some(attempt),
                workspace: self.job.workspace.clone(),
                from,
            };
            let call = LinkCall {
                client,
                peer,
                path: path::ATTACH,
                message,
                limit,
            };
            self.inputs.open(link, None, call);
            return None;
        };
        let mut message = self.job.dispatch(attempt, sent.stamp, so_far, true);
        message.repeat = true;
        message.from = from;
        let call = LinkCall {
            client,
            peer,
            path: path::ATTEMPTS,
            message,
            limit,
        };
        self.inputs.open(link, None, call);
        None
    }

    fn prove(&mut self, attempt: AttemptNo) -> Option<Event> {
        let Some(sent) = self.attempts.get(attempt).cloned() else {
            return Some(Event::Proof { attempt, ran: None });
        };
        let front = Arc::clone(&self.front);
        self.inputs.wait(async move {
            let ran = front.prove(sent.peer, sent.cancel()).await;
            Event::Proof { attempt, ran }
        });
        None
    }
}

fn no_target(kind: ErrorKind, retry: Duration) -> Event {
    Event::NoTarget { kind, retry }
}

fn unreachable(link: LinkId) -> Event {
    Event::Closed {
        link,
        effect: Effect::None,
    }
}
