//! Compares the default policy with the baselines and prints the results as JSON.
//!
//! Run with `cargo bench -p cw_policy --bench rounds`, and `-- default` for the default policy
//! alone. The seeds are fixed, so that the figures are the same on each run.

mod engine;
mod outcome;
mod scenario;
mod scheduled;
mod simulation;

use std::time::Duration;

use cw_policy::routing::Policy;
use cw_policy::routing::RoutingCosts;
use serde_json::Value;
use serde_json::json;

use outcome::Outcome;
use scenario::Scenario;
use simulation::Simulation;

const SEEDS: [u64; 3] = [1, 2, 3];

const POLICIES: [Policy; 4] = [
    Policy::Affinity,
    Policy::RoundRobin,
    Policy::LeastReported,
    Policy::PowerOfTwo,
];

fn scenarios() -> Vec<(&'static str, Scenario)> {
    let base = Scenario::default;
    vec![
        (
            "load 0.5",
            Scenario {
                rate: 90.0,
                ..base()
            },
        ),
        ("load 0.8", base()),
        (
            "load 0.9",
            Scenario {
                rate: 160.0,
                ..base()
            },
        ),
        (
            "herd: 8 entries, reports 1 s late, no common prompts",
            Scenario {
                entries: 8,
                report_delay: Duration::from_secs(1),
                shared_blocks: 0,
                sessions: 1_000_000,
                ..base()
            },
        ),
        (
            "prompts shared by few workspaces",
            Scenario {
                workspaces: 3,
                shared_blocks: 16,
                sessions: 20_000,
                ..base()
            },
        ),
        (
            "documents of 2 KiB, asked about again and again",
            Scenario {
                shared_blocks: 0,
                added_blocks: 2,
                turns: 1,
                sessions: 8000,
                prefill: Duration::from_micros(240),
                ..base()
            },
        ),
        (
            "long and short work",
            Scenario {
                long_share: 0.1,
                output_time: Duration::from_millis(1500),
                long_output_time: Duration::from_secs(15),
                ..base()
            },
        ),
        (
            "an availability zone is lost",
            Scenario {
                rate: 90.0,
                zone_loss: Some(Duration::from_secs(50)),
                ..base()
            },
        ),
    ]
}

fn percentile(samples: &mut [f64], part: f64) -> f64 {
    samples.sort_by(f64::total_cmp);
    let at = (samples.len() as f64 * part) as usize;
    samples
        .get(at.min(samples.len().saturating_sub(1)))
        .copied()
        .unwrap_or_default()
}

fn merge(outcomes: Vec<Outcome>) -> Outcome {
    let mut sum = Outcome::default();
    for outcome in outcomes {
        for (all, some) in sum.first_token.iter_mut().zip(outcome.first_token) {
            all.extend(some);
        }
        sum.resumed.extend(outcome.resumed);
        sum.refused += outcome.refused;
        sum.busy += outcome.busy;
        sum.tokens += outcome.tokens;
        sum.cached += outcome.cached;
        sum.peak_ratios.extend(outcome.peak_ratios);
    }
    sum
}

fn round(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}

fn describe(policy: Policy, mut outcome: Outcome) -> Value {
    let [short, long] = &mut outcome.first_token;
    let peaks = outcome.peak_ratios.iter().sum::<f64>() / outcome.peak_ratios.len() as f64;
    json!({
        "policy": policy,
        "answered": short.len() + long.len(),
        "first_p50_s": round(percentile(short, 0.5)),
        "first_p95_s": round(percentile(short, 0.95)),
        "first_p99_s": round(percentile(short, 0.99)),
        "long_p95_s": round(percentile(long, 0.95)),
        "resume_p95_s": round(percentile(&mut outcome.resumed, 0.95)),
        "hit_rate": round(outcome.cached as f64 / outcome.tokens.max(1) as f64),
        "refused": outcome.refused,
        "busy": outcome.busy,
        "max_over_mean": round(peaks),
    })
}

fn main() {
    let default_only = std::env::args().any(|arg| arg == "default");
    let count = if default_only { 1 } else { POLICIES.len() };
    let mut reports = Vec::new();
    for (name, scenario) in scenarios() {
        let results: Vec<Value> = POLICIES[..count]
            .iter()
            .map(|&policy| {
                let run =
                    |seed| Simulation::run(scenario.clone(), policy, RoutingCosts::default(), seed);
                describe(policy, merge(SEEDS.into_iter().map(run).collect()))
            })
            .collect();
        reports.push(json!({"shape": name, "results": results}));
    }
    println!(
        "{}",
        serde_json::to_string_pretty(&reports).expect("the results are plain values")
    );
}
