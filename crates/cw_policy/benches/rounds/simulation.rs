//! A discrete-event simulation of a few entries and targets, to compare policies.
//!
//! Targets have slots, prefill prompts one after another and cache a limited number of blocks;
//! entries see their state late. Processes, sockets and failures of messages are not modelled.

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

/// The time at which the simulation starts, so late that all targets have ramped up.
const START: Time = Time(1_000_000_000);

/// How many other targets are tried after a refusal.
const REDIRECTS: usize = 2;

/// The delay before a request without a target is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The bytes of a prompt that count as one token.
const TOKEN_BYTES: u32 = 4;

#[derive(Clone, Debug)]
enum Event {
    Arrival,
    Retry(Job),
    Completion { target: usize, number: u64 },
    ReportDue,
    ViewArrival(View),
    ZoneLoss,
}

struct Entry {
    dispatches: DispatchLog,
    index: TargetIndex,
}

/// The state of a simulation.
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
    /// Runs `policy` on `scenario` and returns the measurements.
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
        simulation.schedule(Duration::ZERO, Event::Arrival);
        simulation.schedule(Duration::ZERO, Event::ReportDue);
        if let Some(loss) = simulation.scenario.zone_loss {
            simulation.schedule(loss, Event::ZoneLoss);
        }
        let end = START + simulation.scenario.duration;
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
            Event::Arrival => self.arrive(),
            Event::Retry(job) => self.dispatch(job),
            Event::Completion { target, number } => self.end(target, number),
            Event::ReportDue => self.report(),
            Event::ViewArrival(view) => self.observe(&view),
            Event::ZoneLoss => self.lose_zone(),
        }
    }

    fn is_warmed_up(&self) -> bool {
        self.now >= START + self.scenario.duration / 4
    }

    // -----------------------------------------------------------------------------------------

    fn arrive(&mut self) {
        let gap = -self.rng.random::<f64>().max(1e-12).ln() / self.scenario.rate;
        self.schedule(Duration::from_secs_f64(gap), Event::Arrival);
        // The square makes some sessions, and so some workspaces, much busier than others.
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
        let long = self.rng.random::<f64>() < self.scenario.long_share;
        let mean = if long {
            self.scenario.long_output_time
        } else {
            self.scenario.output_time
        };
        let output_time = mean.mul_f64(-self.rng.random::<f64>().max(1e-12).ln());
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
            waiting_since: self.now,
            entry,
            request,
            output_time,
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
            let target = self
                .ids
                .binary_search(&id)
                .expect("the view has only known targets");
            entry
                .dispatches
                .record_dispatch(self.now, &id, &job.request);
            if self.engines[target].lost
                || self.engines[target].running.len() >= self.scenario.slots
            {
                let retry = Duration::from_millis(200);
                entry.dispatches.record_refusal(self.now, &id, retry);
                job.request.excluded.insert(id);
                self.outcome.busy += u32::from(self.is_warmed_up());
                continue;
            }
            return self.start(target, job);
        }
        if self.now.since(job.waiting_since) > self.scenario.max_wait {
            self.outcome.refused += u32::from(self.is_warmed_up());
            return;
        }
        job.request.excluded.clear();
        self.schedule(RETRY_DELAY, Event::Retry(job));
    }

    fn start(&mut self, target: usize, job: Job) {
        let engine = &mut self.engines[target];
        let capacity = self.scenario.cache_blocks;
        let cached = engine.cache(&job.request.blocks, &mut self.clock, capacity);
        let cached = TokenCount(u64::from(cached / TOKEN_BYTES));
        let tokens = job.request.tokens;
        let prefill = self.scenario.prefill * u32::try_from(tokens.0 - cached.0).unwrap_or(0);
        engine.idle_at = engine.idle_at.max(self.now) + prefill;
        let first = engine.idle_at;
        self.sequence += 1;
        let number = self.sequence;
        engine.running.insert(number, (self.now, job.clone()));
        let after = self.now.until(first + job.output_time);
        self.schedule(after, Event::Completion { target, number });
        let dispatches = &mut self.entries[job.entry].dispatches;
        dispatches
            .cache_index
            .learn(&self.ids[target], &job.request.blocks, cached, tokens);
        if self.is_warmed_up() {
            let wait = first.since(job.waiting_since).as_secs_f64();
            if job.request.resumed {
                self.outcome.resumed.push(wait);
            } else {
                self.outcome.first_token[usize::from(job.long)].push(wait);
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
        self.schedule(self.scenario.report_period, Event::ReportDue);
        let view = self.view();
        if self.is_warmed_up() {
            let loads = self.engines.iter().filter(|engine| !engine.lost);
            let loads: Vec<usize> = loads.map(|engine| engine.running.len()).collect();
            let mean = loads.iter().sum::<usize>() as f64 / loads.len() as f64;
            let max = loads.iter().max().copied().unwrap_or_default();
            self.outcome.peak_ratios.push(max as f64 / mean.max(1.0));
        }
        self.schedule(self.scenario.report_delay, Event::ViewArrival(view));
    }

    fn observe(&mut self, view: &View) {
        for entry in &mut self.entries {
            entry.dispatches.observe(self.now, view);
            entry.index = TargetIndex::new(view).with_costs(self.costs.clone());
        }
    }

    /// Fails a third of the targets, those of one availability zone, and resumes their requests.
    fn lose_zone(&mut self) {
        let mut lost = Vec::new();
        for engine in self.engines.iter_mut().step_by(3) {
            engine.lost = true;
            lost.extend(std::mem::take(&mut engine.running).into_values());
        }
        for (_, mut job) in lost {
            job.waiting_since = self.now;
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
        let backlog = self.now.until(engine.idle_at).as_secs_f64();
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
