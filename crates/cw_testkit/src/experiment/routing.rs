//! The routing policy and its baselines.

use std::time::Duration;

use cw_macro::data;
use cw_policy::routing::Policy;
use serde_json::json;

use crate::DeploymentSpec;
use crate::EngineTimings;
use crate::TestDeployment;

use super::ExperimentError;
use super::Report;
use super::load::Demand;
use super::load::LoadRow;

/// The policy and its baselines.
pub(super) const POLICIES: [Policy; 4] = [
    Policy::Affinity,
    Policy::RoundRobin,
    Policy::LeastReported,
    Policy::PowerOfTwo,
];
/// The engines, plain services and availability zones.
const SIZE: (usize, usize, usize) = (36, 4, 4);
/// The requests a second that load the engines to about 80 % without their caches.
const RATE: f64 = 220.0;
/// How long requests come.
const SPAN: Duration = Duration::from_secs(12);
/// The seed of the demand.
const SEED: u64 = 11;

#[data]
struct RoutingRow {
    policy: Policy,
    entries: usize,
    report_lag_ms: u64,
    load: LoadRow,
}

/// Compares the routing policy with its baselines under equal demand.
///
/// # Errors
///
/// Fails when a deployment does not start.
pub async fn routing() -> Result<Report, ExperimentError> {
    let demand = demand(RATE, SPAN);
    let mut report = Report::new(
        "routing",
        json!({
            "engines": SIZE.0,
            "services": SIZE.1,
            "zones": SIZE.2,
            "seed": SEED,
            "documents": demand.documents,
            "prompt_words": demand.words,
            "tokens": demand.tokens,
            "span_s": SPAN.as_secs(),
            "batch": timings().max_batch,
            "cache_tokens": timings().cache_tokens,
        }),
    );
    for (entries, lag) in [(3, 500), (8, 1000)] {
        for policy in POLICIES {
            let mut spec = spec(policy).with_entries(entries);
            spec.timings.report_lag = Duration::from_millis(lag);
            let rig = TestDeployment::start(spec)
                .await
                .map_err(ExperimentError::new)?;
            let load = demand.run(&rig).await;
            rig.stop().await;
            report.push(&RoutingRow {
                policy,
                entries,
                report_lag_ms: lag,
                load,
            });
        }
    }
    Ok(report)
}

/// Returns a deployment of the users' size.
pub(super) fn spec(policy: Policy) -> DeploymentSpec {
    let mut spec = DeploymentSpec::default()
        .with_engines(SIZE.0)
        .with_services(SIZE.1)
        .with_zones(SIZE.2)
        .with_entries(3)
        .with_timings(timings())
        .with_policy(policy);
    spec.workspaces = 10;
    spec
}

/// Returns engines that are small enough to be loaded by callers on the same machine.
pub(super) fn timings() -> EngineTimings {
    EngineTimings {
        step: Duration::from_millis(20),
        per_sequence: Duration::from_millis(1),
        per_token: Duration::from_micros(80),
        max_batch: 8,
        max_queue: 16,
        cache_tokens: 24 << 10,
        ..EngineTimings::default()
    }
}

/// Returns demand for a few hundred documents that do not fit into one cache.
pub(super) fn demand(rate: f64, span: Duration) -> Demand {
    Demand {
        seed: SEED,
        rate,
        span,
        workspaces: 10,
        documents: 300,
        words: 200,
        tokens: 24,
    }
}
