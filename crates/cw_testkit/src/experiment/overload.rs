//! More demand than the engines can serve.

use std::time::Duration;

use cw_macro::data;
use cw_policy::routing::Policy;
use cw_types::ByteSize;
use serde_json::json;

use crate::Rig;
use crate::RigSpec;

use super::ExperimentError;
use super::Report;
use super::load::Demand;
use super::load::LoadRow;
use super::routing::demand;
use super::routing::spec;

/// The demand by which the engines' capacity is found, in requests a second.
const SATURATION: f64 = 1200.0;
/// How long requests come.
const SPAN: Duration = Duration::from_secs(10);
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
    let demand = demand(SATURATION, SPAN);
    let row = run(Policy::Affinity, Admission::Adaptive, &demand).await?;
    Ok(row.whole_per_s(SPAN))
}

async fn run(
    policy: Policy,
    admission: Admission,
    demand: &Demand,
) -> Result<LoadRow, ExperimentError> {
    let spec = match admission {
        Admission::Adaptive => spec(policy),
        Admission::None => without_admission(spec(policy)),
    };
    let rig = Rig::start(spec).await.map_err(ExperimentError::new)?;
    let row = demand.run(&rig).await;
    rig.stop().await;
    Ok(row)
}

fn without_admission(mut spec: RigSpec) -> RigSpec {
    spec.agent.running = UNLIMITED;
    spec.agent.waiting = UNLIMITED;
    spec.agent.step = Duration::from_secs(3600);
    spec.limits.queue = UNLIMITED;
    spec.limits.queue_bytes = ByteSize::mib(4096);
    spec.timings.queue = UNLIMITED as usize;
    spec
}
