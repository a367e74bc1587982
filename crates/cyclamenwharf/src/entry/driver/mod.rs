//! Runs the state machine of one generation: feeds it events, and performs the steps it returns.

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
use super::entry_context::EntryContext;
use super::event_sources::EventSources;
use super::job::Job;
use super::output::Output;
use super::shared_quotas::QuotaGuard;

/// Runs the state machine of one generation to its end.
pub(crate) struct Driver {
    context: Arc<EntryContext>,
    job: Arc<Job>,
    machine: Generation,
    sources: EventSources,
    attempts: Attempts,
    delivery: Delivery,
    recorder: Option<TraceRecorder>,
    request: RouteRequest,
    is_suspect: bool,
    /// The number of crashes already confirmed for the request when it started.
    known_crashes: usize,
    /// When the driver was created, which is also the request's arrival time in the queue.
    started: Time,
    /// Whether a target was tried since the request started or was last queued.
    target_tried: bool,
    /// Whether the request has been in the queue.
    was_queued: bool,
    caller_gone: bool,
}

impl Driver {
    /// Creates a driver that sends the output to `output`.
    pub(crate) fn new(
        context: Arc<EntryContext>,
        job: Arc<Job>,
        output: mpsc::Sender<Output>,
        quota: Option<QuotaGuard>,
    ) -> Self {
        let now = context.clock.now();
        let view = context.view.load_full();
        let suspicion = (context.suspicion).assess(now, &view, job.fingerprint);
        let mut limits = job.limits(&context.settings);
        limits.max_crashes = suspicion.crashes_left(limits.max_crashes);
        let known_crashes = match suspicion {
            CrashSuspicion::Confirmed { crashes } => crashes,
            CrashSuspicion::Unsuspected | CrashSuspicion::Suspected { .. } => 0,
        };
        let request = context.router.route_request(&job);
        Self {
            recorder: context.traces.begin(job.generation, &job.plan, &limits),
            machine: Generation::new(job.plan.clone(), limits),
            sources: EventSources::default(),
            attempts: Attempts::new(Arc::clone(&context), Arc::clone(&job), request.clone()),
            delivery: Delivery::new(Arc::clone(&context), Arc::clone(&job), output, quota),
            request,
            is_suspect: false,
            known_crashes,
            started: now,
            target_tried: false,
            was_queued: false,
            caller_gone: false,
            context,
            job,
        }
    }

    /// Runs the generation to its end.
    pub(crate) async fn run(mut self) {
        self.on_event(
            match self.context.suspicion.is_refused(self.job.fingerprint) {
                true => Event::Refuse(ErrorKind::CrashesTargets),
                false => Event::Start,
            },
        )
        .await;
        while !self.machine.is_ended() {
            let event = self.next_event().await;
            self.on_event(event).await;
        }
        let now = self.context.clock.now();
        self.attempts.release_all(now);
        if self.was_queued {
            self.context.queue.remove(now, self.job.generation);
        }
        if let Some(recorder) = self.recorder.take() {
            self.context.traces.end(recorder);
        }
    }

    async fn next_event(&mut self) -> Event {
        let deadline = self.machine.deadline();
        let deadline = deadline.map(|deadline| self.context.clock.instant(deadline));
        let tick = async {
            match deadline {
                Some(deadline) => tokio::time::sleep_until(deadline).await,
                None => std::future::pending().await,
            }
        };
        // Frames that have arrived take precedence over the deadline, because they show that the
        // attempt is alive.
        tokio::select! {
            biased;
            Some(event) = self.sources.next() => event,
            () = tick => Event::Tick,
            () = self.delivery.closed(), if !self.caller_gone => {
                self.caller_gone = true;
                Event::CallerGone
            }
        }
    }

    async fn on_event(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let now = self.context.clock.now();
            self.attempts.on_event(now, &event);
            for step in self.next_steps(now, event) {
                events.extend(self.on_step(now, step).await);
            }
        }
    }

    fn next_steps(&mut self, now: Time, event: Event) -> Vec<Step> {
        let Some(recorder) = &mut self.recorder else {
            return self.machine.on_event(now, event);
        };
        let steps = self.machine.on_event(now, event.clone());
        recorder.record(now, event, &steps);
        steps
    }

    /// Performs one step, and returns the event that answers it if there is one at once.
    async fn on_step(&mut self, now: Time, step: Step) -> Option<Event> {
        match step {
            Step::Choose {
                exclude,
                resumed,
                suspect,
                hedge,
            } => {
                self.is_suspect = suspect;
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
            Step::Close { link } => self.sources.close(link),
            Step::Cancel { attempt, .. } => {
                if let Some(sent) = self.attempts.release(now, attempt) {
                    self.context.cancel(sent.peer, sent.cancel());
                }
            }
            Step::ConfirmCancel { attempt, .. } => return self.confirm_cancel(attempt),
            Step::Enqueue => self.enqueue(now),
            Step::CheckCrashes => self.check_crashes(),
            Step::Ack { attempt, next, .. } => {
                if let Some(sent) = self.attempts.get(attempt) {
                    self.context.ack(sent.peer, sent.id, next);
                }
            }
            step => self.delivery.on_step(now, step).await,
        }
        None
    }
}
