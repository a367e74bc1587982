//! An availability zone that is lost under load.

use std::time::Duration;
use std::time::Instant;

use cw_macro::data;
use cw_policy::routing::Policy;
use serde_json::json;

use crate::TestDeployment;

use super::ExperimentError;
use super::Report;
use super::load::Demand;
use super::load::LoadRow;
use super::routing::demand;
use super::routing::spec;

/// Requests a second: about half of what the engines can serve.
const RATE: f64 = 50.0;
/// How long requests come.
const SPAN: Duration = Duration::from_secs(14);
/// When the availability zone is lost.
const LOSS: Duration = Duration::from_secs(5);
/// The policies that are compared.
const POLICIES: [Policy; 2] = [Policy::Affinity, Policy::PowerOfTwo];

#[data]
struct ZoneLossRow {
    policy: Policy,
    lost_targets: usize,
    longest_gap_ms: f64,
    load: LoadRow,
}

/// Loses all targets of one availability zone under load, for the policy and a baseline.
///
/// # Errors
///
/// Fails when a deployment does not start.
pub async fn zone_loss() -> Result<Report, ExperimentError> {
    let setup = json!({ "rate": RATE, "span_s": SPAN.as_secs(), "loss_s": LOSS.as_secs() });
    let mut report = Report::new("zone-loss", setup);
    for policy in POLICIES {
        report.push(&run(policy).await?);
    }
    Ok(report)
}

async fn run(policy: Policy) -> Result<ZoneLossRow, ExperimentError> {
    let rig = TestDeployment::start(spec(policy))
        .await
        .map_err(ExperimentError::new)?;
    let demand = Demand {
        tokens: 60,
        ..demand(RATE, SPAN)
    };
    let lost: Vec<usize> = (0..rig.engines.len())
        .filter(|number| number.is_multiple_of(rig.spec.zones))
        .collect();
    let loss = async {
        tokio::time::sleep(LOSS).await;
        let moment = Instant::now();
        for &number in &lost {
            rig.kill_host(number).await;
        }
        moment
    };
    let ((load, streams), moment) = futures::future::join(demand.run_streams(&rig), loss).await;
    rig.stop().await;
    let gaps = streams.iter().filter_map(|stream| {
        let answer = stream.outcome.as_ref().ok()?;
        let target = answer.target_at(moment)?;
        let number = rig.engine_index(target);
        lost.contains(&number)
            .then(|| answer.resume_latency(moment))?
    });
    Ok(ZoneLossRow {
        policy,
        lost_targets: lost.len(),
        longest_gap_ms: gaps.max().unwrap_or_default().as_secs_f64() * 1000.0,
        load,
    })
}
