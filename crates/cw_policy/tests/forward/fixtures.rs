//! Shared fixtures.

use std::collections::BTreeSet;
use std::str::FromStr;
use std::time::Duration;

use cw_policy::forward::Demand;
use cw_policy::forward::ExchangePlan;
use cw_policy::forward::Fleet;
use cw_policy::forward::FleetLimits;
use cw_policy::forward::Listing;
use cw_policy::forward::Placement;
use cw_policy::forward::Precedence;
use cw_policy::forward::Repeat;
use cw_policy::forward::Requirements;
use cw_policy::forward::SoftwareFilter;
use cw_types::Incarnation;
use cw_types::ServiceName;
use cw_types::TargetId;
use cw_types::Time;
use cw_types::ZoneId;

/// A demand with a typical prompt and output.
pub(crate) const DEMAND: Demand = Demand {
    prompt: 8000,
    output: 1000,
};

/// The cache memory of one engine, in tokens.
pub(crate) const MEMORY: u64 = 88_000;

pub(crate) fn name<T: FromStr>(text: &str) -> T {
    text.parse().ok().expect("a name")
}

/// Returns the time `millis` milliseconds after the origin.
pub(crate) fn at(millis: u64) -> Time {
    Time::default() + Duration::from_millis(millis)
}

/// Returns the id of engine `number` in a zone.
pub(crate) fn engine(zone: usize, number: usize) -> TargetId {
    name(&format!("e{zone}-{number}"))
}

pub(crate) fn listing(zone: usize, number: usize) -> Listing {
    Listing {
        id: engine(zone, number),
        service: name("engines"),
        address: format!("127.0.{zone}.{number}:80").parse().unwrap(),
        zone: name(&format!("z{zone}")),
        slots: 12,
        version: "v1".parse().unwrap(),
        leaving: false,
        started: Some(1),
    }
}

/// Creates a fleet of `zones` zones with `engines` engines each, listed at the origin.
pub(crate) fn fleet(zones: usize, engines: usize) -> Fleet {
    let mut fleet = Fleet::new(FleetLimits::default());
    for zone in 0..zones {
        for number in 0..engines {
            fleet.record_listing(at(0), listing(zone, number));
        }
    }
    fleet
}

/// A request for placement, which owns the values that [`Requirements`] borrows.
pub(crate) struct TestRequest {
    pub(crate) service: ServiceName,
    pub(crate) zone: ZoneId,
    pub(crate) excluded: BTreeSet<TargetId>,
    pub(crate) demand: Demand,
    pub(crate) precedence: Precedence,
    pub(crate) objective: Duration,
}

impl Default for TestRequest {
    fn default() -> Self {
        Self {
            service: name("engines"),
            zone: name("z0"),
            excluded: BTreeSet::new(),
            demand: DEMAND,
            precedence: Precedence::default(),
            objective: Duration::from_millis(4500),
        }
    }
}

impl TestRequest {
    pub(crate) fn requirements(&self) -> Requirements<'_> {
        Requirements {
            service: &self.service,
            memory: Some(MEMORY),
            demand: self.demand,
            zone: &self.zone,
            excluded: &self.excluded,
            wants_copy: true,
            software: None,
            reader: None,
            filter: SoftwareFilter::Any,
            peers_known: true,
            precedence: self.precedence,
            objective: self.objective,
        }
    }
}

pub(crate) fn plan(repeat: Repeat) -> ExchangePlan {
    ExchangePlan {
        repeat,
        streaming: repeat == Repeat::Resume,
        attempts: 5,
        arrived: at(0),
        deadline: at(25_000),
        objective: Duration::from_millis(4500),
        max_pause: Some(Duration::from_millis(700)),
        precedence: Precedence::default(),
    }
}

pub(crate) fn placement(target: TargetId, keeper: Option<TargetId>) -> Placement {
    Placement {
        target,
        incarnation: Incarnation(1),
        software: listing(0, 0).software(),
        keeper,
    }
}
