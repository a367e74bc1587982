//! Who waits and who is refused, when prompts come faster than targets read them.

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
use crate::fixtures::Wish;
use crate::fixtures::at;
use crate::fixtures::engine;
use crate::fixtures::fleet;
use crate::fixtures::name;

/// The time in which an engine reads one prompt.
const READING: Duration = Duration::from_millis(1000);

/// The time to the first event that is aimed for.
const OBJECTIVE: Duration = Duration::from_millis(4500);

/// How long after its arrival each request began, and how many were refused.
#[derive(Debug, Default)]
struct Day {
    begun: Vec<Duration>,
    refused: usize,
}

impl Day {
    fn in_time(&self) -> usize {
        self.begun.iter().filter(|time| **time <= OBJECTIVE).count()
    }
}

/// A prompt that waits, or is being read.
struct Waiting {
    came: Time,
    /// When it will have been read.
    read: Time,
    /// The tokens that were to be read when it came, its own among them.
    ahead: u64,
}

/// Four engines that read one prompt after the other, and the entry before them.
struct Engines {
    fleet: Fleet,
    pace: RunTimes,
    crowd: StandingQueues,
    rng: SmallRng,
    /// The prompts that each one has yet to read.
    queues: BTreeMap<TargetId, VecDeque<Waiting>>,
    day: Day,
    admits: bool,
}

impl Engines {
    fn new(admits: bool) -> Self {
        let (_, pace) = known(0);
        Self {
            fleet: fleet(2, 2),
            pace,
            crowd: StandingQueues::default(),
            rng: SmallRng::seed_from_u64(3),
            queues: BTreeMap::new(),
            day: Day::default(),
            admits,
        }
    }

    /// Lets the engines read until now.
    fn read(&mut self, now: Time) {
        for (id, queue) in &mut self.queues {
            while let Some(done) = queue.pop_front_if(|prompt| prompt.read <= now) {
                self.fleet.began(done.read, id, DEMAND);
                self.fleet.ended(done.read, id, DEMAND, true);
                let time = done.read.since(done.came);
                let ahead = Some(done.ahead);
                self.pace
                    .record_prompt(&name("engines"), DEMAND.prompt, ahead, time);
                self.day.begun.push(time);
            }
        }
    }

    /// A request comes.
    fn ask(&mut self, now: Time) {
        self.read(now);
        let wish = Wish::default();
        let need = wish.need();
        let placed = self.fleet.place(now, &need, &mut self.rng).unwrap();
        let outlook = self
            .fleet
            .estimate_start(now, &need, &self.pace, &mut self.crowd, OBJECTIVE);
        let target = match outlook {
            StartEstimate::Late { .. } if self.admits => {
                self.day.refused += 1;
                return;
            }
            StartEstimate::InTime | StartEstimate::Late { .. } => placed.target,
        };
        let ahead = self.fleet.backlog(now, &target, &need, &self.pace).unread;
        self.fleet.sent(now, &target, DEMAND);
        let queue = self.queues.entry(target).or_default();
        let free = queue.back().map_or(now, |last| last.read.max(now));
        queue.push_back(Waiting {
            came: now,
            read: free + READING,
            ahead,
        });
    }

    /// Requests come so many milliseconds after each other.
    fn ask_every(&mut self, gap: u64, from: u64, to: u64) {
        for now in (from..to).step_by(usize::try_from(gap).unwrap()) {
            self.ask(at(now));
        }
    }

    fn end(mut self) -> Day {
        self.read(at(1_000_000));
        self.day
    }
}

/// Pattern: half as many prompts again as the engines can read, for a minute.
#[test]
fn lasting_overload_is_refused_and_the_rest_begins_in_time() {
    let mut engines = Engines::new(true);

    engines.ask_every(166, 0, 60_000);

    let day = engines.end();
    // Four prompts a second can be read; nine in ten of them should be worth it.
    assert!(day.in_time() >= 216, "{} in time", day.in_time());
    assert_eq!(
        day.in_time(),
        day.begun.len(),
        "none that was taken is late"
    );
    assert!(day.refused <= 361 - 216, "{} refused", day.refused);
}

/// The same without a word on the outlook: the queue grows, and what is read is late.
#[test]
fn lasting_overload_makes_everybody_late_where_none_is_refused() {
    let mut engines = Engines::new(false);

    engines.ask_every(166, 0, 60_000);

    let day = engines.end();
    assert!(
        day.in_time() < day.begun.len() / 2,
        "{} in time",
        day.in_time()
    );
}

/// Pattern: 1.7 times the usual for three seconds, which is seven tenths of what can be read.
#[test]
fn a_burst_waits_and_none_is_refused() {
    let mut engines = Engines::new(true);

    engines.ask_every(357, 0, 10_000);
    engines.ask_every(210, 10_000, 13_000);
    engines.ask_every(357, 13_000, 30_000);

    let day = engines.end();
    assert_eq!(day.refused, 0);
    assert_eq!(day.in_time(), day.begun.len());
}

/// Pattern: a queue that stood has been worked off.
#[test]
fn requests_are_taken_again_as_soon_as_the_load_falls() {
    let mut engines = Engines::new(true);
    engines.ask_every(100, 0, 30_000);
    assert!(engines.day.refused > 0, "the load was too high");
    let refused = engines.day.refused;

    engines.ask_every(500, 33_000, 60_000);

    assert_eq!(engines.end().refused, refused);
}

#[test]
fn a_prompt_that_is_long_to_read_is_not_refused_while_nothing_waits() {
    let fleet = fleet(1, 1);
    let wish = Wish::default();
    let mut pace = RunTimes::default();
    pace.record_prompt(&name("engines"), 8000, Some(8000), Duration::from_secs(9));

    for second in 0..60 {
        let now = at(second * 1000);
        let mut crowd = StandingQueues::default();
        let outlook = fleet.estimate_start(now, &wish.need(), &pace, &mut crowd, OBJECTIVE);

        assert_eq!(outlook, StartEstimate::InTime);
    }
}

/// A fleet of one zone whose engines read a prompt in [`READING`].
fn known(engines: usize) -> (Fleet, RunTimes) {
    let mut pace = RunTimes::default();
    pace.record_prompt(
        &name("engines"),
        DEMAND.prompt,
        Some(DEMAND.prompt),
        READING,
    );
    (fleet(1, engines), pace)
}

fn outlook(fleet: &Fleet, pace: &RunTimes, objective: Duration) -> StartEstimate {
    let mut crowd = StandingQueues::default();
    fleet.estimate_start(at(0), &Wish::default().need(), pace, &mut crowd, objective)
}

#[test]
fn a_request_is_taken_as_long_as_one_target_is_free() {
    let (mut fleet, pace) = known(2);
    for _ in 0..5 {
        fleet.sent(at(0), &engine(0, 0), DEMAND);
    }

    let outlook = outlook(&fleet, &pace, OBJECTIVE);

    assert_eq!(outlook, StartEstimate::InTime);
}

/// Pattern: a route that aims for nothing, and a queue.
#[test]
fn nothing_is_refused_for_want_of_time_where_no_time_is_aimed_for() {
    let (mut fleet, pace) = known(1);
    fleet.sent(at(0), &engine(0, 0), DEMAND);

    let outlook = outlook(&fleet, &pace, Duration::ZERO);

    assert_eq!(outlook, StartEstimate::InTime);
}

/// Pattern: memory is full of runs that have been read, so nothing is unread but nobody can begin.
#[test]
fn memory_that_must_be_freed_first_counts() {
    let (mut fleet, mut pace) = known(1);
    pace.record_run(&name("engines"), Duration::from_secs(10));
    for _ in 0..18 {
        fleet.sent(at(0), &engine(0, 0), DEMAND);
        fleet.began(at(0), &engine(0, 0), DEMAND);
    }

    let outlook = outlook(&fleet, &pace, OBJECTIVE);

    // 19 requests need 171,000 tokens, the memory has 88,000, and is free again in ten seconds.
    let StartEstimate::Late { after, .. } = outlook else {
        panic!("{outlook:?}")
    };
    assert!(after >= Duration::from_secs(9), "{after:?}");
}
