//! Tests that repeated sends stay within the budget shared by all entries.

use std::time::Duration;

use cw_policy::budget::ServiceBudgets;
use cw_policy::budget::SharedBudget;
use cw_types::ServiceName;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::fixtures::at;
use crate::fixtures::name;

const BUDGET: SharedBudget = SharedBudget {
    ratio: 0.8,
    slack: 150.0,
    window: Duration::from_secs(10),
};

/// The number of repeated sends in any window stays within the bound.
///
/// Repeats follow their requests, so the bound counts the requests of the window, of the one before
/// it, or of the one half a window before it, whichever has most. Four entries with different
/// traffic take part, and every request fails and asks for more sends than it gets.
#[test]
fn all_entries_together_keep_to_the_budget_in_any_window() {
    let service: ServiceName = name("s");
    let mut rng = SmallRng::seed_from_u64(1);
    let mut entries: Vec<ServiceBudgets> = (0..4).map(|_| ServiceBudgets::new(BUDGET, 4)).collect();
    let mut first_sends = Vec::new();
    let mut repeats = Vec::new();

    for millis in (0..40_000).step_by(5) {
        let at_entry = rng.random_range(0..10_usize).min(3);
        let entry = &mut entries[at_entry];
        if rng.random_bool(0.4) {
            entry.record_first(at(millis), &service);
            first_sends.push(millis);
        }
        for _ in 0..3 {
            if entry.try_spend(at(millis), &service) {
                repeats.push(millis);
            }
        }
    }

    for begin in (0..30_000_u64).step_by(50) {
        let count = |all: &[u64], begin: u64| {
            let window = begin..begin + 10_000;
            all.iter().filter(|at| window.contains(*at)).count() as f64
        };
        let earlier = [0, 5000, 10_000].map(|back: u64| begin.saturating_sub(back));
        let requests = earlier.map(|begin| count(&first_sends, begin));
        let most = requests.into_iter().fold(0.0, f64::max);
        let bound = BUDGET.ratio * most + BUDGET.slack;
        let spent = count(&repeats, begin);
        assert!(spent <= bound, "{spent} over {bound} from {begin} ms");
    }
    assert!(repeats.len() > 400, "too few repeated sends were allowed");
}

/// Guards against a slack that is not available again: an availability zone is lost every few
/// seconds, and many streams with it each time.
#[test]
fn the_slack_is_available_again_in_the_next_window() {
    let service: ServiceName = name("s");
    let mut budgets = ServiceBudgets::new(BUDGET, 4);
    let spend = |budgets: &mut ServiceBudgets, millis| {
        (0..100)
            .filter(|_| budgets.try_spend(at(millis), &service))
            .count()
    };

    let first = spend(&mut budgets, 0);
    let soon = spend(&mut budgets, 5000);
    let later = spend(&mut budgets, 21_000);

    assert_eq!((first, soon, later), (37, 0, 37));
}

#[test]
fn more_entries_have_smaller_shares() {
    let service: ServiceName = name("s");
    let mut budgets = ServiceBudgets::new(BUDGET, 4);
    budgets.set_entries(23);

    let allowed = (0..100)
        .filter(|_| budgets.try_spend(at(0), &service))
        .count();

    assert_eq!(allowed, 6);
}
