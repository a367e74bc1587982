//! Turns links into events and steps into links, for one generation.

mod links;
mod targets;

use std::collections::VecDeque;
use std::sync::Arc;

use cw_policy::CrashSuspicion;
use cw_policy::Event;
use cw_policy::Generation;
use cw_policy::Step;
use cw_policy::routing::RouteRequest;
use cw_types::ErrorKind;
use cw_types::Time;
use tokio::sync::mpsc;

use crate::TraceRecorder;

use super::attempts::Attempts;
use super::delivery::Delivery;
use super::frontend::Frontend;
use super::inputs::Inputs;
use super::job::Job;
use super::output::Output;
use super::quota_gate::QuotaGuard;

/// Drives one generation to its end.
pub(crate) struct Driver {
    front: Arc<Frontend>,
    job: Arc<Job>,
    machine: Generation,
    inputs: Inputs,
    attempts: Attempts,
    delivery: Delivery,
    recorder: Option<TraceRecorder>,
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
        limits.crashes = verdict.crashes_left(limits.crashes);
        let known = match verdict {
            CrashSuspicion::Confirmed { crashes } => crashes,
            CrashSuspicion::Unsuspected | CrashSuspicion::Suspected { .. } => 0,
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
}
