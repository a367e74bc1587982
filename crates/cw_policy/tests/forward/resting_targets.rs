//! Tests of streams that wait for targets which have turned requests away and want none for a while.

use std::time::Duration;

use cw_policy::forward::Fleet;
use cw_policy::forward::Slot;
use cw_types::Incarnation;
use cw_types::TargetId;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use crate::fixtures::TestRequest;
use crate::fixtures::at;
use crate::fixtures::engine;
use crate::fixtures::fleet;

/// How long a target that has turned a request away wants none, in milliseconds.
const REST: u64 = 2_000;

/// The time from a send to a refusal, in milliseconds.
const REFUSAL_TIME: u64 = 4;

/// The time from a send to the beginning of an answer, in milliseconds.
const READ_TIME: u64 = 600;

/// How long the waits are played, in milliseconds.
const LENGTH: u64 = 20_000;

/// Streams whose engine has crashed, while two other targets are full.
#[derive(Clone, Copy, Debug)]
struct Load {
    seed: u64,
    streams: usize,
    /// The runs that end at each target, in a second.
    ends: f64,
}

/// A target, as it is.
#[derive(Clone, Debug, Default)]
struct Target {
    free: usize,
    /// When it turned requests away.
    refusals: Vec<u64>,
    runs: usize,
}

/// What reaches an entry, and when.
#[derive(Clone, Debug)]
enum Answer {
    Refusal(usize),
    Begin { target: usize, sent_at: u64 },
}

struct World {
    fleet: Fleet,
    targets: Vec<Target>,
    /// The streams that wait, with the slot that each has kept.
    waiting: Vec<Option<Slot>>,
    answers: Vec<(u64, Answer)>,
    /// The streams that a target has turned away, and that look for another one.
    turned_away: usize,
}

impl World {
    fn new(load: Load) -> Self {
        let mut world = Self {
            fleet: fleet(1, 2),
            targets: vec![Target::default(); 2],
            waiting: vec![None; load.streams],
            answers: Vec::new(),
            turned_away: 0,
        };
        for number in 0..2 {
            world.refuse(0, number);
        }
        world
    }

    fn refuse(&mut self, now: u64, number: usize) {
        let rest = Duration::from_millis(REST);
        let id = engine(0, number);
        (self.fleet).record_rest(at(now), &id, Incarnation(1), rest);
    }

    fn number(id: &TargetId) -> usize {
        usize::from(*id == engine(0, 1))
    }

    fn deliver(&mut self, now: u64) {
        let (due, later): (Vec<_>, Vec<_>) =
            self.answers.drain(..).partition(|(when, _)| *when <= now);
        self.answers = later;
        for (_, answer) in due {
            match answer {
                Answer::Refusal(number) => {
                    self.refuse(now, number);
                    self.waiting.push(None);
                }
                Answer::Begin { target, sent_at } => {
                    let id = engine(0, target);
                    self.fleet.record_run(&id, Incarnation(1), at(sent_at));
                }
            }
        }
    }

    /// Lets each stream that waits keep a slot, or use the one that it has kept.
    fn send(&mut self, now: u64) {
        let request = TestRequest::default();
        for stream in std::mem::take(&mut self.waiting) {
            let requirements = request.requirements();
            let kept = stream.filter(|slot| {
                let is_open = self.fleet.may_use_slot(at(now), &requirements, slot);
                if !is_open {
                    self.fleet.return_slot(slot);
                }
                is_open
            });
            let slot = kept.or_else(|| {
                let next = self.fleet.next_slot(at(now), &requirements)?;
                self.fleet.keep_slot(at(now), &next.target)
            });
            let due = slot.as_ref().filter(|slot| slot.at <= at(now));
            let Some(slot) = due else {
                self.waiting.push(slot);
                continue;
            };
            let number = Self::number(&slot.target);
            let target = &mut self.targets[number];
            if target.free > 0 {
                target.free -= 1;
                target.runs += 1;
                let begin = Answer::Begin {
                    target: number,
                    sent_at: now,
                };
                self.answers.push((now + READ_TIME, begin));
            } else {
                target.refusals.push(now);
                self.turned_away += 1;
                let refusal = Answer::Refusal(number);
                self.answers.push((now + REFUSAL_TIME, refusal));
            }
        }
    }
}

/// Guards against streams that wait for the end of a rest and are all sent at that moment, to targets with a few free slots: each
/// was turned away, and waited again.
#[rstest]
fn streams_that_wait_for_a_rest_are_not_sent_at_the_same_moment(
    #[values(1, 2, 3)] seed: u64,
    #[values(6, 20, 100)] streams: usize,
    #[values(0.5, 1.5, 6.0)] ends: f64,
) {
    let load = Load {
        seed,
        streams,
        ends,
    };
    let mut rng = SmallRng::seed_from_u64(load.seed);
    let mut world = World::new(load);

    for now in 1..LENGTH {
        for target in &mut world.targets {
            let is_end = rng.random_bool(load.ends / 1000.0);
            target.free = (target.free + usize::from(is_end)).min(64);
        }
        world.deliver(now);
        world.send(now);
    }

    // A few milliseconds pass until a refusal is known, and each ends the sends of its rest.
    let rests = LENGTH / REST;
    for target in &world.targets {
        let refusals = target.refusals.len();
        assert!(
            refusals as u64 <= rests,
            "{refusals} refusals in {rests} rests"
        );
        // A machine may send two requests to a target that wants none.
        for first in &target.refusals {
            let rest = first + 500..first + REST;
            let late = target.refusals.iter().filter(|at| rest.contains(at));
            assert!(late.count() <= 2, "{:?}", target.refusals);
        }
    }
    let served: usize = world.targets.iter().map(|target| target.runs).sum();
    let expected = (2.0 * load.ends * LENGTH as f64 / 1000.0 * 0.5) as usize;
    assert!(
        served >= expected.min(streams),
        "{served} of {streams} were served, {} times a target turned one away",
        world.turned_away
    );
}

/// Guards against a target that gets one request after the other for good, once it has wanted none for a while.
#[rstest]
fn a_target_that_runs_requests_again_takes_any_number() {
    let mut fleet = fleet(1, 1);
    let (id, incarnation) = (engine(0, 0), Incarnation(1));
    let rest = Duration::from_millis(REST);
    fleet.record_rest(at(0), &id, incarnation, rest);
    let first = fleet.keep_slot(at(REST), &id).unwrap();

    let before = fleet.has_slot(at(REST), &id);
    fleet.record_run(&id, incarnation, at(REST - 1));
    let after_old_run = fleet.has_slot(at(REST), &id);
    fleet.record_run(&id, incarnation, first.at);
    let after_run = fleet.has_slot(at(REST), &id);

    assert_eq!(first.at, at(REST));
    assert_eq!((before, after_old_run, after_run), (false, false, true));
}
