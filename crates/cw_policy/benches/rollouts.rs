//! Measures what a roll-out in progress adds to the choice of a target, and prints the results as JSON.
//!
//! Run with `cargo bench -p cw_policy --bench rollouts`. Rounds with and without a roll-out alternate.

use std::collections::BTreeSet;
use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use cw_policy::forward::Demand;
use cw_policy::forward::Fleet;
use cw_policy::forward::FleetLimits;
use cw_policy::forward::Listing;
use cw_policy::forward::Precedence;
use cw_policy::forward::Requirements;
use cw_policy::rollout::ExposureLimits;
use cw_policy::rollout::RolloutInputs;
use cw_policy::rollout::RolloutOrder;
use cw_policy::rollout::RolloutStep;
use cw_policy::rollout::Rollouts;
use cw_types::ServiceName;
use cw_types::Time;
use cw_types::ZoneId;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;

/// The number of targets, half of them of each version.
const TARGETS: u32 = 660;

/// The number of pairs of rounds, and of choices in a round.
const ROUNDS: usize = 60;
const CHOICES: u32 = 200;

fn fleet(service: &ServiceName) -> Fleet {
    let mut fleet = Fleet::new(FleetLimits::default());
    for number in 0..TARGETS {
        let version = format!("v{}", 1 + number % 2);
        let listing = Listing {
            id: (format!("i-{number:010x}").parse()).expect("a valid name"),
            service: service.clone(),
            address: ([127, 0, 0, 1], 80).into(),
            zone: "zone".parse().expect("a valid name"),
            slots: 16,
            version: version.parse().expect("a valid version"),
            leaving: false,
            started: Some(1),
        };
        fleet.record_listing(Time::default(), listing);
    }
    fleet
}

fn in_progress(service: &ServiceName) -> Rollouts {
    let mut rollouts = Rollouts::new(ExposureLimits::default());
    let order = RolloutOrder {
        service: service.clone(),
        target: "v2".parse().expect("a valid name"),
        duration: Duration::from_secs(60),
        revision: 1,
    };
    rollouts.record_order(Time::default(), order, None);
    let inputs = RolloutInputs {
        active_new: 1,
        active_old: 1,
        store_reachable: true,
        is_decider: true,
        ..RolloutInputs::default()
    };
    if let RolloutStep::Write(mut state) = rollouts.decide(Time::default(), service, &inputs) {
        state.share_permille = 100;
        rollouts.receive_state(Time::default(), &state);
    }
    rollouts
}

fn round(fleet: &Fleet, rollouts: &Rollouts, service: &ServiceName, seed: u64) -> Duration {
    let now = Time::default();
    let mut rng = SmallRng::seed_from_u64(seed);
    let zone: ZoneId = "zone".parse().expect("a valid name");
    let excluded = BTreeSet::new();
    let start = Instant::now();
    for _ in 0..CHOICES {
        let draw = rng.random_range(0.0..1.0);
        let choice = rollouts.choose_side(now, service, draw);
        let requirements = Requirements {
            service,
            memory: Some(1_000_000),
            demand: Demand {
                prompt: 1000,
                output: 200,
            },
            zone: &zone,
            excluded: &excluded,
            wants_copy: true,
            software: None,
            filter: rollouts.filter(service, choice),
            reader: None,
            peers_known: true,
            objective: Duration::from_secs(4),
            precedence: Precedence::default(),
        };
        black_box(fleet.place(now, &requirements, &mut rng));
    }
    start.elapsed() / CHOICES
}

fn median(mut times: Vec<Duration>) -> f64 {
    times.sort();
    times[times.len() / 2].as_secs_f64() * 1e6
}

fn main() {
    let service: ServiceName = "engines".parse().expect("a valid name");
    let fleet = fleet(&service);
    let none = Rollouts::default();
    let rollouts = in_progress(&service);
    let mut times = (Vec::new(), Vec::new());
    for seed in 0..ROUNDS as u64 {
        times.0.push(round(&fleet, &none, &service, seed));
        times.1.push(round(&fleet, &rollouts, &service, seed));
    }
    let (without, with) = (median(times.0), median(times.1));
    println!(
        "{}",
        json!({ "rollouts": {
            "targets": TARGETS,
            "place_us": without,
            "place_in_rollout_us": with,
            "ratio": with / without,
        }})
    );
}
