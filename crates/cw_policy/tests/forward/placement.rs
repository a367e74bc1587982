//! Tests of placement under the load and the losses that it is designed for.

use std::collections::BTreeMap;

use cw_policy::forward::Demand;
use cw_policy::forward::Fault;
use cw_policy::forward::Fleet;
use cw_policy::forward::Requirements;
use cw_types::HostId;
use cw_types::Incarnation;
use cw_types::TargetId;
use cw_wire::TargetHash;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::fixtures::DEMAND;
use crate::fixtures::TestRequest;
use crate::fixtures::at;
use crate::fixtures::engine;
use crate::fixtures::fleet;
use crate::fixtures::name;

fn zone_of(id: &TargetId) -> &str {
    id.as_str().split('-').next().unwrap()
}

/// Guards against long prompts that queue at a few engines when a burst of them arrives at once.
#[test]
fn a_burst_of_prompts_is_spread_before_any_target_gets_a_second() {
    let mut fleet = fleet(3, 12);
    let mut rng = SmallRng::seed_from_u64(1);
    let request = TestRequest::default();
    let mut counts: BTreeMap<TargetId, u32> = BTreeMap::new();

    for _ in 0..36 {
        let placed = fleet
            .place(at(1000), &request.requirements(), &mut rng)
            .unwrap();
        fleet.record_send(at(1000), &placed.target, DEMAND);
        *counts.entry(placed.target).or_default() += 1;
    }

    assert_eq!(counts.len(), 36, "each engine reads one prompt: {counts:?}");
}

/// Guards against entries that choose the same target: several entries place requests within the
/// same milliseconds, without messages of each other.
#[test]
fn entries_that_place_requests_at_once_choose_different_targets() {
    let hosts: Vec<HostId> = (0..4).map(|n| name(&format!("entry-{n}"))).collect();
    let mut rng = SmallRng::seed_from_u64(2);
    let request = TestRequest::default();
    let mut collisions = 0;

    for _ in 0..200 {
        let mut chosen: BTreeMap<TargetId, u32> = BTreeMap::new();
        for own in &hosts {
            let mut fleet = fleet(3, 12);
            let others = hosts.iter().filter(|host| *host != own).cloned();
            fleet.set_entries(own, others);
            let placed = fleet
                .place(at(1000), &request.requirements(), &mut rng)
                .unwrap();
            *chosen.entry(placed.target).or_default() += 1;
        }
        collisions += chosen.values().filter(|count| **count > 1).count();
    }

    assert_eq!(collisions, 0, "of 200 rounds");
}

/// Guards against requests and copies at engines that are lost but still listed: most engines of
/// one availability zone crash at the same moment, and their connections are reset.
#[test]
fn after_the_loss_of_a_zone_no_copy_is_kept_there() {
    let mut fleet = fleet(3, 12);
    let mut rng = SmallRng::seed_from_u64(3);
    let request = TestRequest::default();
    for number in 0..4 {
        fleet.record_failure(
            at(10_000),
            &engine(1, number),
            Incarnation(1),
            Fault::Broken,
        );
    }

    for _ in 0..100 {
        let placed = fleet
            .place(at(10_010), &request.requirements(), &mut rng)
            .unwrap();

        assert_ne!(
            zone_of(&placed.target),
            "e1",
            "the engine was lost with its zone"
        );
        let keeper = placed.keeper.expect("two zones are left");
        assert_ne!(zone_of(&keeper), "e1");
    }
}

#[test]
fn a_copy_is_kept_in_another_zone() {
    let fleet = fleet(3, 4);
    let mut rng = SmallRng::seed_from_u64(4);
    let request = TestRequest::default();

    for _ in 0..100 {
        let placed = fleet
            .place(at(0), &request.requirements(), &mut rng)
            .unwrap();
        let keeper = placed.keeper.expect("there is memory");

        assert_ne!(zone_of(&keeper), zone_of(&placed.target));
    }
}

#[test]
fn a_copy_needs_free_memory() {
    let mut fleet = fleet(2, 1);
    let mut rng = SmallRng::seed_from_u64(5);
    let request = TestRequest::default();
    let large = Demand {
        prompt: 80_000,
        output: 0,
    };
    fleet.record_send(at(1000), &engine(1, 0), large);

    let placed = fleet
        .place(at(0), &request.requirements(), &mut rng)
        .unwrap();

    assert_eq!(placed.target, engine(0, 0));
    assert_eq!(placed.keeper, None);
}

/// Guards against a second read of the same prompts: all entries crash, and callers reconnect with
/// the id of their last event.
#[test]
fn a_prompt_is_sent_to_the_target_that_read_it() {
    let mut fleet = fleet(3, 12);
    let mut rng = SmallRng::seed_from_u64(6);
    let request = TestRequest::default();
    let reader = engine(2, 7);
    fleet.record_send(at(1000), &reader, DEMAND);
    fleet.record_start(at(900), &reader, DEMAND);
    let requirements = Requirements {
        reader: Some(TargetHash::of_incarnation(&reader, Incarnation(1))),
        ..request.requirements()
    };

    for _ in 0..100 {
        let placed = fleet.place(at(1000), &requirements, &mut rng).unwrap();

        assert_eq!(placed.target, reader);
    }
}

/// Guards against placing the usual share of requests at an engine that rejects or fails part of
/// them although its health check succeeds.
#[test]
fn a_failing_target_gets_fewer_requests_until_it_has_recovered() {
    let mut fleet = fleet(1, 4);
    let mut rng = SmallRng::seed_from_u64(7);
    let request = TestRequest::default();
    let share = |fleet: &Fleet, now: u64, rng: &mut SmallRng| {
        (0..400)
            .filter(|_| {
                fleet
                    .place(at(now), &request.requirements(), rng)
                    .unwrap()
                    .target
                    == engine(0, 0)
            })
            .count()
    };
    for _ in 0..4 {
        fleet.record_failure(at(1000), &engine(0, 0), Incarnation(1), Fault::Failed);
    }

    let soon = share(&fleet, 1100, &mut rng);
    let later = share(&fleet, 30_000, &mut rng);

    assert_eq!(soon, 0);
    assert!(later > 40, "{later} of 400");
}

#[test]
fn targets_in_backoff_are_used_when_there_is_no_other() {
    let mut fleet = fleet(1, 2);
    let mut rng = SmallRng::seed_from_u64(8);
    let request = TestRequest::default();
    for number in 0..2 {
        fleet.record_failure(
            at(0),
            &engine(0, number),
            Incarnation(1),
            Fault::Unreachable,
        );
    }

    assert!(
        fleet
            .place(at(10), &request.requirements(), &mut rng)
            .is_some()
    );
}

#[test]
fn a_service_without_targets_places_nothing() {
    let fleet = fleet(1, 2);
    let mut rng = SmallRng::seed_from_u64(9);
    let request = TestRequest {
        service: name("others"),
        ..TestRequest::default()
    };

    assert_eq!(fleet.place(at(10), &request.requirements(), &mut rng), None);
}

/// Guards against a second read of the same prompts: the connections of an entry to engines and
/// callers are reset while the engines stay up, and the callers reconnect at once.
#[test]
fn a_prompt_is_sent_to_the_target_that_read_it_although_its_connection_broke() {
    let mut fleet = fleet(3, 12);
    let mut rng = SmallRng::seed_from_u64(10);
    let request = TestRequest::default();
    for number in 0..6 {
        fleet.record_failure(at(1000), &engine(2, number), Incarnation(1), Fault::Broken);
    }
    let requirements = Requirements {
        reader: Some(TargetHash::of_incarnation(&engine(2, 3), Incarnation(1))),
        ..request.requirements()
    };

    let placed = fleet.place(at(1010), &requirements, &mut rng).unwrap();

    assert_eq!(placed.target, engine(2, 3));
}
