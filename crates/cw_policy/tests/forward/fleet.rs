//! Tests of the state of the targets that the directory lists.

use std::collections::BTreeSet;
use std::time::Duration;

use cw_policy::forward::Fault;
use cw_policy::forward::Listing;
use cw_policy::forward::Usability;

use crate::fixtures::at;
use crate::fixtures::engine;
use crate::fixtures::fleet;
use crate::fixtures::listing;
use crate::fixtures::name;
use cw_types::Incarnation;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

#[test]
fn an_unlisted_target_is_dropped() {
    let mut fleet = fleet(1, 2);

    let changed = fleet.record_removal(at(10_000), &engine(0, 0));

    assert!(changed);
    assert_eq!(
        fleet.usability(at(10_000), &engine(0, 0)),
        Usability::Unlisted
    );
}

/// Guards against the loss of running targets whose records expire during an outage of the
/// directory.
#[test]
fn a_target_unlisted_during_an_outage_of_the_directory_stays_in_use() {
    let mut fleet = fleet(1, 2);
    fleet.record_directory_failure();
    fleet.record_directory_answer(at(10_000));

    fleet.record_removal(at(10_010), &engine(0, 0));

    assert!(fleet.is_usable(at(10_020), &engine(0, 0)));
    assert!(fleet.expire(at(11_000)).is_empty());
}

#[test]
fn a_target_that_is_not_listed_again_is_dropped() {
    let mut fleet = fleet(1, 2);
    fleet.record_directory_failure();
    fleet.record_directory_answer(at(10_000));
    fleet.record_removal(at(10_010), &engine(0, 0));

    let gone = fleet.expire(at(12_100));

    assert_eq!(gone, vec![engine(0, 0)]);
}

#[test]
fn a_target_that_is_listed_again_stays() {
    let mut fleet = fleet(1, 2);
    fleet.record_directory_failure();
    fleet.record_directory_answer(at(10_000));
    fleet.record_removal(at(10_010), &engine(0, 0));

    fleet.record_listing(at(11_000), listing(0, 0));

    assert!(fleet.expire(at(12_100)).is_empty());
    assert!(fleet.is_usable(at(12_100), &engine(0, 0)));
}

#[test]
fn nothing_is_dropped_during_an_outage_of_the_directory() {
    let mut fleet = fleet(1, 2);
    fleet.record_directory_failure();
    fleet.record_removal(at(10_010), &engine(0, 0));

    assert!(fleet.expire(at(60_000)).is_empty());
}

#[test]
fn a_leaving_target_is_dropped_as_soon_as_it_is_unlisted() {
    let mut fleet = fleet(1, 2);
    fleet.record_listing(at(1), leaving());
    fleet.record_directory_failure();

    fleet.record_removal(at(10), &engine(0, 0));

    assert_eq!(fleet.usability(at(10), &engine(0, 0)), Usability::Unlisted);
}

/// Guards against a target that stays in use for seconds after the directory has dropped it, because a single call of this
/// entry had failed while the directory answered everybody else.
#[test]
fn a_removed_target_is_dropped_at_once_although_calls_fail_now_and_then() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut fleet = fleet(1, 2);
        let mut now = 0;
        fleet.record_directory_answer(at(now));
        while now < 10_000 {
            now += rng.random_range(10..1300);
            if rng.random_bool(0.4) {
                fleet.record_directory_failure();
                now += rng.random_range(10..400);
            }
            fleet.record_directory_answer(at(now));
        }

        fleet.record_removal(at(now), &engine(0, 0));

        assert!(!fleet.is_usable(at(now), &engine(0, 0)), "seed {seed}");
    }
}

/// Guards against the loss of running targets in an outage that covers the life of a record, whatever answers come before
/// and after it.
#[test]
fn targets_whose_records_expire_in_an_outage_stay_in_use() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut fleet = fleet(1, 2);
        let mut now = 0;
        while now < 5000 {
            fleet.record_directory_answer(at(now));
            now += rng.random_range(10..1300);
        }
        fleet.record_directory_failure();
        now += rng.random_range(4000..9000);

        fleet.record_directory_answer(at(now));
        fleet.record_removal(at(now), &engine(0, 0));
        let relisted = now + rng.random_range(1..2000);
        while now < relisted {
            assert!(fleet.expire(at(now)).is_empty(), "seed {seed}");
            assert!(fleet.is_usable(at(now), &engine(0, 0)), "seed {seed}");
            now += rng.random_range(10..500);
            if rng.random_bool(0.2) {
                fleet.record_directory_failure();
            }
            fleet.record_directory_answer(at(now));
        }
    }
}

fn leaving() -> Listing {
    Listing {
        leaving: true,
        ..listing(0, 0)
    }
}

#[test]
fn an_outdated_record_does_not_make_a_leaving_target_usable() {
    let mut fleet = fleet(1, 2);
    fleet.record_listing(at(1), leaving());

    fleet.record_listing(at(2), listing(0, 0));

    assert_eq!(fleet.usability(at(3), &engine(0, 0)), Usability::Leaving);
}

/// Guards against a leaving target that takes requests again: its record was removed and came back as it was before, from an
/// older copy of the directory or an older message, or another value of it had changed.
#[rstest]
#[case::removed(true, listing(0, 0), Usability::Leaving)]
#[case::another_version(false, Listing { version: name("v2"), ..listing(0, 0) }, Usability::Leaving)]
#[case::both(true, Listing { version: name("v2"), ..listing(0, 0) }, Usability::Leaving)]
#[case::started_again(true, Listing { started: Some(2), ..listing(0, 0) }, Usability::Usable)]
fn a_record_that_comes_back_does_not_make_a_leaving_target_usable(
    #[case] is_removed: bool,
    #[case] later: Listing,
    #[case] expected: Usability,
) {
    let mut fleet = fleet(1, 2);
    fleet.record_leaving(at(1), &engine(0, 0), Incarnation(1));
    if is_removed {
        fleet.record_removal(at(2), &engine(0, 0));
    }

    fleet.record_listing(at(3), later);

    assert_eq!(fleet.usability(at(4), &engine(0, 0)), expected);
}

/// Guards against a leaving target that takes requests again: its record was removed before its answers said that it is
/// leaving, and an older copy of the directory lists it again.
#[rstest]
#[case::as_before(Some(1), Usability::Leaving)]
#[case::started_again(Some(2), Usability::Usable)]
fn a_target_that_says_that_it_leaves_after_its_removal_stays_out_of_use(
    #[case] started: Option<u64>,
    #[case] expected: Usability,
) {
    let mut fleet = fleet(1, 2);
    fleet.record_removal(at(1), &engine(0, 0));

    let is_new = fleet.record_leaving(at(2), &engine(0, 0), Incarnation(1));
    let is_repeated = fleet.record_leaving(at(3), &engine(0, 0), Incarnation(1));
    fleet.record_listing(
        at(4),
        Listing {
            started,
            ..listing(0, 0)
        },
    );

    assert!(is_new && !is_repeated);
    assert_eq!(fleet.usability(at(5), &engine(0, 0)), expected);
}

/// Guards against a leaving target that takes requests again, since a record of another writer that does not tell its start
/// counted for a restart.
#[rstest]
#[case::listed(false)]
#[case::removed(true)]
fn a_record_without_the_start_does_not_make_a_leaving_target_usable(#[case] is_removed: bool) {
    let mut fleet = fleet(1, 2);
    let foreign = Listing {
        started: None,
        ..listing(0, 0)
    };
    fleet.record_leaving(at(1), &engine(0, 0), Incarnation(1));
    if is_removed {
        fleet.record_removal(at(2), &engine(0, 0));
    }

    // A read of all targets brings the record again.
    fleet.record_listing(at(3), foreign.clone());
    fleet.record_listing(at(4), foreign);
    let meanwhile = fleet.usability(at(5), &engine(0, 0));
    fleet.record_listing(at(6), listing(0, 0));

    assert_eq!(meanwhile, Usability::Unlisted);
    assert_eq!(fleet.usability(at(7), &engine(0, 0)), Usability::Leaving);
}

/// Guards against a record of another writer that replaces the one of a sound target: it names no target to use, and the next
/// record of the target itself holds.
#[test]
fn a_record_without_the_start_counts_as_removed_until_the_next_one() {
    let mut fleet = fleet(1, 2);
    let foreign = Listing {
        started: None,
        ..listing(0, 0)
    };

    fleet.record_listing(at(1), foreign);
    let meanwhile = fleet.usability(at(2), &engine(0, 0));
    fleet.record_listing(at(3), listing(0, 0));

    assert_eq!(meanwhile, Usability::Unlisted);
    assert!(fleet.is_usable(at(4), &engine(0, 0)));
}

#[test]
fn a_restart_under_the_same_id_resets_the_state() {
    let mut fleet = fleet(1, 2);
    fleet.record_listing(at(1), leaving());

    fleet.record_listing(
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

    fleet.record_failure(at(10), &engine(0, 0), Incarnation(1), Fault::Replaced);

    assert_eq!(
        fleet.usability(at(60_000), &engine(0, 0)),
        Usability::Unlisted
    );
}

#[test]
fn the_backoff_grows_with_each_loss() {
    let mut fleet = fleet(1, 2);
    let backoff = |fleet: &cw_policy::forward::Fleet, from: u64| {
        (0..20_000)
            .step_by(10)
            .find(|wait| fleet.is_usable(at(from + wait), &engine(0, 0)))
            .expect("the target becomes usable again")
    };
    fleet.record_failure(at(0), &engine(0, 0), Incarnation(1), Fault::Unreachable);
    let first = backoff(&fleet, 0);

    fleet.record_failure(at(1000), &engine(0, 0), Incarnation(1), Fault::Unreachable);
    let second = backoff(&fleet, 1000);

    assert!(first > 0 && second > first, "{first} ms, then {second} ms");
    assert!(
        second < 3000,
        "the target must be usable again within seconds"
    );
}

#[test]
fn a_full_list_drops_the_targets_that_it_does_not_contain() {
    let mut fleet = fleet(1, 3);

    fleet.retain_listed(at(10_000), &BTreeSet::from([engine(0, 1)]));

    assert_eq!(fleet.len(), 1);
}

/// Guards against trust in the other targets of a lost zone: its engines go silent while they read
/// prompts, when silence alone does not indicate a loss.
#[test]
fn targets_of_a_lost_zone_are_suspect_until_they_respond() {
    let mut fleet = fleet(2, 6);
    for number in 0..3 {
        fleet.record_failure(
            at(10_000),
            &engine(0, number),
            Incarnation(1),
            Fault::Silent,
        );
    }

    assert!(fleet.is_suspect(at(10_100), &engine(0, 5)));
    assert!(!fleet.is_suspect(at(10_100), &engine(1, 5)));
    fleet.record_response(at(10_200), &engine(0, 5));
    assert!(!fleet.is_suspect(at(10_300), &engine(0, 5)));
}

#[test]
fn targets_of_a_lost_zone_are_trusted_again_after_the_directory_would_have_dropped_them() {
    let mut fleet = fleet(2, 6);
    for number in 0..3 {
        fleet.record_failure(
            at(10_000),
            &engine(0, number),
            Incarnation(1),
            Fault::Silent,
        );
    }

    let later = at(10_000) + Duration::from_secs(5);

    assert!(!fleet.is_suspect(later, &engine(0, 5)));
}

/// Guards against a record that takes back what a target has said itself, and against applying it to
/// the incarnation that starts afterwards.
#[rstest]
#[case(1, false)]
#[case(2, true)]
fn a_target_that_says_that_it_leaves_takes_no_requests_until_it_starts_again(
    #[case] started: u64,
    #[case] is_usable: bool,
) {
    let mut fleet = fleet(1, 1);
    let target = engine(0, 0);

    let is_new = fleet.record_leaving(at(10), &target, Incarnation(1));
    fleet.record_listing(
        at(100),
        Listing {
            started: Some(started),
            ..listing(0, 0)
        },
    );

    assert!(is_new);
    assert_eq!(fleet.is_usable(at(100), &target), is_usable);
}

/// Guards against an entry that keeps removed targets because its own host was cut off, although another entry has had answers of
/// the directory all the while; and against the word of an entry from before an outage.
#[test]
fn another_entry_that_got_answers_tells_whether_records_may_have_expired() {
    let returned = || {
        let mut fleet = fleet(1, 2);
        fleet.record_directory_answer(at(0));
        fleet.record_directory_told(at(0), true);
        fleet.record_directory_failure();
        fleet.record_directory_answer(at(10_000));
        fleet
    };
    let [mut told, mut late] = [returned(), returned()];

    told.record_directory_told(at(10_100), true);
    late.record_directory_told(at(9_900), true);
    let mut untrusted = returned();
    untrusted.record_directory_told(at(10_100), false);

    assert!(told.is_trusted(at(10_200)));
    assert!(!late.is_trusted(at(10_200)));
    assert!(!untrusted.is_trusted(at(10_200)));
}

/// Guards against bytes without end that fill the link of an entry because each stream of a target asks it for a copy again.
#[test]
fn a_target_that_gives_no_complete_answer_gets_no_calls_about_copies_for_a_while() {
    let mut fleet = fleet(1, 2);
    assert!(fleet.takes_copy_calls(at(10_000), &engine(0, 0)));

    fleet.record_copy_failure(at(10_000), &engine(0, 0));

    assert!(!fleet.takes_copy_calls(at(11_900), &engine(0, 0)));
    assert!(fleet.takes_copy_calls(at(10_000), &engine(0, 1)));
    assert!(fleet.takes_copy_calls(at(12_000), &engine(0, 0)));
}
