//! Turns links into events and steps into links, for one generation.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cw_policy::Effect;
use cw_policy::Event;
use cw_policy::Generation;
use cw_policy::LinkId;
use cw_policy::Step;
use cw_types::AttemptNo;
use cw_types::ErrorKind;
use cw_types::TargetId;
use cw_types::Time;
use cw_types::TokenId;
use cw_types::TokenIndex;
use cw_wire::Attach;
use cw_wire::path;
use log::debug;
use log::info;
use log::warn;
use tokio::sync::mpsc;

use super::chooser;
use super::frontend::Frontend;
use super::in_flight::InFlightGuard;
use super::inputs::Inputs;
use super::inputs::LinkCall;
use super::job::Job;
use super::output::Output;
use super::output::Piece;
use super::output::ServiceAnswer;
use super::refusal::Refusal;

/// What a refusal says when every target is busy and none says better.
const BUSY_RETRY: Duration = Duration::from_secs(1);

/// Drives one generation to its end.
pub(crate) struct Driver {
    front: Arc<Frontend>,
    job: Job,
    machine: Generation,
    inputs: Inputs,
    out: mpsc::Sender<Output>,
    agents: BTreeMap<TargetId, SocketAddr>,
    attempts: BTreeMap<AttemptNo, InFlightGuard>,
    started: Time,
    last: Option<Time>,
    absent: bool,
}

impl Driver {
    /// Returns a driver that hands the output to `out`.
    pub(crate) fn new(front: Arc<Frontend>, job: Job, out: mpsc::Sender<Output>) -> Self {
        let limits = job.limits(&front.settings);
        let machine = Generation::new(job.plan.clone(), limits);
        let started = front.clock.now();
        Self {
            front,
            job,
            machine,
            inputs: Inputs::default(),
            out,
            agents: BTreeMap::new(),
            attempts: BTreeMap::new(),
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
            for step in self.machine.on_event(now, event) {
                events.extend(self.take(now, step).await);
            }
        }
    }

    /// Takes one step; some are answered at once.
    async fn take(&mut self, now: Time, step: Step) -> Option<Event> {
        match step {
            Step::Choose { exclude, .. } => {
                let view = self.front.view.load();
                let counts = self.front.in_flight.counts();
                let target = chooser::choose(&view, &self.job, &exclude, &counts);
                return Some(target.map_or_else(no_target, Event::Chosen));
            }
            Step::Dispatch {
                link,
                attempt,
                target,
                so_far,
                resumed,
            } => return self.dispatch(link, attempt, target, so_far, resumed),
            Step::Attach {
                link,
                attempt,
                target,
                repeat,
                from,
            } => return self.attach(link, attempt, target, repeat, from),
            Step::Close { link } => self.inputs.close(link),
            Step::Cancel { attempt, target } => self.cancel(attempt, &target),
            Step::Prove { attempt, target } => return self.prove(attempt, &target),
            Step::Ack {
                attempt,
                target,
                next,
            } => {
                if let Some(&peer) = self.agents.get(&target) {
                    self.front.ack(peer, self.job.attempt(attempt), next);
                }
            }
            step => self.pass_on(now, step).await,
        }
        None
    }

    // ---- Links ----

    fn dispatch(
        &mut self,
        link: LinkId,
        attempt: AttemptNo,
        target: TargetId,
        so_far: Vec<TokenId>,
        resumed: bool,
    ) -> Option<Event> {
        let Some(peer) = self.agent(&target) else {
            return Some(unreachable(link));
        };
        debug!(
            generation = self.job.generation.to_string(),
            attempt = attempt.0,
            workspace = self.job.workspace.as_str(),
            target = target.as_str();
            "an attempt is dispatched"
        );
        if resumed {
            self.front.metrics.resumes.inc();
            self.front.metrics.extra.inc_by(so_far.len() as u64);
        }
        self.attempts
            .insert(attempt, self.front.in_flight.enter(&target));
        let from = self.machine.next();
        let call = LinkCall {
            client: self.front.peers.client(peer),
            peer,
            path: path::ATTEMPTS,
            message: self.job.dispatch(attempt, so_far, resumed, from),
            limit: self.front.settings.recovery.head,
        };
        self.inputs.open(link, call);
        None
    }

    fn attach(
        &mut self,
        link: LinkId,
        attempt: AttemptNo,
        target: TargetId,
        repeat: Option<Vec<TokenId>>,
        from: TokenIndex,
    ) -> Option<Event> {
        let Some(peer) = self.agent(&target) else {
            return Some(unreachable(link));
        };
        let client = self.front.peers.renew(peer);
        let limit = self.front.settings.recovery.reattach;
        match repeat {
            Some(so_far) => {
                let call = LinkCall {
                    client,
                    peer,
                    path: path::ATTEMPTS,
                    message: self.job.dispatch(attempt, so_far, true, from),
                    limit,
                };
                self.inputs.open(link, call);
            }
            None => {
                let message = Attach {
                    generation: self.job.generation,
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
                self.inputs.open(link, call);
            }
        }
        None
    }

    fn cancel(&mut self, attempt: AttemptNo, target: &TargetId) {
        self.attempts.remove(&attempt);
        if let Some(&peer) = self.agents.get(target) {
            self.front.cancel(peer, self.job.attempt(attempt));
        }
    }

    fn prove(&mut self, attempt: AttemptNo, target: &TargetId) -> Option<Event> {
        let Some(&peer) = self.agents.get(target) else {
            return Some(Event::Proof { attempt, ran: None });
        };
        let front = Arc::clone(&self.front);
        let id = self.job.attempt(attempt);
        self.inputs.wait(async move {
            let ran = front.prove(peer, id).await;
            Event::Proof { attempt, ran }
        });
        None
    }

    /// Returns where the agent of a target listens; it stays the same for the generation's life.
    fn agent(&mut self, target: &TargetId) -> Option<SocketAddr> {
        if let Some(&peer) = self.agents.get(target) {
            return Some(peer);
        }
        let peer = self.front.view.load().targets.get(target)?.target.agent;
        self.agents.insert(target.clone(), peer);
        Some(peer)
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
                self.end("answered");
                let answer = ServiceAnswer {
                    status,
                    headers,
                    body,
                };
                self.send(Output::Answer(answer)).await;
            }
            Step::Finish(finish) => {
                self.end("finished");
                self.send(Output::Finish(finish)).await;
            }
            Step::Fail { kind, ran, retry } => {
                self.end(kind.code());
                let refusal = Refusal::new(kind).with_ran(ran).with_retry(retry);
                self.send(Output::Refusal(refusal)).await;
            }
            Step::Abandon => self.end("abandoned"),
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

    fn end(&mut self, outcome: &str) {
        self.attempts.clear();
        self.front.metrics.ended(&self.job.route, outcome);
        info!(
            generation = self.job.generation.to_string(),
            workspace = self.job.workspace.as_str(),
            outcome = outcome;
            "a generation has ended"
        );
    }
}

fn no_target() -> Event {
    Event::NoTarget {
        kind: ErrorKind::NoTarget,
        retry: BUSY_RETRY,
    }
}

fn unreachable(link: LinkId) -> Event {
    Event::Closed {
        link,
        effect: Effect::None,
    }
}
