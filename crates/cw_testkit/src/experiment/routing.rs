//! Compares the routing policy with its baselines.

use std::time::Duration;

use cw_macro::data;
use cw_policy::routing::Policy;
use serde_json::json;

use crate::DeploymentSpec;
use crate::EngineTimings;
use crate::TestDeployment;

use super::ExperimentError;
use super::Report;
use super::open_loop_load::LoadRow;
use super::open_loop_load::OpenLoopLoad;

/// The routing policy and its baselines.
pub(super) const POLICIES: [Policy; 4] = [
    Policy::Affinity,
    Policy::RoundRobin,
    Policy::LeastReported,
    Policy::PowerOfTwo,
];
/// The numbers of engines, plain services and availability zones.
const DEPLOYMENT_SIZE: (usize, usize, usize) = (36, 4, 4);
/// Requests per second that would load the engines to about 80 % if they had no caches.
const RATE: f64 = 220.0;
/// How long requests are sent.
const LOAD_PERIOD: Duration = Duration::from_secs(12);
/// The seed of the load.
const SEED: u64 = 11;

#[data]
struct RoutingRow {
    policy: Policy,
    entries: usize,
    report_lag_ms: u64,
    load: LoadRow,
}

/// Compares the routing policy with its baselines under equal load.
///
/// # Errors
///
/// Fails when a deployment does not start.
pub async fn routing() -> Result<Report, ExperimentError> {
    let offered = open_loop_load(RATE, LOAD_PERIOD);
    let mut report = Report::new(
        "routing",
        json!({
            "engines": DEPLOYMENT_SIZE.0,
            "services": DEPLOYMENT_SIZE.1,
            "zones": DEPLOYMENT_SIZE.2,
            "seed": SEED,
            "documents": offered.documents,
            "prompt_words": offered.document_words,
            "tokens": offered.output_tokens,
            "span_s": LOAD_PERIOD.as_secs(),
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
            let load = offered.run(&rig).await;
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

/// Returns the specification of a deployment of the users' size.
pub(super) fn spec(policy: Policy) -> DeploymentSpec {
    let mut spec = DeploymentSpec::default()
        .with_engines(DEPLOYMENT_SIZE.0)
        .with_services(DEPLOYMENT_SIZE.1)
        .with_zones(DEPLOYMENT_SIZE.2)
        .with_entries(3)
        .with_timings(timings())
        .with_policy(policy);
    spec.workspaces = 10;
    spec
}

/// Returns timings of engines that callers on the same machine can saturate.
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

/// Returns load on a few hundred documents, more than fit into one engine's cache.
pub(super) fn open_loop_load(rate: f64, duration: Duration) -> OpenLoopLoad {
    OpenLoopLoad {
        seed: SEED,
        rate,
        duration,
        workspaces: 10,
        documents: 300,
        document_words: 200,
        output_tokens: 24,
    }
}
