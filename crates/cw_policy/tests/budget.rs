//! Tests of route and target budgets, and of backoff.

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

/// The number of requests.
const REQUESTS: u32 = 10_000;

fn target(number: u32) -> TargetId {
    format!("t{number}").parse().unwrap()
}

#[test]
fn refused_requests_do_not_multiply_the_load() {
    let route: RouteName = "r".parse().unwrap();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut budgets = Budgets::default();
    let mut sends = 0;
    for _ in 0..REQUESTS {
        budgets.record_first(&route, &target(rng.random_range(0..40)));
        sends += 1;
        // Every kind of extra send is used until its budget is empty.
        for extra in [ExtraSend::Redirect, ExtraSend::Retry, ExtraSend::Hedge] {
            while budgets.try_spend(extra, &route, &target(rng.random_range(0..40))) {
                sends += 1;
            }
        }
    }
    let burst = 3.0 * BudgetSettings::default().burst;
    let bound = 1.2 * f64::from(REQUESTS) + burst;
    assert!(
        f64::from(sends) <= bound,
        "{sends} sends for {REQUESTS} requests"
    );
    assert!(sends > REQUESTS, "no extra sends were allowed");
}

#[test]
fn extra_sends_to_one_target_are_bounded_below_the_budget_of_its_route() {
    let route: RouteName = "r".parse().unwrap();
    let mut budgets = Budgets::default();
    let mut extra_sends = 0;
    for number in 0..REQUESTS {
        budgets.record_first(&route, &target(number % 40));
        extra_sends += u32::from(budgets.try_spend(ExtraSend::Redirect, &route, &target(0)));
    }
    let settings = BudgetSettings::default();
    let bound = settings.target * f64::from(REQUESTS / 40) + settings.burst;
    assert!(f64::from(extra_sends) <= bound, "{extra_sends} extra sends");
}

#[test]
fn backoff_delays_cover_the_whole_of_a_growing_range() {
    let backoff = Backoff::default();
    let mut rng = SmallRng::seed_from_u64(2);
    for repeat in [0, 1, 2, 40] {
        let longest = (backoff.base * 2_u32.saturating_pow(repeat.min(10))).min(backoff.max);
        let delays: Vec<Duration> = (0..200).map(|_| backoff.delay(repeat, &mut rng)).collect();
        assert!(delays.iter().all(|delay| *delay <= longest));
        assert!(delays.iter().any(|delay| *delay < longest / 4));
        assert!(delays.iter().any(|delay| *delay > longest / 4 * 3));
    }
}
