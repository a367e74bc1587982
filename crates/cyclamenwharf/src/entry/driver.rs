//! Turns links into events and steps into links, for one generation.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cw_policy::Effect;
use cw_policy::Event;
use cw_policy::Generation;
use cw_policy::LinkId;
use cw_policy::Step;
use cw_policy::routing::Choice;
use cw_policy::routing::RouteRequest;
use cw_types::AttemptId;
use cw_types::AttemptNo;
use cw_types::ErrorKind;
use cw_types::TargetId;
use cw_types::Time;
use cw_types::TokenId;
use cw_types::TokenIndex;
use cw_wire::Attach;
use cw_wire::Cancel;
use cw_wire::Frame;
use cw_wire::Stamp;
use cw_wire::path;
use log::debug;
use log::info;
use log::warn;
use tokio::sync::mpsc;

use super::frontend::Frontend;
use super::inputs::Inputs;
use super::inputs::LinkCall;
use super::job::Job;
use super::output::Output;
use super::output::Piece;
use super::output::ServiceAnswer;
use super::refusal::Refusal;

/// What a refusal says when no target can be chosen.
const TARGET_RETRY: Duration = Duration::from_secs(1);

/// An attempt that was sent to its target.
#[derive(Clone, Debug)]
struct Sent {
    id: AttemptId,
    target: TargetId,
    peer: SocketAddr,
    stamp: Stamp,
    at: Time,
}

impl Sent {
    fn cancel(&self) -> Cancel {
        Cancel {
            id: self.id,
            stamp: self.stamp,
        }
    }
}

/// Drives one generation to its end.
pub(crate) struct Driver {
    front: Arc<Frontend>,
    job: Job,
    machine: Generation,
    inputs: Inputs,
    out: mpsc::Sender<Output>,
    attempts: BTreeMap<AttemptNo, Sent>,
    links: BTreeMap<LinkId, AttemptNo>,
    request: RouteRequest,
    started: Time,
    last: Option<Time>,
    absent: bool,
}

impl Driver {
    /// Returns a driver that hands the output to `out`.
    pub(crate) fn new(front: Arc<Frontend>, job: Job, out: mpsc::Sender<Output>) -> Self {
        let limits = job.limits(&front.settings);
        let machine = Generation::new(job.plan.clone(), limits);
        let request = front.router.request(&job);
        let started = front.clock.now();
        Self {
            front,
            job,
            machine,
            inputs: Inputs::default(),
            out,
            attempts: BTreeMap::new(),
            links: BTreeMap::new(),
            request,
            started,
            last: None,
            absent: false,
        }
    }

    /// Runs the generation to its end.
    pub(crate) async fn run(mut self) {
        self.feed(Event::Start).await;
        while !self.machine.is_ended() {
            let event = self.next_event().await;
            self.feed(event).await;
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
            () = self.out.closed(), if !self.absent => {
                self.absent = true;
                Event::CallerGone
            }
        }
    }

    async fn feed(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let now = self.front.clock.now();
            self.learn(now, &event);
            for step in self.machine.on_event(now, event) {
                events.extend(self.take(now, step).await);
            }
        }
    }

    /// Takes one step; some are answered at once.
    async fn take(&mut self, now: Time, step: Step) -> Option<Event> {
        match step {
            Step::Choose {
                exclude, resumed, ..
            } => {
                return Some(self.choose(now, resumed, &exclude));
            }
            Step::Dispatch {
                link,
                attempt,
                target,
                so_far,
                resumed,
            } => {
                let resume = resumed.then_some(so_far);
                return self.dispatch(now, link, attempt, target, resume);
            }
            Step::Attach {
                link,
                attempt,
                target,
                repeat,
                from,
            } => return self.attach(now, link, attempt, &target, repeat, from),
            Step::Close { link } => self.inputs.close(link),
            Step::Cancel { attempt, .. } => self.cancel(now, attempt),
            Step::Prove { attempt, .. } => return self.prove(attempt),
            Step::Ack { attempt, next, .. } => {
                if let Some(sent) = self.attempts.get(&attempt) {
                    self.front.ack(sent.peer, sent.id, next);
                }
            }
            step => self.pass_on(now, step).await,
        }
        None
    }

    fn choose(&mut self, now: Time, resumed: bool, exclude: &BTreeSet<TargetId>) -> Event {
        if resumed && !self.request.resumed {
            self.request = self.request.clone().resumed(self.job.recovery);
        }
        let view = self.front.view.load_full();
        let router = &self.front.router;
        match router.choose(now, &view, &self.request, exclude) {
            Choice::Target(target) => Event::Chosen(target),
            Choice::Wait { until } => Event::NoTarget {
                kind: ErrorKind::Overloaded,
                retry: now.until(until),
            },
            Choice::NoTarget => Event::NoTarget {
                kind: ErrorKind::NoTarget,
                retry: TARGET_RETRY,
            },
        }
    }

    // ---- Links ----

    fn dispatch(
        &mut self,
        now: Time,
        link: LinkId,
        attempt: AttemptNo,
        target: TargetId,
        resume: Option<Vec<TokenId>>,
    ) -> Option<Event> {
        let Some(sent) = self.send_to(now, attempt, &target) else {
            return Some(unreachable(link));
        };
        debug!(
            generation = self.job.generation.to_string(),
            attempt = attempt.0,
            workspace = self.job.workspace.as_str(),
            target = target.as_str();
            "an attempt is dispatched"
        );
        let resumed = resume.is_some();
        let so_far = resume.unwrap_or_default();
        if resumed {
            self.front.metrics.resumes.inc();
            self.front.metrics.extra.inc_by(so_far.len() as u64);
        }
        self.front.router.dispatched(now, &target);
        let call = LinkCall {
            client: self.front.peers.client(sent.peer),
            peer: sent.peer,
            path: path::ATTEMPTS,
            message: self.job.dispatch(attempt, sent.stamp, so_far, resumed),
            limit: self.front.settings.recovery.head,
        };
        self.attempts.insert(attempt, sent);
        self.links.insert(link, attempt);
        self.inputs.open(link, call);
        None
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
        let known = self.attempts.get(&attempt).cloned();
        let Some(sent) = known.or_else(|| self.send_to(now, attempt, target)) else {
            return Some(unreachable(link));
        };
        let client = self.front.peers.renew(sent.peer);
        let limit = self.front.settings.recovery.reattach;
        let (peer, stamp) = (sent.peer, sent.stamp);
        self.attempts.insert(attempt, sent);
        self.links.insert(link, attempt);
        let Some(so_far) = repeat else {
            let message = Attach {
                generation: self.job.generation,
                workspace: self.job.workspace.clone(),
                from,
            };
            let path = path::ATTACH;
            self.inputs.open(
                link,
                LinkCall {
                    client,
                    peer,
                    path,
                    message,
                    limit,
                },
            );
            return None;
        };
        let mut message = self.job.dispatch(attempt, stamp, so_far, true);
        message.repeat = true;
        message.from = from;
        let path = path::ATTEMPTS;
        self.inputs.open(
            link,
            LinkCall {
                client,
                peer,
                path,
                message,
                limit,
            },
        );
        None
    }

    /// Returns where an attempt goes, with the stamp that it keeps.
    fn send_to(&self, now: Time, attempt: AttemptNo, target: &TargetId) -> Option<Sent> {
        let view = self.front.view.load();
        let target_view = view.targets.get(target)?;
        Some(Sent {
            id: self.job.attempt(attempt),
            target: target.clone(),
            peer: target_view.target.agent,
            stamp: Stamp {
                incarnation: target_view.incarnation,
                age: target_view.load.age,
            },
            at: now,
        })
    }

    /// Records that an attempt has left its target.
    fn release(&mut self, now: Time, attempt: AttemptNo) -> Option<Sent> {
        let sent = self.attempts.remove(&attempt)?;
        let held = now.since(sent.at);
        self.front.router.ended(now, &sent.target, held);
        Some(sent)
    }

    /// Records what a frame says of its target.
    fn learn(&mut self, now: Time, event: &Event) {
        let Event::Frame { link, frame } = event else {
            return;
        };
        let Some(&attempt) = self.links.get(link) else {
            return;
        };
        match frame {
            Frame::NotRun { retry, .. } => {
                if let Some(sent) = self.attempts.remove(&attempt) {
                    self.front.router.refused(now, &sent.target, *retry);
                }
            }
            Frame::Done { .. } | Frame::Failed { .. } => {
                self.release(now, attempt);
            }
            _ => {}
        }
    }

    fn cancel(&mut self, now: Time, attempt: AttemptNo) {
        if let Some(sent) = self.release(now, attempt) {
            self.front.cancel(sent.peer, sent.cancel());
        }
    }

    fn prove(&mut self, attempt: AttemptNo) -> Option<Event> {
        let Some(sent) = self.attempts.get(&attempt).cloned() else {
            return Some(Event::Proof { attempt, ran: None });
        };
        let front = Arc::clone(&self.front);
        self.inputs.wait(async move {
            let ran = front.prove(sent.peer, sent.cancel()).await;
            Event::Proof { attempt, ran }
        });
        None
    }

    // ---- Output ----

    async fn pass_on(&mut self, now: Time, step: Step) {
        match step {
            Step::Deliver {
                first,
                attempt,
                target,
                tokens,
            } => {
                self.time_tokens(now, tokens.len());
                let piece = Piece {
                    first,
                    attempt,
                    target,
                    tokens,
                };
                self.send(Output::Piece(piece)).await;
            }
            Step::Answer {
                status,
                headers,
                body,
            } => {
                self.end(now, "answered");
                let answer = ServiceAnswer {
                    status,
                    headers,
                    body,
                };
                self.send(Output::Answer(answer)).await;
            }
            Step::Finish(finish) => {
                self.end(now, "finished");
                self.send(Output::Finish(finish)).await;
            }
            Step::Fail { kind, ran, retry } => {
                self.end(now, kind.code());
                let refusal = Refusal::new(kind).with_ran(ran).with_retry(retry);
                self.send(Output::Refusal(refusal)).await;
            }
            Step::Abandon => self.end(now, "abandoned"),
            Step::Crashed { target } => self.note_loss(&target, "an engine crashed"),
            Step::Lost { target } => self.note_loss(&target, "an attempt is lost"),
            Step::Resumed { latency } => self.front.metrics.resumed(latency),
            Step::Dropped(reason) => self.front.metrics.dropped(reason),
            _ => {}
        }
    }

    async fn send(&mut self, output: Output) {
        // A caller that is gone is noticed by the next event.
        let _ = self.out.send(output).await;
    }

    fn time_tokens(&mut self, now: Time, count: usize) {
        let metrics = &self.front.metrics;
        metrics.tokens.inc_by(count as u64);
        match self.last.replace(now) {
            None => metrics.first_token(&self.job.route, now.since(self.started)),
            Some(last) => metrics.between_tokens(now.since(last)),
        }
    }

    fn note_loss(&mut self, target: &TargetId, message: &str) {
        warn!(
            generation = self.job.generation.to_string(),
            workspace = self.job.workspace.as_str(),
            target = target.as_str();
            "{message}"
        );
    }

    fn end(&mut self, now: Time, outcome: &str) {
        let attempts: Vec<AttemptNo> = self.attempts.keys().copied().collect();
        for attempt in attempts {
            self.release(now, attempt);
        }
        self.front.metrics.ended(&self.job.route, outcome);
        info!(
            generation = self.job.generation.to_string(),
            workspace = self.job.workspace.as_str(),
            outcome = outcome;
            "a generation has ended"
        );
    }
}

fn unreachable(link: LinkId) -> Event {
    Event::Closed {
        link,
        effect: Effect::None,
    }
}
