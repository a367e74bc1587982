//! Tests of which requests wait and which are refused when prompts arrive faster than targets read
//! them.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use cw_policy::forward::Fleet;
use cw_policy::forward::RunTimes;
use cw_policy::forward::StandingQueues;
use cw_policy::forward::StartEstimate;
use cw_types::TargetId;
use cw_types::Time;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::fixtures::DEMAND;
use crate::fixtures::TestRequest;
use crate::fixtures::at;
use crate::fixtures::engine;
use crate::fixtures::fleet;
use crate::fixtures::name;

/// The time in which an engine reads one prompt.
const READING_TIME: Duration = Duration::from_millis(1000);

/// The objective for the time to the first event.
const OBJECTIVE: Duration = Duration::from_millis(4500);

/// The delay from arrival to start of each request, and the number of refused requests.
#[derive(Debug, Default)]
struct Outcome {
    delays: Vec<Duration>,
    refused: usize,
}

impl Outcome {
    fn in_time(&self) -> usize {
        self.delays
            .iter()
            .filter(|time| **time <= OBJECTIVE)
            .count()
    }
}

/// A prompt that is queued or being read.
struct QueuedPrompt {
    arrived: Time,
    /// The time at which reading it ends.
    read_at: Time,
    /// The number of queued tokens when it arrived, including its own.
    ahead: u64,
}

/// A simulation of four engines, which read one prompt at a time, behind one entry.
struct Simulation {
    fleet: Fleet,
    times: RunTimes,
    standing: StandingQueues,
    rng: SmallRng,
    /// The prompts that each engine has yet to read.
    queues: BTreeMap<TargetId, VecDeque<QueuedPrompt>>,
    outcome: Outcome,
    /// Whether requests that cannot start in time are refused.
    refuses_late: bool,
}

impl Simulation {
    fn new(refuses_late: bool) -> Self {
        let (_, times) = measured_fleet(0);
        Self {
            fleet: fleet(2, 2),
            times,
            standing: StandingQueues::default(),
            rng: SmallRng::seed_from_u64(3),
            queues: BTreeMap::new(),
            outcome: Outcome::default(),
            refuses_late,
        }
    }

    /// Simulates the reading of prompts until `now`.
    fn read(&mut self, now: Time) {
        for (id, queue) in &mut self.queues {
            while let Some(done) = queue.pop_front_if(|prompt| prompt.read_at <= now) {
                self.fleet.record_start(done.read_at, id, DEMAND);
                self.fleet.record_end(done.read_at, id, DEMAND, true);
                let time = done.read_at.since(done.arrived);
                let ahead = Some(done.ahead);
                self.times
                    .record_prompt(&name("engines"), DEMAND.prompt, ahead, time);
                self.outcome.delays.push(time);
            }
        }
    }

    /// Simulates the arrival of one request.
    fn request(&mut self, now: Time) {
        self.read(now);
        let request = TestRequest::default();
        let requirements = request.requirements();
        let placed = self.fleet.place(now, &requirements, &mut self.rng).unwrap();
        let estimate = self.fleet.estimate_start(
            now,
            &requirements,
            &self.times,
            &mut self.standing,
            OBJECTIVE,
        );
        let target = match estimate {
            StartEstimate::Late { .. } if self.refuses_late => {
                self.outcome.refused += 1;
                return;
            }
            StartEstimate::InTime | StartEstimate::Late { .. } => placed.target,
        };
        let ahead = self
            .fleet
            .backlog(now, &target, &requirements, &self.times)
            .unread;
        self.fleet.record_send(now, &target, DEMAND);
        let queue = self.queues.entry(target).or_default();
        let free_at = queue.back().map_or(now, |last| last.read_at.max(now));
        queue.push_back(QueuedPrompt {
            arrived: now,
            read_at: free_at + READING_TIME,
            ahead,
        });
    }

    /// Simulates one request every `gap` milliseconds, between the times `from` and `to`.
    fn request_every(&mut self, gap: u64, from: u64, to: u64) {
        for now in (from..to).step_by(usize::try_from(gap).unwrap()) {
            self.request(at(now));
        }
    }

    fn finish(mut self) -> Outcome {
        self.read(at(1_000_000));
        self.outcome
    }
}

/// Prompts arrive for a minute at one and a half times the rate that the engines can read.
#[test]
fn lasting_overload_is_refused_and_the_rest_starts_in_time() {
    let mut simulation = Simulation::new(true);

    simulation.request_every(166, 0, 60_000);

    let outcome = simulation.finish();
    // The engines can read four prompts a second. Nine in ten of these must start in time.
    assert!(outcome.in_time() >= 216, "{} in time", outcome.in_time());
    assert_eq!(
        outcome.in_time(),
        outcome.delays.len(),
        "every accepted request starts in time"
    );
    assert!(outcome.refused <= 361 - 216, "{} refused", outcome.refused);
}

/// Without refusals, the same load makes the queue grow until most requests start late.
#[test]
fn lasting_overload_delays_most_requests_without_refusals() {
    let mut simulation = Simulation::new(false);

    simulation.request_every(166, 0, 60_000);

    let outcome = simulation.finish();
    assert!(
        outcome.in_time() < outcome.delays.len() / 2,
        "{} in time",
        outcome.in_time()
    );
}

/// The load rises to 1.7 times its usual rate for three seconds. The usual rate is seven tenths of
/// what the engines can read.
#[test]
fn a_burst_is_queued_and_none_is_refused() {
    let mut simulation = Simulation::new(true);

    simulation.request_every(357, 0, 10_000);
    simulation.request_every(210, 10_000, 13_000);
    simulation.request_every(357, 13_000, 30_000);

    let outcome = simulation.finish();
    assert_eq!(outcome.refused, 0);
    assert_eq!(outcome.in_time(), outcome.delays.len());
}

/// Guards against refusals that continue after a standing queue has drained.
#[test]
fn requests_are_accepted_again_as_soon_as_the_load_falls() {
    let mut simulation = Simulation::new(true);
    simulation.request_every(100, 0, 30_000);
    assert!(
        simulation.outcome.refused > 0,
        "the overload caused no refusal"
    );
    let refused = simulation.outcome.refused;

    simulation.request_every(500, 33_000, 60_000);

    assert_eq!(simulation.finish().refused, refused);
}

#[test]
fn a_prompt_that_takes_long_to_read_is_not_refused_while_nothing_waits() {
    let fleet = fleet(1, 1);
    let request = TestRequest::default();
    let mut times = RunTimes::default();
    times.record_prompt(&name("engines"), 8000, Some(8000), Duration::from_secs(9));

    for second in 0..60 {
        let now = at(second * 1000);
        let mut standing = StandingQueues::default();
        let estimate = fleet.estimate_start(
            now,
            &request.requirements(),
            &times,
            &mut standing,
            OBJECTIVE,
        );

        assert_eq!(estimate, StartEstimate::InTime);
    }
}

/// Creates a fleet of one zone, and run times with a mean reading time of [`READING_TIME`] per
/// prompt.
fn measured_fleet(engines: usize) -> (Fleet, RunTimes) {
    let mut times = RunTimes::default();
    times.record_prompt(
        &name("engines"),
        DEMAND.prompt,
        Some(DEMAND.prompt),
        READING_TIME,
    );
    (fleet(1, engines), times)
}

fn estimate(fleet: &Fleet, times: &RunTimes, objective: Duration) -> StartEstimate {
    let mut standing = StandingQueues::default();
    fleet.estimate_start(
        at(0),
        &TestRequest::default().requirements(),
        times,
        &mut standing,
        objective,
    )
}

#[test]
fn a_request_is_accepted_as_long_as_one_target_is_free() {
    let (mut fleet, times) = measured_fleet(2);
    for _ in 0..5 {
        fleet.record_send(at(0), &engine(0, 0), DEMAND);
    }

    let estimate = estimate(&fleet, &times, OBJECTIVE);

    assert_eq!(estimate, StartEstimate::InTime);
}

/// Guards against refusals on a route without a latency objective when its target has a queue.
#[test]
fn nothing_is_refused_without_a_latency_objective() {
    let (mut fleet, times) = measured_fleet(1);
    fleet.record_send(at(0), &engine(0, 0), DEMAND);

    let estimate = estimate(&fleet, &times, Duration::ZERO);

    assert_eq!(estimate, StartEstimate::InTime);
}

/// Guards against an estimate from unread tokens alone: the memory is full of runs whose prompts
/// have been read, so no token is unread but no request can start.
#[test]
fn memory_that_must_be_freed_first_delays_the_start() {
    let (mut fleet, mut times) = measured_fleet(1);
    times.record_run(&name("engines"), Duration::from_secs(10), 140);
    for _ in 0..18 {
        fleet.record_send(at(0), &engine(0, 0), DEMAND);
        fleet.record_start(at(0), &engine(0, 0), DEMAND);
    }

    let estimate = estimate(&fleet, &times, OBJECTIVE);

    // 19 requests need 171,000 tokens of memory and the engine has 88,000, which are all freed
    // within ten seconds.
    let StartEstimate::Late { after, .. } = estimate else {
        panic!("{estimate:?}")
    };
    assert!(after >= Duration::from_secs(9), "{after:?}");
}
