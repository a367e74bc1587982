//! Tests of the routing policies' effect on all targets, in the simulation that the benchmark uses
//! too.

use std::time::Duration;

use cw_policy::routing::Policy;
use cw_policy::routing::RoutingCosts;

use crate::outcome::Outcome;
use crate::scenario::Scenario;
use crate::simulation::Simulation;

fn run(scenario: &Scenario, policy: Policy) -> Outcome {
    Simulation::run(scenario.clone(), policy, RoutingCosts::default(), 11)
}

fn p95(samples: &[f64]) -> f64 {
    let mut samples = samples.to_vec();
    samples.sort_by(f64::total_cmp);
    samples[samples.len() * 95 / 100]
}

fn hit_rate(outcome: &Outcome) -> f64 {
    outcome.cached as f64 / outcome.tokens as f64
}

#[test]
fn entries_with_late_reports_do_not_herd() {
    let scenario = Scenario {
        entries: 8,
        report_delay: Duration::from_secs(1),
        shared_blocks: 0,
        sessions: 1_000_000,
        ..Scenario::default()
    };
    let outcome = run(&scenario, Policy::default());
    let peak = outcome.peak_ratios.iter().sum::<f64>() / outcome.peak_ratios.len() as f64;

    assert!(
        peak < 1.3,
        "largest load over mean load {peak}, {} busy",
        outcome.busy
    );
}

#[test]
fn cached_prefixes_are_found_without_making_callers_wait() {
    let scenario = Scenario {
        duration: Duration::from_secs(40),
        ..Scenario::default()
    };
    let outcome = run(&scenario, Policy::default());
    let power_of_two = run(&scenario, Policy::PowerOfTwo);

    assert!(hit_rate(&outcome) >= 1.5 * hit_rate(&power_of_two));
    for baseline in [
        Policy::RoundRobin,
        Policy::LeastReported,
        Policy::PowerOfTwo,
    ] {
        let other = p95(&run(&scenario, baseline).first_token[0]);
        assert!(
            p95(&outcome.first_token[0]) <= other,
            "{baseline:?}: {other}"
        );
    }
}

#[test]
fn short_requests_stay_quick_beside_long_ones() {
    let mixed = Scenario {
        long_share: 0.1,
        output_time: Duration::from_millis(1500),
        long_output_time: Duration::from_secs(15),
        duration: Duration::from_secs(40),
        ..Scenario::default()
    };
    let outcome = run(&mixed, Policy::default());

    assert_eq!(outcome.refused, 0);
    assert!(p95(&outcome.first_token[0]) <= 1.5 && p95(&outcome.first_token[1]) <= 1.5);
}

#[test]
fn streams_of_a_lost_availability_zone_resume_in_time() {
    let scenario = Scenario {
        rate: 90.0,
        duration: Duration::from_secs(40),
        zone_loss: Some(Duration::from_secs(25)),
        ..Scenario::default()
    };
    let outcome = run(&scenario, Policy::default());
    let longest = outcome.resumed.iter().copied().fold(0.0, f64::max);

    assert_eq!(outcome.refused, 0);
    assert!(
        outcome.resumed.len() > 50,
        "{} resumes",
        outcome.resumed.len()
    );
    assert!(longest <= 4.0, "longest resume {longest} s");
}
