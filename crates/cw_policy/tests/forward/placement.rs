//! Where requests go, under the loads and losses that the design is for.

use std::collections::BTreeMap;

use cw_policy::forward::Demand;
use cw_policy::forward::Fault;
use cw_policy::forward::Fleet;
use cw_policy::forward::Need;
use cw_types::HostId;
use cw_types::TargetId;
use cw_wire::TargetHash;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::fixtures::DEMAND;
use crate::fixtures::Wish;
use crate::fixtures::at;
use crate::fixtures::engine;
use crate::fixtures::fleet;
use crate::fixtures::name;

fn zone_of(id: &TargetId) -> &str {
    id.as_str().split('-').next().unwrap()
}

/// Pattern: a burst of long prompts at once.
#[test]
fn a_burst_of_prompts_is_spread_before_any_target_gets_a_second() {
    let mut fleet = fleet(3, 12);
    let mut rng = SmallRng::seed_from_u64(1);
    let wish = Wish::default();
    let mut counts: BTreeMap<TargetId, u32> = BTreeMap::new();

    for _ in 0..36 {
        let placed = fleet.place(at(1000), &wish.need(), &mut rng).unwrap();
        fleet.sent(at(1000), &placed.target, DEMAND);
        *counts.entry(placed.target).or_default() += 1;
    }

    assert_eq!(counts.len(), 36, "each engine reads one prompt: {counts:?}");
}

/// Pattern: several entries choose within the same milliseconds, without word of each other.
#[test]
fn entries_that_choose_at_once_choose_differently() {
    let hosts: Vec<HostId> = (0..4).map(|n| name(&format!("entry-{n}"))).collect();
    let mut rng = SmallRng::seed_from_u64(2);
    let wish = Wish::default();
    let mut collisions = 0;

    for _ in 0..200 {
        let mut chosen: BTreeMap<TargetId, u32> = BTreeMap::new();
        for own in &hosts {
            let mut fleet = fleet(3, 12);
            let others = hosts.iter().filter(|host| *host != own).cloned();
            fleet.set_entries(own, others);
            let placed = fleet.place(at(1000), &wish.need(), &mut rng).unwrap();
            *chosen.entry(placed.target).or_default() += 1;
        }
        collisions += chosen.values().filter(|count| **count > 1).count();
    }

    assert_eq!(collisions, 0, "of 200 rounds");
}

/// Pattern: most engines of one availability zone crash at the same moment, by reset.
#[test]
fn after_the_loss_of_a_zone_no_copy_is_kept_there() {
    let mut fleet = fleet(3, 12);
    let mut rng = SmallRng::seed_from_u64(3);
    let wish = Wish::default();
    for number in 0..4 {
        fleet.failed(at(10_000), &engine(1, number), Fault::Broken);
    }

    for _ in 0..100 {
        let placed = fleet.place(at(10_010), &wish.need(), &mut rng).unwrap();

        assert_ne!(
            zone_of(&placed.target),
            "e1",
            "its engines are still listed"
        );
        let keeper = placed.copy.expect("two zones are left");
        assert_ne!(zone_of(&keeper), "e1");
    }
}

#[test]
fn a_copy_is_kept_in_another_zone() {
    let fleet = fleet(3, 4);
    let mut rng = SmallRng::seed_from_u64(4);
    let wish = Wish::default();

    for _ in 0..100 {
        let placed = fleet.place(at(0), &wish.need(), &mut rng).unwrap();
        let keeper = placed.copy.expect("there is memory");

        assert_ne!(zone_of(&keeper), zone_of(&placed.target));
    }
}

#[test]
fn a_copy_needs_free_memory() {
    let mut fleet = fleet(2, 1);
    let mut rng = SmallRng::seed_from_u64(5);
    let wish = Wish::default();
    let large = Demand {
        prompt: 80_000,
        output: 0,
    };
    fleet.sent(at(1000), &engine(1, 0), large);

    let placed = fleet.place(at(0), &wish.need(), &mut rng).unwrap();

    assert_eq!(placed.target, engine(0, 0));
    assert_eq!(placed.copy, None);
}

/// Pattern: all entries die; callers come back with the events that they have.
#[test]
fn a_prompt_goes_where_it_was_read() {
    let mut fleet = fleet(3, 12);
    let mut rng = SmallRng::seed_from_u64(6);
    let wish = Wish::default();
    let reader = engine(2, 7);
    fleet.sent(at(1000), &reader, DEMAND);
    fleet.began(at(900), &reader, DEMAND);
    let need = Need {
        read_at: Some(TargetHash::from(&reader)),
        ..wish.need()
    };

    for _ in 0..100 {
        let placed = fleet.place(at(1000), &need, &mut rng).unwrap();

        assert_eq!(placed.target, reader);
    }
}

/// Pattern: one engine refuses or fails part of its requests, its health check being good.
#[test]
fn a_target_that_fails_gets_less_until_it_has_recovered() {
    let mut fleet = fleet(1, 4);
    let mut rng = SmallRng::seed_from_u64(7);
    let wish = Wish::default();
    let share = |fleet: &Fleet, now: u64, rng: &mut SmallRng| {
        (0..400)
            .filter(|_| fleet.place(at(now), &wish.need(), rng).unwrap().target == engine(0, 0))
            .count()
    };
    for _ in 0..4 {
        fleet.failed(at(1000), &engine(0, 0), Fault::Failed);
    }

    let soon = share(&fleet, 1100, &mut rng);
    let later = share(&fleet, 30_000, &mut rng);

    assert_eq!(soon, 0);
    assert!(later > 40, "{later} of 400");
}

#[test]
fn targets_that_rest_are_taken_when_no_other_is_left() {
    let mut fleet = fleet(1, 2);
    let mut rng = SmallRng::seed_from_u64(8);
    let wish = Wish::default();
    for number in 0..2 {
        fleet.failed(at(0), &engine(0, number), Fault::Unreachable);
    }

    assert!(fleet.place(at(10), &wish.need(), &mut rng).is_some());
}

#[test]
fn a_service_without_targets_places_nothing() {
    let fleet = fleet(1, 2);
    let mut rng = SmallRng::seed_from_u64(9);
    let wish = Wish {
        service: name("others"),
        ..Wish::default()
    };

    assert_eq!(fleet.place(at(10), &wish.need(), &mut rng), None);
}

/// Pattern: the connections of entries are reset, those to engines and those of callers, who come
/// back at once; the engines live.
#[test]
fn a_prompt_goes_where_it_was_read_though_its_connection_broke() {
    let mut fleet = fleet(3, 12);
    let mut rng = SmallRng::seed_from_u64(10);
    let wish = Wish::default();
    for number in 0..6 {
        fleet.failed(at(1000), &engine(2, number), Fault::Broken);
    }
    let need = Need {
        read_at: Some(TargetHash::from(&engine(2, 3))),
        ..wish.need()
    };

    let placed = fleet.place(at(1010), &need, &mut rng).unwrap();

    assert_eq!(placed.target, engine(2, 3));
}
