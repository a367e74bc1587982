//! Tests of single decisions about a roll-out.

use std::time::Duration;

use cw_policy::forward::SoftwareFilter;
use cw_policy::rollout::ExposureLimits;
use cw_policy::rollout::OrderStep;
use cw_policy::rollout::RolloutInputs;
use cw_policy::rollout::RolloutStep;
use cw_policy::rollout::Rollouts;
use cw_policy::rollout::SideChoice;
use cw_types::ServiceName;
use cw_types::StoreEra;
use cw_types::StoreRevision;
use cw_wire::RolloutStage;
use cw_wire::RolloutState;
use rstest::rstest;

use crate::world::at;
use crate::world::name;
use crate::world::order;

fn service() -> ServiceName {
    name("engines")
}

fn rollouts() -> Rollouts {
    Rollouts::new(ExposureLimits::default())
}

fn state(order: u64, step: u32, stage: RolloutStage, share: u16) -> RolloutState {
    RolloutState {
        service: service(),
        target: name("v2"),
        order,
        step,
        stage,
        share_permille: share,
        reason: String::new(),
        duration: Duration::from_secs(60),
        age: Duration::ZERO,
        sent_new: 0,
        sent_all: 0,
        decided_age: Duration::ZERO,
        written_ms: 0,
    }
}

fn decider(active_new: usize, active_old: usize) -> RolloutInputs {
    RolloutInputs {
        active_new,
        active_old,
        run_time: Duration::from_millis(100),
        store_reachable: true,
        is_decider: true,
    }
}

fn written(step: RolloutStep) -> RolloutState {
    match step {
        RolloutStep::Write(state) => state,
        other => panic!("expected a write, found {other:?}"),
    }
}

#[test]
fn without_an_order_nothing_is_restricted_or_told() {
    let rollouts = rollouts();

    assert_eq!(
        rollouts.choose_side(at(0), &service(), 0.0),
        SideChoice::Any
    );
    assert_eq!(
        rollouts.filter(&service(), SideChoice::Any),
        SoftwareFilter::Any
    );
    assert!(rollouts.notices(at(0)).is_empty());
}

/// Answers engines of the target version that start before the order has been evaluated.
#[test]
fn an_order_alone_sends_nothing_to_its_version() {
    let mut rollouts = rollouts();

    rollouts.record_order(at(0), order(1, 60), None);

    assert_eq!(
        rollouts.choose_side(at(0), &service(), 0.0),
        SideChoice::Old
    );
}

/// Answers an entry that has not read the order and receives it from another one.
#[test]
fn a_state_of_an_unknown_order_is_kept_to() {
    let mut rollouts = rollouts();

    assert!(rollouts.receive_state(at(0), &state(3, 1, RolloutStage::InProgress, 0)));

    assert_eq!(
        rollouts.choose_side(at(0), &service(), 0.0),
        SideChoice::Old
    );
    assert_eq!(
        rollouts.record_order(at(1), order(3, 60), None),
        OrderStep::Known
    );
}

/// Returns a revision of the store as an order names it.
fn revision(era: u32, number: i64) -> u64 {
    StoreRevision::new(StoreEra(era), number).0.cast_unsigned()
}

/// Guards against a bad version that is tried again since the store has come back from an older copy: the same order has a
/// higher revision there, and what was persisted of it names the lower one.
#[rstest]
#[case::state_first(true)]
#[case::order_first(false)]
fn an_order_that_is_listed_again_in_a_later_era_does_not_begin_again(#[case] is_state_first: bool) {
    let mut rollouts = rollouts();
    let ended = state(revision(1, 50), 2, RolloutStage::RolledBack, 0);
    let again = order(revision(2, 7), 60);

    let step = match is_state_first {
        true => {
            rollouts.receive_state(at(0), &ended);
            rollouts.record_order(at(20_000), again, None)
        }
        false => rollouts.record_order(at(20_000), again, Some(ended.clone())),
    };
    let told = rollouts.notices(at(20_000));
    // An entry that has not noticed the return tells the state under the earlier revision.
    rollouts.receive_state(at(20_100), &ended);

    let side = rollouts.choose_side(at(20_200), &service(), 0.0);
    assert_eq!(side, SideChoice::Old);
    let stage = rollouts.view(at(20_200), &service()).unwrap().stage;
    assert_eq!(stage, Some(RolloutStage::RolledBack));
    let expected = match is_state_first {
        true => OrderStep::Again,
        false => OrderStep::Begun,
    };
    assert_eq!(step, expected);
    let told = told.first().and_then(|notice| notice.state.as_ref());
    assert_eq!(
        told.map(|state| state.order),
        Some(revision(2, 7)),
        "it may be lost"
    );
}

/// Guards against an order that is taken for an earlier one: the operators may give the same one again, or another one.
#[test]
fn a_later_order_begins_also_in_a_later_era() {
    let mut rollouts = rollouts();
    rollouts.record_order(at(0), order(revision(1, 50), 60), None);
    rollouts.receive_state(
        at(0),
        &state(revision(1, 50), 2, RolloutStage::RolledBack, 0),
    );

    let same = rollouts.record_order(at(10), order(revision(1, 60), 60), None);
    let other = rollouts.record_order(at(20), order(revision(2, 7), 30), None);

    assert_eq!(same, OrderStep::Begun);
    assert!(
        matches!(other, OrderStep::Begun | OrderStep::Replaces(_)),
        "{other:?}"
    );
}

/// Answers messages that were held up.
#[test]
fn an_older_state_and_one_after_the_end_are_ignored() {
    let mut rollouts = rollouts();
    rollouts.record_order(at(0), order(1, 60), None);

    assert!(rollouts.receive_state(at(0), &state(1, 5, RolloutStage::RolledBack, 0)));

    assert!(!rollouts.receive_state(at(1), &state(1, 4, RolloutStage::InProgress, 500)));
    assert!(!rollouts.receive_state(at(1), &state(1, 9, RolloutStage::Finishing, 1000)));
    assert_eq!(
        rollouts.choose_side(at(1), &service(), 0.0),
        SideChoice::Old
    );
}

#[test]
fn an_entry_without_a_word_from_the_store_goes_back_and_returns() {
    let mut rollouts = rollouts();
    rollouts.record_order(at(0), order(1, 60), None);
    rollouts.receive_state(at(0), &state(1, 2, RolloutStage::InProgress, 500));
    let cut_off = RolloutInputs {
        store_reachable: false,
        ..decider(4, 4)
    };

    assert_eq!(
        rollouts.choose_side(at(1000), &service(), 0.1),
        SideChoice::New
    );
    assert_eq!(
        rollouts.decide(at(4000), &service(), &cut_off),
        RolloutStep::Retreat
    );
    assert_eq!(
        rollouts.choose_side(at(4000), &service(), 0.1),
        SideChoice::Old
    );
    rollouts.decide(
        at(5000),
        &service(),
        &RolloutInputs {
            is_decider: false,
            ..decider(4, 4)
        },
    );
    assert_eq!(
        rollouts.choose_side(at(5000), &service(), 0.1),
        SideChoice::New
    );
}

#[test]
fn the_only_version_is_completed_at_once() {
    let mut rollouts = rollouts();
    rollouts.record_order(at(0), order(1, 60), None);

    let state = written(rollouts.decide(at(0), &service(), &decider(4, 0)));

    assert_eq!(state.stage, RolloutStage::Completed);
    assert_eq!(
        rollouts.choose_side(at(0), &service(), 0.5),
        SideChoice::Any
    );
}

#[test]
fn an_order_without_time_is_rolled_back_at_once() {
    let mut rollouts = rollouts();
    rollouts.record_order(at(0), order(1, 0), None);

    let state = written(rollouts.decide(at(0), &service(), &decider(4, 4)));

    assert_eq!(state.stage, RolloutStage::RolledBack);
    assert_eq!(state.reason, "no time");
}

/// Answers an operator who changes the order while it is in progress, or as the old engines are about to stop.
#[test]
fn a_later_order_replaces_one_in_progress_and_waits_for_one_that_finishes() {
    let mut rollouts = rollouts();
    rollouts.record_order(at(0), order(1, 60), None);
    rollouts.receive_state(at(0), &state(1, 1, RolloutStage::InProgress, 100));

    let OrderStep::Replaces(ended) = rollouts.record_order(at(9), order(2, 60), None) else {
        panic!("the first order goes on");
    };
    rollouts.receive_state(at(10), &state(2, 3, RolloutStage::Finishing, 1000));

    assert_eq!(ended.stage, RolloutStage::RolledBack);
    assert_eq!(
        rollouts.record_order(at(11), order(5, 60), None),
        OrderStep::Deferred
    );
    rollouts.receive_state(at(12), &state(2, 4, RolloutStage::Completed, 1000));
    assert_eq!(
        rollouts
            .view(at(12), &service())
            .map(|view| (view.order, view.stage)),
        Some((5, None))
    );
}

/// Answers a request of a customer who asks for the same version again after it went back.
#[test]
fn the_same_target_again_is_a_new_order() {
    let mut rollouts = rollouts();
    rollouts.record_order(at(0), order(1, 60), None);
    rollouts.receive_state(at(0), &state(1, 5, RolloutStage::RolledBack, 0));

    let step = rollouts.record_order(at(9), order(2, 60), None);

    assert_eq!(step, OrderStep::Begun);
    let first = written(rollouts.decide(at(9), &service(), &decider(4, 4)));
    assert_eq!((first.order, first.step), (2, 1));
    assert_eq!(first.stage, RolloutStage::InProgress);
}
