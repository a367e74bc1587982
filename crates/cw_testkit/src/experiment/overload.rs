//! More demand than the engines can serve.

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
use super::drive::Stream;
use super::load::Demand;
use super::load::FIRST_TOKEN;
use super::load::LoadRow;
use super::routing::demand;
use super::routing::spec;

/// The demand by which the engines' capacity is found, in requests a second.
const SATURATION: f64 = 1200.0;
/// How long requests come.
const SPAN: Duration = Duration::from_secs(10);
/// How long the engines fill before their answers are counted.
const WARM_UP: Duration = Duration::from_secs(3);
/// More than ever wait or run.
const UNLIMITED: u32 = 1_000_000;

/// Whether requests are refused before the engines are full.
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

/// Offers up to twice of what the engines can serve, with and without admission.
///
/// # Errors
///
/// Fails when a deployment does not start.
pub async fn overload() -> Result<Report, ExperimentError> {
    let capacity = capacity().await?;
    let setup = json!({ "capacity_per_s": capacity, "span_s": SPAN.as_secs() });
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
        let load = run(policy, admission, &demand(capacity * share, SPAN)).await?;
        report.push(&OverloadRow {
            policy,
            admission,
            demand_of_capacity: share,
            load,
        });
    }
    Ok(report)
}

/// Finds how many requests a second the engines answer when they are full.
async fn capacity() -> Result<f64, ExperimentError> {
    let rig = TestDeployment::start(spec(Policy::Affinity)).await;
    let rig = rig.map_err(ExperimentError::new)?;
    let start = Instant::now();
    let (_, streams) = demand(SATURATION, SPAN).run_streams(&rig).await;
    rig.stop().await;
    let counted = (start + WARM_UP)..(start + SPAN);
    let is_whole = |stream: &&Stream| stream.outcome.as_ref().is_ok_and(Completion::is_complete);
    let whole = streams.iter().filter(is_whole);
    let count = whole
        .filter(|stream| counted.contains(&stream.ended))
        .count();
    Ok(count as f64 / (SPAN - WARM_UP).as_secs_f64())
}

async fn run(
    policy: Policy,
    admission: Admission,
    demand: &Demand,
) -> Result<LoadRow, ExperimentError> {
    let mut spec = spec(policy);
    spec.patience = FIRST_TOKEN;
    if admission == Admission::None {
        spec = without_admission(spec);
    }
    let rig = TestDeployment::start(spec)
        .await
        .map_err(ExperimentError::new)?;
    let row = demand.run(&rig).await;
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
