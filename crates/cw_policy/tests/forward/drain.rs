//! Tests that no request reaches a target later than the time to drain after the directory has acknowledged that it is
//! leaving.

use std::time::Duration;

use cw_policy::forward::DrainLimits;
use cw_policy::forward::Fleet;
use cw_policy::forward::FleetLimits;
use cw_policy::forward::Freshness;
use cw_policy::forward::FreshnessStep;
use cw_policy::forward::Listing;
use cw_policy::forward::Placement;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use crate::fixtures::at;
use crate::fixtures::engine;
use crate::fixtures::listing;

/// The lifetime of a record on the users' platform, three heartbeats.
const RECORD_TTL: Duration = Duration::from_millis(3600);

/// The number of targets at the start. Most of them leave.
const TARGETS: usize = 60;

/// The length of a step, in milliseconds.
const STEP: u64 = 10;

/// The oldest word of an entry that watches the directory in a sound deployment, in milliseconds.
const WORD_AGE: u64 = 1200;

/// The longest time between the choice of a target and the last look at it, in milliseconds: two connections and two
/// questions of what it is.
const CONNECT_TIME: u64 = 1000;

#[rstest]
fn the_steps_until_the_last_request_add_up_to_less_than_the_time_to_drain(
    #[values(500, 1000, 2000, 3000, 4000)] bound: u64,
) {
    let bound = Duration::from_millis(bound);
    let limits = DrainLimits::within(bound, RECORD_TTL);

    let steps = limits.knowledge.in_force_time() + limits.transfer;

    assert_eq!(limits.last_send_time(), steps);
    assert!(steps <= bound);
    // Else the age of the knowledge could hide an outage in which records expire.
    assert!(limits.knowledge.in_force_time() <= RECORD_TTL / 2);
    // A watching entry in a sound deployment is never taken for one that is too old.
    let is_usual = bound >= Duration::from_millis(2000);
    assert!(!is_usual || limits.knowledge.max_age > Duration::from_millis(WORD_AGE));
}

/// A change of a target, and when the directory acknowledged it.
struct Departure {
    acked: u64,
    /// The record that says so, `None` if the target never says that it is leaving, so that its record is removed.
    record: Option<Listing>,
    number: usize,
}

/// A request on its way from the choice of its target to the last look at it.
struct Request {
    looks_at: u64,
    placement: Placement,
}

/// An entry, the directory, and targets that leave one after the other.
struct Simulation {
    rng: SmallRng,
    limits: DrainLimits,
    fleet: Fleet,
    freshness: Freshness,
    departures: Vec<Departure>,
    /// The number of departures that the entry knows of.
    known: usize,
    /// When the check in progress was sent, and when its answer comes.
    check: Option<(u64, u64)>,
    /// No entry that watches the directory is heard until this time.
    silent_until: u64,
    requests: Vec<Request>,
    /// The longest time from an acknowledgement until a request reached its target.
    longest: u64,
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap()
}

impl Simulation {
    fn new(seed: u64, bound: Duration) -> Self {
        let limits = DrainLimits::within(bound, RECORD_TTL);
        let mut fleet = Fleet::new(FleetLimits {
            record_ttl: RECORD_TTL,
            ..FleetLimits::default()
        });
        fleet.record_directory_answer(at(0));
        fleet.record_directory_told(at(0), true);
        for number in 0..TARGETS {
            fleet.record_listing(at(0), listing(0, number));
        }
        Self {
            rng: SmallRng::seed_from_u64(seed),
            limits,
            fleet,
            freshness: Freshness::new(limits.knowledge),
            departures: Vec::new(),
            known: 0,
            check: None,
            silent_until: 0,
            requests: Vec::new(),
            longest: 0,
        }
    }

    fn play(&mut self, duration: u64) {
        for now in (0..duration).step_by(usize::try_from(STEP).unwrap()) {
            if self.departures.len() + 1 < TARGETS && self.rng.random_bool(0.02) {
                let number = self.departures.len();
                let says_so = self.rng.random_bool(0.5);
                self.departures.push(Departure {
                    acked: now,
                    record: says_so.then(|| Listing {
                        leaving: true,
                        ..listing(0, number)
                    }),
                    number,
                });
            }
            self.hear(now);
            self.check(now);
            self.serve(now);
        }
    }

    /// Receives the word of an entry that watches the directory. These fall silent now and then.
    fn hear(&mut self, now: u64) {
        if self.rng.random_bool(0.005) {
            self.silent_until = now + self.rng.random_range(500..6000);
        }
        if now < self.silent_until || !self.rng.random_bool(0.1) {
            return;
        }
        let as_of = now.saturating_sub(self.rng.random_range(0..WORD_AGE));
        let trusted = self.rng.random_bool(0.5);
        self.fleet.record_directory_told(at(as_of), trusted);
        self.learn(now, as_of);
        self.freshness.confirm_told(at(as_of));
    }

    /// Asks the directory when the knowledge is too old. Other calls fail now and then.
    fn check(&mut self, now: u64) {
        if self.rng.random_bool(0.01) {
            self.fleet.record_directory_failure();
        }
        let late = millis(self.limits.knowledge.reserve);
        let is_due = self.freshness.next_step(at(now), false) == FreshnessStep::Check;
        if is_due && self.check.is_none() {
            let timeout = millis(self.freshness.check_timeout());
            let time = self.rng.random_range(STEP..=timeout - STEP);
            // A busy processor runs the task late, or the answer is read late.
            let late = self.rng.random_range(0..late - STEP);
            self.check = Some((now, now + time + late));
        }
        if let Some((sent, ends)) = self.check.filter(|(_, ends)| *ends <= now) {
            self.check = None;
            self.fleet.record_directory_answer(at(ends));
            self.learn(now, sent);
            self.freshness.confirm(at(sent));
        }
    }

    /// Learns what the directory had acknowledged at a time.
    fn learn(&mut self, now: u64, as_of: u64) {
        let news = self.departures[self.known..].iter();
        let news: Vec<_> = news.take_while(|change| change.acked < as_of).collect();
        for change in &news {
            match &change.record {
                Some(record) => self.fleet.record_listing(at(now), record.clone()),
                None => (self.fleet).record_removal(at(now), &engine(0, change.number)),
            };
        }
        self.known += news.len();
        self.fleet.expire(at(now));
    }

    /// Chooses the oldest usable target, and sends the requests whose connections are there.
    fn serve(&mut self, now: u64) {
        let ids = (0..TARGETS).map(|number| engine(0, number));
        let oldest = ids.into_iter().find(|id| self.fleet.is_usable(at(now), id));
        if let Some(placement) = oldest.and_then(|id| self.fleet.placement(id, None)) {
            let looks_at = now + self.rng.random_range(0..CONNECT_TIME);
            self.requests.push(Request {
                looks_at,
                placement,
            });
        }
        let (ready, waiting) = std::mem::take(&mut self.requests)
            .into_iter()
            .partition(|request| request.looks_at <= now);
        self.requests = waiting;
        let transfer = millis(self.limits.transfer);
        for Request { placement, .. } in ready {
            if !self.fleet.is_still_open(&placement) {
                continue;
            }
            let arrives = now + self.rng.random_range(0..transfer);
            let mut departures = self.departures.iter();
            let left = departures.find(|change| engine(0, change.number) == placement.target);
            let late = left.map_or(0, |change| arrives.saturating_sub(change.acked));
            self.longest = self.longest.max(late);
        }
    }
}

/// Guards against requests that reach a target after its time to drain: the knowledge of targets took all of that time, the way
/// from the choice to the send came on top, and so did a grace for outages that there were none of.
///
/// `CW_DRAIN_SEED` and `CW_DRAIN_COUNT` choose other seeds.
#[rstest]
fn no_request_reaches_a_target_after_its_time_to_drain(#[values(2000, 4000)] bound: u64) {
    let number = |name: &str, default: u64| {
        let value = std::env::var(name).ok();
        value.map_or(default, |value| value.parse().expect("a number"))
    };
    let first = number("CW_DRAIN_SEED", 1);
    let mut longest = 0;
    for seed in first..first + number("CW_DRAIN_COUNT", 40) {
        let mut simulation = Simulation::new(seed, Duration::from_millis(bound));

        simulation.play(20_000);

        longest = longest.max(simulation.longest);
        assert!(longest <= bound, "seed {seed}: {longest} ms");
    }

    println!("the last request after {longest} ms of {bound} ms");
    assert!(longest > WORD_AGE, "the histories hold late requests");
}
