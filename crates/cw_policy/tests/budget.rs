//! Tests of budgets and backoff.

use std::time::Duration;

use cw_policy::budget::Backoff;
use cw_policy::budget::BudgetSettings;
use cw_policy::budget::Budgets;
use cw_policy::budget::ExtraSend;
use cw_types::RouteName;
use cw_types::TargetId;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const OFFERED: u32 = 10_000;

fn target(number: u32) -> TargetId {
    format!("t{number}").parse().unwrap()
}

#[test]
fn total_refusal_does_not_multiply_load() {
    let route: RouteName = "r".parse().unwrap();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut budgets = Budgets::default();
    let mut sends = 0;
    for _ in 0..OFFERED {
        budgets.record_first(&route, &target(rng.random_range(0..40)));
        sends += 1;
        // Each path on which a request is sent once more is tried to its end.
        for extra in [ExtraSend::Redirect, ExtraSend::Retry, ExtraSend::Hedge] {
            while budgets.try_spend(extra, &route, &target(rng.random_range(0..40))) {
                sends += 1;
            }
        }
    }
    let burst = 3.0 * BudgetSettings::default().burst;
    let bound = 1.2 * f64::from(OFFERED) + burst;
    assert!(f64::from(sends) <= bound, "{sends} sends of {OFFERED}");
    assert!(sends > OFFERED, "budgets allow nothing");
}

#[test]
fn one_target_does_not_take_all_that_a_route_may_add() {
    let route: RouteName = "r".parse().unwrap();
    let mut budgets = Budgets::default();
    let mut taken = 0;
    for number in 0..OFFERED {
        budgets.record_first(&route, &target(number % 40));
        taken += u32::from(budgets.try_spend(ExtraSend::Redirect, &route, &target(0)));
    }
    let settings = BudgetSettings::default();
    let bound = settings.target * f64::from(OFFERED / 40) + settings.burst;
    assert!(f64::from(taken) <= bound, "{taken} sends");
}

#[test]
fn backoff_spreads_over_the_whole_of_a_growing_span() {
    let backoff = Backoff::default();
    let mut rng = SmallRng::seed_from_u64(2);
    for repeat in [0, 1, 2, 40] {
        let longest = (backoff.base * 2_u32.saturating_pow(repeat.min(10))).min(backoff.max);
        let waits: Vec<Duration> = (0..200).map(|_| backoff.delay(repeat, &mut rng)).collect();
        assert!(waits.iter().all(|wait| *wait <= longest));
        assert!(waits.iter().any(|wait| *wait < longest / 4));
        assert!(waits.iter().any(|wait| *wait > longest / 4 * 3));
    }
}
