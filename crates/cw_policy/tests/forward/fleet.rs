//! What is believed of the targets that the directory names.

use std::collections::BTreeSet;
use std::time::Duration;

use cw_policy::forward::Fault;
use cw_policy::forward::Listing;
use cw_policy::forward::Usability;

use crate::fixtures::at;
use crate::fixtures::engine;
use crate::fixtures::fleet;
use crate::fixtures::listing;

#[test]
fn an_entry_that_vanishes_is_gone() {
    let mut fleet = fleet(1, 2);

    let changed = fleet.removed(at(10_000), &engine(0, 0));

    assert!(changed);
    assert_eq!(
        fleet.usability(at(10_000), &engine(0, 0)),
        Usability::Unlisted
    );
}

/// Entries lapse while the directory is down, though their targets live.
#[test]
fn an_entry_that_lapses_while_the_directory_is_away_is_used_on() {
    let mut fleet = fleet(1, 2);
    fleet.directory_failed();
    fleet.directory_answered(at(10_000));

    fleet.removed(at(10_010), &engine(0, 0));

    assert!(fleet.is_usable(at(10_020), &engine(0, 0)));
    assert!(fleet.expire(at(11_000)).is_empty());
}

#[test]
fn an_entry_that_does_not_come_back_is_gone() {
    let mut fleet = fleet(1, 2);
    fleet.directory_failed();
    fleet.directory_answered(at(10_000));
    fleet.removed(at(10_010), &engine(0, 0));

    let gone = fleet.expire(at(12_100));

    assert_eq!(gone, vec![engine(0, 0)]);
}

#[test]
fn an_entry_that_comes_back_stays() {
    let mut fleet = fleet(1, 2);
    fleet.directory_failed();
    fleet.directory_answered(at(10_000));
    fleet.removed(at(10_010), &engine(0, 0));

    fleet.listed(at(11_000), listing(0, 0));

    assert!(fleet.expire(at(12_100)).is_empty());
    assert!(fleet.is_usable(at(12_100), &engine(0, 0)));
}

#[test]
fn nothing_is_dropped_while_the_directory_is_away() {
    let mut fleet = fleet(1, 2);
    fleet.directory_failed();
    fleet.removed(at(10_010), &engine(0, 0));

    assert!(fleet.expire(at(60_000)).is_empty());
}

#[test]
fn a_leaving_target_is_gone_at_once_when_its_entry_lapses() {
    let mut fleet = fleet(1, 2);
    fleet.listed(at(1), leaving());
    fleet.directory_failed();

    fleet.removed(at(10), &engine(0, 0));

    assert_eq!(fleet.usability(at(10), &engine(0, 0)), Usability::Unlisted);
}

fn leaving() -> Listing {
    Listing {
        leaving: true,
        ..listing(0, 0)
    }
}

#[test]
fn a_leaving_target_takes_no_new_work_whatever_an_old_entry_says() {
    let mut fleet = fleet(1, 2);
    fleet.listed(at(1), leaving());

    fleet.listed(at(2), listing(0, 0));

    assert_eq!(fleet.usability(at(3), &engine(0, 0)), Usability::Leaving);
}

#[test]
fn another_life_under_the_same_id_starts_anew() {
    let mut fleet = fleet(1, 2);
    fleet.listed(at(1), leaving());

    fleet.listed(
        at(2),
        Listing {
            started: Some(2),
            ..listing(0, 0)
        },
    );

    assert!(fleet.is_usable(at(3), &engine(0, 0)));
}

#[test]
fn a_target_that_another_one_replaced_is_not_used_again() {
    let mut fleet = fleet(1, 2);

    fleet.failed(at(10), &engine(0, 0), Fault::Replaced);

    assert_eq!(
        fleet.usability(at(60_000), &engine(0, 0)),
        Usability::Unlisted
    );
}

#[test]
fn a_lost_target_rests_longer_with_each_loss() {
    let mut fleet = fleet(1, 2);
    let rest = |fleet: &cw_policy::forward::Fleet, from: u64| {
        (0..20_000)
            .step_by(10)
            .find(|wait| fleet.is_usable(at(from + wait), &engine(0, 0)))
            .expect("it is used again")
    };
    fleet.failed(at(0), &engine(0, 0), Fault::Unreachable);
    let first = rest(&fleet, 0);

    fleet.failed(at(1000), &engine(0, 0), Fault::Unreachable);
    let second = rest(&fleet, 1000);

    assert!(first > 0 && second > first, "{first} ms, then {second} ms");
    assert!(second < 3000, "it must be back within seconds");
}

#[test]
fn a_list_drops_what_it_does_not_name() {
    let mut fleet = fleet(1, 3);

    fleet.retain_listed(at(10_000), &BTreeSet::from([engine(0, 1)]));

    assert_eq!(fleet.len(), 1);
}

/// Engines of a zone go silent while prompts are being read, which says nothing by itself.
#[test]
fn targets_of_a_lost_zone_are_doubted_until_they_are_heard() {
    let mut fleet = fleet(2, 6);
    for number in 0..3 {
        fleet.failed(at(10_000), &engine(0, number), Fault::Silent);
    }

    assert!(fleet.is_suspect(at(10_100), &engine(0, 5)));
    assert!(!fleet.is_suspect(at(10_100), &engine(1, 5)));
    fleet.responded(at(10_200), &engine(0, 5));
    assert!(!fleet.is_suspect(at(10_300), &engine(0, 5)));
}

#[test]
fn a_lost_zone_is_trusted_again_when_the_directory_has_had_time() {
    let mut fleet = fleet(2, 6);
    for number in 0..3 {
        fleet.failed(at(10_000), &engine(0, number), Fault::Silent);
    }

    let later = at(10_000) + Duration::from_secs(5);

    assert!(!fleet.is_suspect(later, &engine(0, 5)));
}
