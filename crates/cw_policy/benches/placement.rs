//! Measures the choice of a target, and prints the results as JSON.
//!
//! Run with `cargo bench -p cw_policy --bench placement`. Before the choices, all targets have answered and one
//! in ten has restarted.

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
use cw_policy::forward::SoftwareFilter;
use cw_types::HostId;
use cw_types::TargetId;
use cw_types::Time;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;

/// The measured numbers of targets.
const TARGETS: [u32; 2] = [110, 660];

/// The number of other entries.
const ENTRIES: u32 = 30;

/// The number of timed series, of which the fastest counts.
const SERIES: u32 = 20;

/// The number of choices in a series.
const CHOICES: u32 = 200;

/// A typical prompt.
const DEMAND: Demand = Demand {
    prompt: 8000,
    output: 1000,
};

fn target(number: u32) -> TargetId {
    format!("i-{number:010x}").parse().expect("a valid name")
}

fn listing(number: u32, started: u64) -> Listing {
    Listing {
        id: target(number),
        service: "engines".parse().expect("a valid name"),
        address: ([127, 0, 0, 1], 80).into(),
        zone: format!("zone-{}", number % 3).parse().expect("a name"),
        slots: 16,
        version: "v1".parse().expect("a valid version"),
        leaving: false,
        started: Some(started),
    }
}

fn fleet(targets: u32) -> Fleet {
    let mut fleet = Fleet::new(FleetLimits::default());
    let hosts = (1..ENTRIES).map(|n| format!("edge-{n}").parse().expect("a name"));
    let own: HostId = "edge-0".parse().expect("a valid name");
    fleet.set_entries(&own, hosts);
    for number in 0..targets {
        fleet.record_listing(Time::default(), listing(number, 1));
        fleet.record_response(Time::default(), &target(number));
    }
    for number in (0..targets).step_by(10) {
        let now = Time::default() + Duration::from_secs(60);
        fleet.record_listing(now, listing(number, 2));
    }
    fleet
}

fn main() {
    let mut rows = Vec::new();
    for targets in TARGETS {
        let service = "engines".parse().expect("a valid name");
        let zone = "zone-0".parse().expect("a valid name");
        let requirements = Requirements {
            service: &service,
            memory: Some(88_000),
            demand: DEMAND,
            zone: &zone,
            excluded: &BTreeSet::new(),
            wants_copy: true,
            software: None,
            filter: SoftwareFilter::Any,
            reader: None,
            peers_known: true,
            objective: Duration::from_secs(4),
            precedence: Precedence::default(),
        };
        let now = Time::default() + Duration::from_secs(61);
        let mut best = Duration::MAX;
        for series in 0..SERIES {
            let mut fleet = fleet(targets);
            let mut rng = SmallRng::seed_from_u64(u64::from(series));
            let start = Instant::now();
            for _ in 0..CHOICES {
                let placed = fleet.place(now, &requirements, &mut rng);
                let placed = black_box(placed).expect("a target");
                fleet.record_send(now, &placed.target, DEMAND);
            }
            best = best.min(start.elapsed());
        }
        rows.push(json!({
            "targets": targets,
            "place_us": best.as_secs_f64() * 1e6 / f64::from(CHOICES),
        }));
    }
    println!("{}", json!({ "placement": rows }));
}
