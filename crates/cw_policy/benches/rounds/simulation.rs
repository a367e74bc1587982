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
use cw_policy::routing::DispatchLog;
use cw_policy::routing::Policy;
use cw_policy::routing::RouteRequest;
use cw_policy::routing::RoutingCosts;
use cw_policy::routing::TargetIndex;
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
use crate::scenario::Scenario;
use crate::scheduled::Scheduled;

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
    dispatches: DispatchLog,
    index: TargetIndex,
}

/// The loop.
pub(crate) struct Simulation {
    scenario: Scenario,
    policy: Policy,
    costs: RoutingCosts,
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

impl Simulation {
    /// Runs `policy` on `scenario` and returns what was measured.
    pub(crate) fn run(
        scenario: Scenario,
        policy: Policy,
        costs: RoutingCosts,
        seed: u64,
    ) -> Outcome {
        let count = scenario.targets;
        let mut simulation = Self {
            policy,
            costs,
            now: START,
            queue: BinaryHeap::new(),
            sequence: 0,
            clock: 0,
            ids: (0..count).map(|n| name(&format!("t{n:03}"))).collect(),
            engines: vec![Engine::default(); count],
            entries: Vec::new(),
            turns: vec![0; scenario.sessions],
            rng: SmallRng::seed_from_u64(seed),
            outcome: Outcome::default(),
            scenario,
        };
        let view = simulation.view();
        for _ in 0..simulation.scenario.entries {
            simulation.entries.push(Entry {
                dispatches: DispatchLog::default(),
                index: TargetIndex::new(&view).with_costs(simulation.costs.clone()),
            });
        }
        simulation.schedule(Duration::ZERO, Event::Arrive);
        simulation.schedule(Duration::ZERO, Event::Report);
        if let Some(loss) = simulation.scenario.loss {
            simulation.schedule(loss, Event::Loss);
        }
        let end = START + simulation.scenario.span;
        while let Some(Reverse(next)) = simulation.queue.pop() {
            if next.at > end {
                break;
            }
            simulation.now = next.at;
            simulation.on_event(next.event);
        }
        simulation.outcome
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
        self.now >= START + self.scenario.span / 4
    }

    // -----------------------------------------------------------------------------------------

    fn arrive(&mut self) {
        let gap = -self.rng.random::<f64>().max(1e-12).ln() / self.scenario.rate;
        self.schedule(Duration::from_secs_f64(gap), Event::Arrive);
        // Squaring makes some sessions, and so some workspaces, much busier than others.
        let pick = self.rng.random::<f64>().powi(2) * self.scenario.sessions as f64;
        let session = pick as usize;
        let workspace = session * self.scenario.workspaces / self.scenario.sessions;
        let turn = self.turns[session];
        self.turns[session] = (turn + 1) % self.scenario.turns;
        let blocks = self
            .scenario
            .blocks(workspace, session, turn, self.sequence);
        let bytes = blocks.last().map_or(0, |block| block.end);
        let tokens = TokenCount(u64::from(bytes / TOKEN_BYTES));
        let long = self.rng.random::<f64>() < self.scenario.long;
        let mean = if long {
            self.scenario.hold_long
        } else {
            self.scenario.hold
        };
        let hold = mean.mul_f64(-self.rng.random::<f64>().max(1e-12).ln());
        let entry = self.rng.random_range(0..self.scenario.entries);
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
                &entry.dispatches,
                &mut self.rng,
            );
            let Choice::Target(id) = choice else {
                break;
            };
            let target = self.ids.binary_search(&id).expect("a known target");
            entry
                .dispatches
                .record_dispatch(self.now, &id, &job.request);
            if self.engines[target].lost
                || self.engines[target].running.len() >= self.scenario.slots
            {
                let retry = Duration::from_millis(200);
                entry.dispatches.record_refusal(self.now, &id, retry);
                job.request.excluded.insert(id);
                self.outcome.busy += u32::from(self.is_warm());
                continue;
            }
            return self.start(target, job);
        }
        if self.now.since(job.since) > self.scenario.patience {
            self.outcome.refused += u32::from(self.is_warm());
            return;
        }
        job.request.excluded.clear();
        self.schedule(PAUSE, Event::Try(job));
    }

    fn start(&mut self, target: usize, job: Job) {
        let engine = &mut self.engines[target];
        let most = self.scenario.cache_blocks;
        let cached = engine.cache(&job.request.blocks, &mut self.clock, most);
        let cached = TokenCount(u64::from(cached / TOKEN_BYTES));
        let tokens = job.request.tokens;
        let prefill = self.scenario.prefill * u32::try_from(tokens.0 - cached.0).unwrap_or(0);
        engine.free = engine.free.max(self.now) + prefill;
        let first = engine.free;
        self.sequence += 1;
        let number = self.sequence;
        engine.running.insert(number, (self.now, job.clone()));
        let after = self.now.until(first + job.hold);
        self.schedule(after, Event::End { target, number });
        let dispatches = &mut self.entries[job.entry].dispatches;
        dispatches
            .cache_index
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
        let dispatches = &mut self.entries[job.entry].dispatches;
        dispatches.record_end(self.now, &self.ids[target], held);
    }

    // -----------------------------------------------------------------------------------------

    fn report(&mut self) {
        self.schedule(self.scenario.period, Event::Report);
        let view = self.view();
        if self.is_warm() {
            let loads = self.engines.iter().filter(|engine| !engine.lost);
            let loads: Vec<usize> = loads.map(|engine| engine.running.len()).collect();
            let mean = loads.iter().sum::<usize>() as f64 / loads.len() as f64;
            let max = loads.iter().max().copied().unwrap_or_default();
            self.outcome.peaks.push(max as f64 / mean.max(1.0));
        }
        self.schedule(self.scenario.lag, Event::Reports(view));
    }

    fn observe(&mut self, view: &View) {
        for entry in &mut self.entries {
            entry.dispatches.observe(self.now, view);
            entry.index = TargetIndex::new(view).with_costs(self.costs.clone());
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
        let prefill = backlog / self.scenario.prefill.as_secs_f64().max(1e-9);
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
                limit: u32::try_from(self.scenario.slots).unwrap_or(u32::MAX),
                prefill: TokenCount(prefill as u64),
                ..Load::default()
            },
            reported: self.now,
            returned: Time(0),
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
