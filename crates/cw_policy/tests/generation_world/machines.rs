//! What the entries' machines ask for.

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

use super::Ask;
use super::Caller;
use super::Link;
use super::MOST;
use super::TARGETS;
use super::World;
use super::index;
use super::name;
use super::target;

impl World {
    pub(super) fn feed(&mut self, caller: usize, event: Event) {
        if self.callers[caller].dead {
            return;
        }
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let steps = self.callers[caller].machine.on_event(self.now, event);
            for step in steps {
                events.extend(self.take(caller, step));
            }
        }
    }

    pub(super) fn take(&mut self, caller: usize, step: Step) -> Option<Event> {
        match step {
            Step::Choose { exclude, .. } => return Some(self.choose(&exclude)),
            Step::Dispatch {
                link,
                attempt,
                target,
                so_far,
                resumed,
            } => {
                let agent = index(&target);
                let stamp = self.agents[agent].stamp;
                self.callers[caller].sent.insert(attempt, (agent, stamp));
                let dispatch = self.dispatch(caller, attempt, so_far, resumed);
                if self.callers[caller].key.is_some() {
                    self.claim(caller, link, agent, dispatch);
                    return None;
                }
                self.open(caller, link, agent, Ask::Dispatch(Box::new(dispatch)));
            }
            Step::Attach {
                link,
                attempt,
                target,
                repeat,
                from,
            } => {
                let ask = self.attach(caller, attempt, repeat, from);
                self.open(caller, link, index(&target), ask);
            }
            Step::Close { link } => self.close(caller, link),
            Step::Cancel { attempt, .. } => self.push_cancel(caller, attempt, None),
            Step::ConfirmCancel { attempt, .. } => self.push_cancel(caller, attempt, Some(caller)),
            Step::Enqueue => {
                let (kind, retry) = (ErrorKind::Overloaded, Duration::from_secs(1));
                return Some(Event::QueueRejected { kind, retry });
            }
            Step::CheckCrashes => return Some(Event::CrashesChecked { at_fault: false }),
            Step::Ack { attempt, next, .. } => {
                let (agent, _) = self.callers[caller].sent[&attempt];
                let id = self.attempt(caller, attempt);
                let clock = self.agents[agent].clock(self.now);
                let steps = self.agents[agent].table.on_ack(clock, &Ack { id, next });
                self.agents[agent].take(clock, steps);
            }
            Step::Deliver {
                first,
                attempt,
                target,
                tokens,
            } => {
                let caller = &mut self.callers[caller];
                if caller.left {
                    return None;
                }
                caller.last = Some((attempt, target));
                assert_eq!(first.0, caller.output.len() as u64, "no gap, no repeat");
                assert!(caller.end.is_none(), "nothing comes after the end");
                caller.output.extend(tokens.iter().map(|token| token.id));
            }
            Step::Finish(_) | Step::Fail { .. } | Step::Abandon | Step::Answer { .. } => {
                let end = &mut self.callers[caller].end;
                assert!(end.is_none(), "there is one end");
                *end = Some(step);
            }
            _ => {}
        }
        None
    }

    /// A caller hears nothing more from its entry, and calls again through another one.
    pub(super) fn come_back(&mut self, at: usize, held: bool) {
        let caller = &mut self.callers[at];
        let Some((attempt, target)) = caller.last.clone() else {
            return;
        };
        // A caller with a key calls again by its key.
        if caller.left || caller.end.is_some() || caller.key.is_some() {
            return;
        }
        caller.left = true;
        let mut plan = caller.plan.clone();
        plan.resume_index = TokenIndex(caller.output.len() as u64);
        plan.running_target = Some(target.clone());
        plan.running_attempt = attempt;
        self.entries += 1;
        plan.next_attempt = AttemptNo(1000 * self.entries);
        plan.prefix = match held {
            true => caller.output.clone(),
            false => Vec::new(),
        };
        let agent = index(&target);
        let stamp = self.agents[agent].stamp;
        let back = Caller {
            id: caller.id,
            machine: Generation::new(plan.clone(), GenerationLimits::default()),
            plan,
            links: BTreeMap::new(),
            sent: BTreeMap::from([(attempt, (agent, stamp))]),
            output: caller.output.clone(),
            last: caller.last.clone(),
            left: false,
            dead: false,
            key: None,
            end: None,
        };
        self.feed(at, Event::CallerGone);
        self.callers.push(back);
        self.feed(self.callers.len() - 1, Event::Start);
    }

    pub(super) fn choose(&mut self, exclude: &std::collections::BTreeSet<TargetId>) -> Event {
        for _ in 0..TARGETS {
            self.turn = (self.turn + 1) % TARGETS;
            let target = target(self.turn);
            if !exclude.contains(&target) {
                return Event::Chosen(target);
            }
        }
        Event::NoTarget {
            kind: ErrorKind::NoTarget,
            retry: Duration::from_secs(1),
        }
    }

    pub(super) fn open(&mut self, caller: usize, link: LinkId, agent: usize, ask: Ask) {
        let opened = Link {
            agent,
            ask: Some(ask),
            reader: None,
            frames: VecDeque::new(),
            silent: false,
            ended: false,
        };
        self.callers[caller].links.insert(link, opened);
    }

    pub(super) fn attempt(&self, caller: usize, attempt: AttemptNo) -> AttemptId {
        let generation = self.callers[caller].id;
        AttemptId {
            generation,
            attempt,
        }
    }

    pub(super) fn attach(
        &self,
        caller: usize,
        attempt: AttemptNo,
        repeat: Option<Vec<TokenId>>,
        from: TokenIndex,
    ) -> Ask {
        match repeat {
            Some(so_far) => {
                let mut dispatch = self.dispatch(caller, attempt, so_far, true);
                dispatch.repeat = true;
                dispatch.from = from;
                Ask::Dispatch(Box::new(dispatch))
            }
            None => Ask::Attach(Attach {
                generation: self.callers[caller].id,
                attempt: Some(attempt),
                workspace: name("w"),
                from,
            }),
        }
    }

    pub(super) fn dispatch(
        &self,
        caller: usize,
        attempt: AttemptNo,
        so_far: Vec<TokenId>,
        resumed: bool,
    ) -> Dispatch {
        let from = TokenIndex(so_far.len() as u64);
        Dispatch {
            id: self.attempt(caller, attempt),
            stamp: self.callers[caller].sent[&attempt].1,
            repeat: false,
            workspace: name("w"),
            weight: 1,
            rank: 1,
            idempotent: self.callers[caller].plan.idempotent,
            resumed,
            patience: Duration::from_secs(10),
            fingerprint: Default::default(),
            from,
            work: Work::Generate(Generate {
                model: name("m"),
                version: name("v"),
                adapter: None,
                prompt: Prompt::Text(String::new()),
                sampling: Sampling {
                    seed: 1,
                    temperature: 1.0,
                    top_p: 1.0,
                    stop: Vec::new(),
                },
                so_far,
                max_tokens: TokenCount(MOST),
            }),
        }
    }
}
