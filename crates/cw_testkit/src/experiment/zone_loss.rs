//! The loss of an availability zone under load.

use std::time::Duration;
use std::time::Instant;

use cw_macro::data;
use cw_policy::routing::Policy;
use serde_json::json;

use crate::TestDeployment;

use super::ExperimentError;
use super::Report;
use super::open_loop_load::LoadRow;
use super::open_loop_load::OpenLoopLoad;
use super::routing::open_loop_load;
use super::routing::spec;

/// Requests per second, about half of the engines' capacity.
const RATE: f64 = 50.0;
/// How long requests are sent.
const LOAD_PERIOD: Duration = Duration::from_secs(14);
/// The time from the start of the load until the availability zone is lost.
const TIME_TO_LOSS: Duration = Duration::from_secs(5);
/// The policies that are compared.
const POLICIES: [Policy; 2] = [Policy::Affinity, Policy::PowerOfTwo];

#[data]
struct ZoneLossRow {
    policy: Policy,
    lost_targets: usize,
    longest_gap_ms: f64,
    load: LoadRow,
}

/// Kills all targets of one availability zone under load, for the routing policy and a baseline.
///
/// # Errors
///
/// Fails when a deployment does not start.
pub async fn zone_loss() -> Result<Report, ExperimentError> {
    let setup =
        json!({ "rate": RATE, "span_s": LOAD_PERIOD.as_secs(), "loss_s": TIME_TO_LOSS.as_secs() });
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
    let offered = OpenLoopLoad {
        output_tokens: 60,
        ..open_loop_load(RATE, LOAD_PERIOD)
    };
    let lost: Vec<usize> = (0..rig.engines.len())
        .filter(|number| number.is_multiple_of(rig.spec.zones))
        .collect();
    let loss = async {
        tokio::time::sleep(TIME_TO_LOSS).await;
        let lost_at = Instant::now();
        for &number in &lost {
            rig.kill_host(number).await;
        }
        lost_at
    };
    let ((load, requests), lost_at) =
        futures::future::join(offered.run_with_requests(&rig), loss).await;
    rig.stop().await;
    let gaps = requests.iter().filter_map(|request| {
        let answer = request.outcome.as_ref().ok()?;
        let target = answer.target_at(lost_at)?;
        let number = rig.engine_index(target);
        lost.contains(&number)
            .then(|| answer.resume_latency(lost_at))?
    });
    Ok(ZoneLossRow {
        policy,
        lost_targets: lost.len(),
        longest_gap_ms: gaps.max().unwrap_or_default().as_secs_f64() * 1000.0,
        load,
    })
}
