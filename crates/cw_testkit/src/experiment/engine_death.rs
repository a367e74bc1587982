//! Faults of targets in the middle of streams.

use cw_types::Recovery;
use serde_json::Value;
use serde_json::json;

use crate::DeploymentSpec;
use crate::TestDeployment;

use super::ExperimentError;
use super::Report;
use super::fault::FAULTS;
use super::fault::Fault;
use super::recovery::STREAMS_PER_ENGINE;
use super::recovery::TOKENS;
use super::recovery::measure;
use super::recovery::timings;

/// The deployment sizes of the users: numbers of engines, plain services and availability zones.
const SIZES: [(usize, usize, usize); 2] = [(36, 4, 4), (36, 3, 3)];
/// The number of entries.
const ENTRIES: usize = 3;
/// Both recovery modes.
const RECOVERY_MODES: [Recovery; 2] = [Recovery::Latency, Recovery::Thrift];

/// Kills an engine under load, `rounds` times in each recovery mode.
///
/// # Errors
///
/// Fails when the deployment does not start.
pub async fn engine_death(rounds: usize) -> Result<Report, ExperimentError> {
    let mut report = Report::new("engine-death", setup(rounds));
    run(&mut report, SIZES[0], &[Fault::EngineKilled], rounds).await?;
    Ok(report)
}

/// Injects each fault under load at both deployment sizes, `rounds` times in each recovery mode.
///
/// # Errors
///
/// Fails when a deployment does not start.
pub async fn faults(rounds: usize) -> Result<Report, ExperimentError> {
    let mut report = Report::new("faults", setup(rounds));
    for size in SIZES {
        run(&mut report, size, &FAULTS, rounds).await?;
    }
    Ok(report)
}

fn setup(rounds: usize) -> Value {
    json!({
        "entries": ENTRIES,
        "streams_for_each_engine": STREAMS_PER_ENGINE,
        "tokens": TOKENS,
        "step_ms": timings().step.as_millis(),
        "rounds": rounds,
    })
}

async fn run(
    report: &mut Report,
    (engines, services, zones): (usize, usize, usize),
    faults: &[Fault],
    rounds: usize,
) -> Result<(), ExperimentError> {
    let spec = DeploymentSpec::default()
        .with_engines(engines)
        .with_services(services)
        .with_zones(zones)
        .with_entries(ENTRIES)
        .with_timings(timings())
        .with_forwarders();
    let rig = TestDeployment::start(spec)
        .await
        .map_err(ExperimentError::new)?;
    for &fault in faults {
        for recovery in RECOVERY_MODES {
            report.push(&measure(&rig, fault, recovery, rounds).await?);
        }
    }
    rig.stop().await;
    Ok(())
}
