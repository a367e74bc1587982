//! A loop over a few entries and targets in closed form, to compare policies.
//!
//! Targets have slots, process prompts one after another and keep blocks in a limited cache;
//! entries see their state late. Nothing here models processes, sockets or failures of messages.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::time::Duration;

use cw_policy::Liveness;
use cw_policy::TargetView;
use cw_policy::View;
use cw_policy::routing::Choice;
use cw_policy::routing::Costs;
use cw_policy::routing::Index;
use cw_policy::routing::Ledger;
use cw_policy::routing::Policy;
use cw_policy::routing::RouteRequest;
use cw_types::Incarnation;
use cw_types::Recovery;
use cw_types::RouteTarget;
use cw_types::Target;
use cw_types::TargetId;
use cw_types::TargetKind;
use cw_types::Time;
use cw_types::TokenCount;
use cw_wire::Load;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::engine::Engine;
use crate::engine::Job;
use crate::outcome::Outcome;
use crate::scheduled::Scheduled;
use crate::shape::Shape;

/// When the loop starts, so that targets have ramped up.
const START: Time = Time(1_000_000_000);

/// How many other targets are tried after one refused.
const REDIRECTS: usize = 2;

/// How long a request without a target waits before it tries again.
const PAUSE: Duration = Duration::from_millis(100);

/// The bytes of prompt that make a token.
const TOKEN_BYTES: u32 = 4;

#[derive(Clone, Debug)]
enum Event {
    Arrive,
    Try(Job),
    End { target: usize, number: u64 },
    Report,
    Reports(View),
    Loss,
}

struct Entry {
    ledger: Ledger,
    index: Index,
}

/// The loop.
pub(crate) struct Fleet {
    shape: Shape,
    policy: Policy,
    costs: Costs,
    now: Time,
    queue: BinaryHeap<Reverse<Scheduled<Event>>>,
    sequence: u64,
    clock: u64,
    ids: Vec<TargetId>,
    engines: Vec<Engine>,
    entries: Vec<Entry>,
    turns: Vec<u64>,
    rng: SmallRng,
    outcome: Outcome,
}

impl Fleet {
    /// Runs `policy` on `shape` and returns what was measured.
    pub(crate) fn run(shape: Shape, policy: Policy, costs: Costs, seed: u64) -> Outcome {
        let count = shape.targets;
        let mut fleet = Self {
            policy,
            costs,
            now: START,
            queue: BinaryHeap::new(),
            sequence: 0,
            clock: 0,
            ids: (0..count).map(|n| name(&format!("t{n:03}"))).collect(),
            engines: vec![Engine::default(); count],
            entries: Vec::new(),
            turns: vec![0; shape.sessions],
            rng: SmallRng::seed_from_u64(seed),
            outcome: Outcome::default(),
            shape,
        };
        let view = fleet.view();
        for _ in 0..fleet.shape.entries {
            fleet.entries.push(Entry {
                ledger: Ledger::default(),
                index: Index::new(&view).with_costs(fleet.costs.clone()),
            });
        }
        fleet.schedule(Duration::ZERO, Event::Arrive);
        fleet.schedule(Duration::ZERO, Event::Report);
        if let Some(loss) = fleet.shape.loss {
            fleet.schedule(loss, Event::Loss);
        }
        let end = START + fleet.shape.span;
        while let Some(Reverse(next)) = fleet.queue.pop() {
            if next.at > end {
                break;
            }
            fleet.now = next.at;
            fleet.on_event(next.event);
        }
        fleet.outcome
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse(Scheduled {
            at: self.now + after,
            sequence: self.sequence,
            event,
        }));
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Try(job) => self.dispatch(job),
            Event::End { target, number } => self.end(target, number),
            Event::Report => self.report(),
            Event::Reports(view) => self.observe(&view),
            Event::Loss => self.lose(),
        }
    }

    fn is_warm(&self) -> bool {
        self.now >= START + self.shape.span / 4
    }

    // -----------------------------------------------------------------------------------------

    fn arrive(&mut self) {
        let gap = -self.rng.random::<f64>().max(1e-12).ln() / self.shape.rate;
        self.schedule(Duration::from_secs_f64(gap), Event::Arrive);
        // Squaring makes some sessions, and so some workspaces, much busier than others.
        let pick = self.rng.random::<f64>().powi(2) * self.shape.sessions as f64;
        let session = pick as usize;
        let workspace = session * self.shape.workspaces / self.shape.sessions;
        let turn = self.turns[session];
        self.turns[session] = (turn + 1) % self.shape.turns;
        let blocks = self.shape.blocks(workspace, session, turn, self.sequence);
        let bytes = blocks.last().map_or(0, |block| block.end);
        let tokens = TokenCount(u64::from(bytes / TOKEN_BYTES));
        let long = self.rng.random::<f64>() < self.shape.long;
        let mean = if long {
            self.shape.hold_long
        } else {
            self.shape.hold
        };
        let hold = mean.mul_f64(-self.rng.random::<f64>().max(1e-12).ln());
        let entry = self.rng.random_range(0..self.shape.entries);
        let to = RouteTarget::Model {
            model: name("m"),
            version: name("v"),
            adapter: None,
        };
        let zone = name(&format!("z{}", entry % 3));
        let request = RouteRequest::new(to, name(&format!("w{workspace}")), zone, name("r"))
            .with_prompt(blocks, tokens);
        self.dispatch(Job {
            since: self.now,
            entry,
            request,
            hold,
            long,
        });
    }

    fn dispatch(&mut self, mut job: Job) {
        for _ in 0..=REDIRECTS {
            let entry = &mut self.entries[job.entry];
            let choice = entry.index.choose(
                self.now,
                self.policy,
                &job.request,
                &entry.ledger,
                &mut self.rng,
            );
            let Choice::Target(id) = choice else {
                break;
            };
            let target = self.ids.binary_search(&id).expect("a known target");
            entry.ledger.sent(self.now, &id, &job.request);
            if self.engines[target].lost || self.engines[target].running.len() >= self.shape.slots {
                let retry = Duration::from_millis(200);
                entry.ledger.refused(self.now, &id, retry);
                job.request.excluded.insert(id);
                self.outcome.busy += u32::from(self.is_warm());
                continue;
            }
            return self.start(target, job);
        }
        if self.now.since(job.since) > self.shape.patience {
            self.outcome.refused += u32::from(self.is_warm());
            return;
        }
        job.request.excluded.clear();
        self.schedule(PAUSE, Event::Try(job));
    }

    fn start(&mut self, target: usize, job: Job) {
        let engine = &mut self.engines[target];
        let most = self.shape.cache_blocks;
        let cached = engine.cache(&job.request.blocks, &mut self.clock, most);
        let cached = TokenCount(u64::from(cached / TOKEN_BYTES));
        let tokens = job.request.tokens;
        let prefill = self.shape.prefill * u32::try_from(tokens.0 - cached.0).unwrap_or(0);
        engine.free = engine.free.max(self.now) + prefill;
        let first = engine.free;
        self.sequence += 1;
        let number = self.sequence;
        engine.running.insert(number, (self.now, job.clone()));
        let after = self.now.until(first + job.hold);
        self.schedule(after, Event::End { target, number });
        let ledger = &mut self.entries[job.entry].ledger;
        ledger
            .overlap
            .learn(&self.ids[target], &job.request.blocks, cached, tokens);
        if self.is_warm() {
            let wait = first.since(job.since).as_secs_f64();
            if job.request.resumed {
                self.outcome.resumed.push(wait);
            } else {
                self.outcome.first[usize::from(job.long)].push(wait);
                self.outcome.tokens += tokens.0;
                self.outcome.cached += cached.0;
            }
        }
    }

    fn end(&mut self, target: usize, number: u64) {
        let Some((began, job)) = self.engines[target].running.remove(&number) else {
            return;
        };
        let held = self.now.since(began);
        let ledger = &mut self.entries[job.entry].ledger;
        ledger.ended(self.now, &self.ids[target], held);
    }

    // -----------------------------------------------------------------------------------------

    fn report(&mut self) {
        self.schedule(self.shape.period, Event::Report);
        let view = self.view();
        if self.is_warm() {
            let loads = self.engines.iter().filter(|engine| !engine.lost);
            let loads: Vec<usize> = loads.map(|engine| engine.running.len()).collect();
            let mean = loads.iter().sum::<usize>() as f64 / loads.len() as f64;
            let max = loads.iter().max().copied().unwrap_or_default();
            self.outcome.peaks.push(max as f64 / mean.max(1.0));
        }
        self.schedule(self.shape.lag, Event::Reports(view));
    }

    fn observe(&mut self, view: &View) {
        for entry in &mut self.entries {
            entry.ledger.observe(self.now, view);
            entry.index = Index::new(view).with_costs(self.costs.clone());
        }
    }

    /// Loses a third of the targets: one availability zone.
    fn lose(&mut self) {
        let mut lost = Vec::new();
        for engine in self.engines.iter_mut().step_by(3) {
            engine.lost = true;
            lost.extend(std::mem::take(&mut engine.running).into_values());
        }
        for (_, mut job) in lost {
            job.since = self.now;
            job.request = job.request.resumed(Recovery::Latency);
            self.dispatch(job);
        }
    }

    fn view(&self) -> View {
        let targets = self.ids.iter().zip(&self.engines).enumerate();
        let targets = targets.map(|(number, (id, engine))| {
            let view = self.target(number, engine);
            (id.clone(), view)
        });
        View {
            targets: targets.collect(),
            ..View::default()
        }
    }

    fn target(&self, number: usize, engine: &Engine) -> TargetView {
        let backlog = self.now.until(engine.free).as_secs_f64();
        let prefill = backlog / self.shape.prefill.as_secs_f64().max(1e-9);
        TargetView {
            target: Target {
                agent: "127.0.0.1:1".parse().expect("a valid address"),
                host: name(&format!("h{number}")),
                zone: name(&format!("z{}", number % 3)),
                region: name("r"),
                kind: TargetKind::Engine,
                fenced: true,
                versions: BTreeMap::new(),
            },
            liveness: if engine.lost {
                Liveness::Suspect
            } else {
                Liveness::Alive
            },
            incarnation: Incarnation(1),
            load: Load {
                running: u32::try_from(engine.running.len()).unwrap_or(u32::MAX),
                limit: u32::try_from(self.shape.slots).unwrap_or(u32::MAX),
                prefill: TokenCount(prefill as u64),
                ..Load::default()
            },
            reported_at: self.now,
            alive_since: Time(0),
            versions: BTreeMap::from([(name("m"), BTreeSet::from([name("v")]))]),
            crashes: Vec::new(),
        }
    }
}

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}
