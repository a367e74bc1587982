//! The driver that carries out the steps of the generation state machines.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use cw_policy::Event;
use cw_policy::Generation;
use cw_policy::GenerationLimits;
use cw_policy::LinkId;
use cw_policy::Step;
use cw_types::AttemptId;
use cw_types::AttemptNo;
use cw_types::ErrorKind;
use cw_types::TargetId;
use cw_types::TokenCount;
use cw_types::TokenId;
use cw_types::TokenIndex;
use cw_wire::Ack;
use cw_wire::Attach;
use cw_wire::Dispatch;
use cw_wire::Generate;
use cw_wire::Prompt;
use cw_wire::Sampling;
use cw_wire::Work;

use super::Caller;
use super::Link;
use super::MAX_TOKENS;
use super::Request;
use super::TARGETS;
use super::World;
use super::parse_name;
use super::target_id;
use super::target_index;

impl World {
    pub(super) fn feed(&mut self, caller: usize, event: Event) {
        if self.callers[caller].entry_dead {
            return;
        }
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let steps = self.callers[caller].machine.on_event(self.now, event);
            for step in steps {
                events.extend(self.carry_out(caller, step));
            }
        }
    }

    pub(super) fn carry_out(&mut self, caller: usize, step: Step) -> Option<Event> {
        match step {
            Step::Choose { exclude, .. } => return Some(self.choose_target(&exclude)),
            Step::Dispatch {
                link,
                attempt,
                target,
                so_far,
                resumed,
            } => {
                let agent = target_index(&target);
                let stamp = self.agents[agent].stamp;
                self.callers[caller].sent.insert(attempt, (agent, stamp));
                let dispatch = self.dispatch_request(caller, attempt, so_far, resumed);
                if self.callers[caller].key.is_some() {
                    self.start_claim(caller, link, agent, dispatch);
                    return None;
                }
                self.open_link(caller, link, agent, Request::Dispatch(Box::new(dispatch)));
            }
            Step::Attach {
                link,
                attempt,
                target,
                repeat,
                from,
            } => {
                let request = self.attach_request(caller, attempt, repeat, from);
                self.open_link(caller, link, target_index(&target), request);
            }
            Step::Close { link } => self.close_link(caller, link),
            Step::Cancel { attempt, .. } => self.push_cancel(caller, attempt, None),
            Step::ConfirmCancel { attempt, .. } => self.push_cancel(caller, attempt, Some(caller)),
            Step::Enqueue => {
                let (kind, retry) = (ErrorKind::Overloaded, Duration::from_secs(1));
                return Some(Event::QueueRejected { kind, retry });
            }
            Step::CheckCrashes => return Some(Event::CrashesChecked { at_fault: false }),
            Step::Ack { attempt, next, .. } => {
                let (agent, _) = self.callers[caller].sent[&attempt];
                let id = self.attempt_id(caller, attempt);
                let clock = self.agents[agent].clock(self.now);
                let steps = self.agents[agent].table.on_ack(clock, &Ack { id, next });
                self.agents[agent].carry_out(clock, steps);
            }
            Step::Deliver {
                first,
                attempt,
                target,
                tokens,
            } => {
                let caller = &mut self.callers[caller];
                if caller.disconnected {
                    return None;
                }
                caller.last_delivery = Some((attempt, target));
                assert_eq!(
                    first.0,
                    caller.output.len() as u64,
                    "tokens are delivered without gaps or repeats"
                );
                assert!(
                    caller.end_step.is_none(),
                    "no token is delivered after the end"
                );
                caller.output.extend(tokens.iter().map(|token| token.id));
            }
            Step::Finish(_) | Step::Fail { .. } | Step::Abandon | Step::Answer { .. } => {
                let end = &mut self.callers[caller].end_step;
                assert!(end.is_none(), "a generation ends once");
                *end = Some(step);
            }
            _ => {}
        }
        None
    }

    /// Disconnects a caller from its entry and repeats its call through another one.
    pub(super) fn reconnect(&mut self, at: usize, with_output: bool) {
        let caller = &mut self.callers[at];
        let Some((attempt, target)) = caller.last_delivery.clone() else {
            return;
        };
        // A caller with an idempotency key repeats its call by [`World::call_again`].
        if caller.disconnected || caller.end_step.is_some() || caller.key.is_some() {
            return;
        }
        caller.disconnected = true;
        let mut plan = caller.plan.clone();
        plan.resume_index = TokenIndex(caller.output.len() as u64);
        plan.running_target = Some(target.clone());
        plan.running_attempt = attempt;
        self.takeovers += 1;
        plan.next_attempt = AttemptNo(1000 * self.takeovers);
        plan.prefix = match with_output {
            true => caller.output.clone(),
            false => Vec::new(),
        };
        let agent = target_index(&target);
        let stamp = self.agents[agent].stamp;
        let reconnected = Caller {
            id: caller.id,
            machine: Generation::new(plan.clone(), GenerationLimits::default()),
            plan,
            links: BTreeMap::new(),
            sent: BTreeMap::from([(attempt, (agent, stamp))]),
            output: caller.output.clone(),
            last_delivery: caller.last_delivery.clone(),
            disconnected: false,
            entry_dead: false,
            key: None,
            end_step: None,
        };
        self.feed(at, Event::CallerGone);
        self.callers.push(reconnected);
        self.feed(self.callers.len() - 1, Event::Start);
    }

    pub(super) fn choose_target(
        &mut self,
        exclude: &std::collections::BTreeSet<TargetId>,
    ) -> Event {
        for _ in 0..TARGETS {
            self.last_choice = (self.last_choice + 1) % TARGETS;
            let target = target_id(self.last_choice);
            if !exclude.contains(&target) {
                return Event::Chosen(target);
            }
        }
        Event::NoTarget {
            kind: ErrorKind::NoTarget,
            retry: Duration::from_secs(1),
        }
    }

    pub(super) fn open_link(
        &mut self,
        caller: usize,
        link: LinkId,
        agent: usize,
        request: Request,
    ) {
        let opened = Link {
            agent,
            request: Some(request),
            reader: None,
            frames: VecDeque::new(),
            silent: false,
            ended: false,
        };
        self.callers[caller].links.insert(link, opened);
    }

    pub(super) fn attempt_id(&self, caller: usize, attempt: AttemptNo) -> AttemptId {
        let generation = self.callers[caller].id;
        AttemptId {
            generation,
            attempt,
        }
    }

    pub(super) fn attach_request(
        &self,
        caller: usize,
        attempt: AttemptNo,
        repeat: Option<Vec<TokenId>>,
        from: TokenIndex,
    ) -> Request {
        match repeat {
            Some(so_far) => {
                let mut dispatch = self.dispatch_request(caller, attempt, so_far, true);
                dispatch.repeat = true;
                dispatch.from = from;
                Request::Dispatch(Box::new(dispatch))
            }
            None => Request::Attach(Attach {
                generation: self.callers[caller].id,
                attempt: Some(attempt),
                workspace: parse_name("w"),
                from,
            }),
        }
    }

    pub(super) fn dispatch_request(
        &self,
        caller: usize,
        attempt: AttemptNo,
        so_far: Vec<TokenId>,
        resumed: bool,
    ) -> Dispatch {
        let from = TokenIndex(so_far.len() as u64);
        Dispatch {
            id: self.attempt_id(caller, attempt),
            stamp: self.callers[caller].sent[&attempt].1,
            repeat: false,
            workspace: parse_name("w"),
            weight: 1,
            rank: 1,
            idempotent: self.callers[caller].plan.idempotent,
            resumed,
            patience: Duration::from_secs(10),
            fingerprint: Default::default(),
            from,
            work: Work::Generate(Generate {
                model: parse_name("m"),
                version: parse_name("v"),
                adapter: None,
                prompt: Prompt::Text(String::new()),
                sampling: Sampling {
                    seed: 1,
                    temperature: 1.0,
                    top_p: 1.0,
                    stop: Vec::new(),
                },
                so_far,
                max_tokens: TokenCount(MAX_TOKENS),
            }),
        }
    }
}
