//! Turns links into events and steps into links, for one generation.

mod trace;
mod turns;

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
use cw_policy::routing::Choice;
use cw_policy::routing::RouteRequest;
use cw_types::AttemptNo;
use cw_types::ErrorKind;
use cw_types::Ran;
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
use super::sent::Sent;
use super::wait_turn::WaitTurn;

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
    verdict: Verdict,
    turn: WaitTurn,
    /// What all targets said that refused the request, before it is told to the caller.
    refused: Option<Duration>,
    suspect: bool,
    absent: bool,
}

impl Driver {
    /// Returns a driver that hands the output to `out`.
    pub(crate) fn new(front: Arc<Frontend>, job: Arc<Job>, out: mpsc::Sender<Output>) -> Self {
        let view = front.view.load_full();
        let now = front.clock.now();
        let verdict = (front.suspicion).verdict(now, &view, job.fingerprint);
        let limits = turns::limits(&front, &job, verdict);
        let request = front.router.request(&job);
        Self {
            recorder: front.traces.begin(job.generation, &job.plan, &limits),
            machine: Generation::new(job.plan.clone(), limits),
            inputs: Inputs::default(),
            attempts: Attempts::new(Arc::clone(&front), Arc::clone(&job), request.clone()),
            delivery: Delivery::new(Arc::clone(&front), Arc::clone(&job), out),
            request,
            verdict,
            turn: WaitTurn::new(Arc::clone(&front), &job),
            refused: None,
            suspect: false,
            absent: false,
            front,
            job,
        }
    }

    /// Runs the generation to its end.
    pub(crate) async fn run(mut self) {
        self.front.hedges().on_request();
        let mut turn = self.first_turn().await;
        while let Some(event) = turn {
            self.feed(event).await;
            while !self.machine.is_ended() {
                let event = self.next_event().await;
                self.feed(event).await;
            }
            turn = match self.refused.take() {
                Some(retry) => self.next_turn(retry).await,
                None => None,
            };
        }
        let now = self.front.clock.now();
        self.attempts.release_all(now);
        self.end_trace();
    }

    // ---- Events ----

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
            self.turn.learn(&event);
            for step in self.decide(now, event) {
                events.extend(self.take(now, step).await);
            }
        }
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
            Step::Judge => self.judge(),
            Step::Ack { attempt, next, .. } => {
                if let Some(sent) = self.attempts.get(attempt) {
                    self.front.ack(sent.peer, sent.id, next);
                }
            }
            Step::Fail {
                kind: ErrorKind::Overloaded,
                ran: Ran::No,
                retry,
            } if self.turn.has_next() => self.refused = Some(retry),
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
        if hedge && !self.front.hedges().take() {
            return no_target(ErrorKind::Overloaded, TARGET_RETRY);
        }
        if hedge {
            self.front.metrics.hedges.inc();
        }
        if resumed && !self.request.resumed {
            self.request = self.request.clone().resumed(self.job.recovery);
        }
        match self.choose_apart(now, exclude) {
            Choice::Target(target) => Event::Chosen(target),
            Choice::Wait { until } => {
                self.turn.set_full();
                no_target(ErrorKind::Overloaded, now.until(until))
            }
            Choice::NoTarget => no_target(ErrorKind::NoTarget, TARGET_RETRY),
        }
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
        self.inputs.wait(async move {
            for _ in 0..JUDGE_TRIES {
                tokio::time::sleep(JUDGE_PERIOD).await;
                let view = front.view.load_full();
                let now = front.clock.now();
                if front.suspicion.verdict(now, &view, request) == Verdict::Guilty {
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
        let mut message = self.job.dispatch(attempt, sent.stamp, so_far, resumed);
        if !resumed {
            message.patience = self.turn.patience(now);
        }
        let call = LinkCall {
            client: self.front.peers.client(sent.peer),
            peer: sent.peer,
            path: path::ATTEMPTS,
            message,
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
