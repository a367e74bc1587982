//! Load beyond the capacity of the engines.

use std::time::Duration;
use std::time::Instant;

use cw_macro::data;
use cw_policy::routing::Policy;
use cw_types::ByteSize;
use serde_json::json;

use crate::Completion;
use crate::DeploymentSpec;
use crate::TestDeployment;

use super::ExperimentError;
use super::Report;
use super::concurrent_requests::CompletedRequest;
use super::open_loop_load::FIRST_TOKEN_LIMIT;
use super::open_loop_load::LoadRow;
use super::open_loop_load::OpenLoopLoad;
use super::routing::open_loop_load;
use super::routing::spec;

/// A rate that saturates the engines, used to measure their capacity, in requests per second.
const SATURATING_RATE: f64 = 1200.0;
/// How long requests are sent.
const LOAD_PERIOD: Duration = Duration::from_secs(10);
/// How long the engines fill up before answers are counted.
const WARM_UP: Duration = Duration::from_secs(3);
/// A limit on running or waiting requests that no run reaches.
const UNLIMITED: u32 = 1_000_000;

/// Whether admission control refuses requests before the engines are full.
#[data(Copy, Eq)]
#[serde(rename_all = "snake_case")]
enum Admission {
    Adaptive,
    None,
}

#[data]
struct OverloadRow {
    policy: Policy,
    admission: Admission,
    demand_of_capacity: f64,
    load: LoadRow,
}

/// Offers up to twice the engines' capacity, with and without admission control.
///
/// # Errors
///
/// Fails when a deployment does not start.
pub async fn overload() -> Result<Report, ExperimentError> {
    let capacity = measure_capacity().await?;
    let setup = json!({ "capacity_per_s": capacity, "span_s": LOAD_PERIOD.as_secs() });
    let mut report = Report::new("overload", setup);
    let cases = [
        (Policy::Affinity, Admission::Adaptive, 0.5),
        (Policy::Affinity, Admission::Adaptive, 0.8),
        (Policy::Affinity, Admission::Adaptive, 1.0),
        (Policy::Affinity, Admission::Adaptive, 2.0),
        (Policy::Affinity, Admission::None, 1.0),
        (Policy::Affinity, Admission::None, 2.0),
        (Policy::PowerOfTwo, Admission::Adaptive, 0.8),
        (Policy::PowerOfTwo, Admission::Adaptive, 2.0),
        (Policy::LeastReported, Admission::Adaptive, 0.8),
        (Policy::RoundRobin, Admission::Adaptive, 0.8),
    ];
    for (policy, admission, share) in cases {
        let load = run(
            policy,
            admission,
            &open_loop_load(capacity * share, LOAD_PERIOD),
        )
        .await?;
        report.push(&OverloadRow {
            policy,
            admission,
            demand_of_capacity: share,
            load,
        });
    }
    Ok(report)
}

/// Measures how many requests per second the saturated engines answer.
async fn measure_capacity() -> Result<f64, ExperimentError> {
    let rig = TestDeployment::start(spec(Policy::Affinity)).await;
    let rig = rig.map_err(ExperimentError::new)?;
    let start = Instant::now();
    let (_, requests) = open_loop_load(SATURATING_RATE, LOAD_PERIOD)
        .run_with_requests(&rig)
        .await;
    rig.stop().await;
    let count_period = (start + WARM_UP)..(start + LOAD_PERIOD);
    let is_whole =
        |request: &&CompletedRequest| request.outcome.as_ref().is_ok_and(Completion::is_complete);
    let whole = requests.iter().filter(is_whole);
    let count = whole
        .filter(|request| count_period.contains(&request.ended_at))
        .count();
    Ok(count as f64 / (LOAD_PERIOD - WARM_UP).as_secs_f64())
}

async fn run(
    policy: Policy,
    admission: Admission,
    load: &OpenLoopLoad,
) -> Result<LoadRow, ExperimentError> {
    let mut spec = spec(policy);
    spec.patience = FIRST_TOKEN_LIMIT;
    if admission == Admission::None {
        spec = without_admission(spec);
    }
    let rig = TestDeployment::start(spec)
        .await
        .map_err(ExperimentError::new)?;
    let row = load.run(&rig).await;
    rig.stop().await;
    Ok(row)
}

fn without_admission(mut spec: DeploymentSpec) -> DeploymentSpec {
    spec.engine.running = UNLIMITED;
    spec.engine.waiting = UNLIMITED;
    spec.engine.step = Duration::from_secs(3600);
    spec.limits.queue = UNLIMITED;
    spec.limits.queue_bytes = ByteSize::mib(4096);
    spec.timings.max_queue = UNLIMITED as usize;
    spec
}
