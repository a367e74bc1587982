//! Engines that die in the middle of streams.

use std::time::Duration;
use std::time::Instant;

use cw_macro::data;
use cw_types::Recovery;
use serde_json::json;

use crate::Ask;
use crate::EngineTimings;
use crate::ROUTE_LATENCY;
use crate::ROUTE_THRIFT;
use crate::Rig;
use crate::RigSpec;

use super::ExperimentError;
use super::Report;
use super::Summary;
use super::Tally;
use super::drive::Drive;
use super::drive::Stream;
use super::drive::tally;
use super::work::Work;
use super::work::wait_idle;

/// The engines.
const ENGINES: usize = 36;
/// The streams that run at once.
const STREAMS: usize = 72;
/// The tokens of each.
const TOKENS: u64 = 200;
/// The words of each prompt.
const PROMPT_WORDS: usize = 120;
/// The time before the engine dies.
const BEFORE: Duration = Duration::from_millis(900);

/// What one way of recovery costs.
#[data]
struct Row {
    recovery: Recovery,
    deaths: usize,
    resumed: u64,
    resume: Summary,
    first_token: Summary,
    extra_output: f64,
    extra_prompt: f64,
    wrong_resumes: u64,
    tally: Tally,
}

/// Kills an engine under load, `rounds` times for each way of recovery.
///
/// # Errors
///
/// Fails when the deployment does not start.
pub async fn engine_death(rounds: usize) -> Result<Report, ExperimentError> {
    let spec = RigSpec::default()
        .with_engines(ENGINES)
        .with_services(4)
        .with_zones(4)
        .with_entries(3)
        .with_timings(timings());
    let rig = Rig::start(spec).await.map_err(ExperimentError::new)?;
    let mut report = Report::new(
        "engine-death",
        json!({
            "engines": ENGINES,
            "services": 4,
            "zones": 4,
            "entries": 3,
            "streams": STREAMS,
            "tokens": TOKENS,
            "step_ms": timings().step.as_millis(),
            "rounds": rounds,
        }),
    );
    for recovery in [Recovery::Latency, Recovery::Thrift] {
        report.push(&measure(&rig, recovery, rounds).await?);
    }
    rig.stop().await;
    Ok(report)
}

fn timings() -> EngineTimings {
    EngineTimings {
        step: Duration::from_millis(15),
        sequence: Duration::from_micros(200),
        prefill: Duration::from_micros(100),
        ..EngineTimings::default()
    }
}

async fn measure(rig: &Rig, recovery: Recovery, rounds: usize) -> Result<Row, ExperimentError> {
    let mut times = Vec::new();
    let mut streams = Vec::new();
    let before = Work::of(&rig.engines);
    for round in 0..rounds {
        let victim = round % rig.engines.len();
        let (fault, done) = run_round(rig, recovery, round, victim).await?;
        let name = format!("engine-{victim}");
        let hit = done.iter().filter_map(|stream| hit(stream, fault, &name));
        times.extend(hit);
        streams.extend(done);
    }
    wait_idle(&rig.engines).await;
    let work = Work::of(&rig.engines).since(before);
    let tally = tally(&streams);
    let delivered = tally.delivered.max(1) as f64;
    Ok(Row {
        recovery,
        deaths: rounds,
        resumed: times.len() as u64,
        resume: Summary::of(times),
        first_token: Summary::of(streams.iter().filter_map(Stream::first_token)),
        extra_output: work.output.saturating_sub(tally.delivered) as f64 / delivered,
        extra_prompt: work.again as f64 / delivered,
        wrong_resumes: work.wrong,
        tally,
    })
}

async fn run_round(
    rig: &Rig,
    recovery: Recovery,
    round: usize,
    victim: usize,
) -> Result<(Instant, Vec<Stream>), ExperimentError> {
    let mut drive = Drive::default();
    for number in 0..STREAMS {
        let caller = rig.caller(number % rig.entries.len());
        drive.send(caller, ask(recovery, round, number));
    }
    tokio::time::sleep(BEFORE).await;
    let fault = Instant::now();
    rig.engines[victim].kill().await;
    let streams = drive.finish().await;
    let engine = &rig.engines[victim];
    engine.restart().await.map_err(ExperimentError::new)?;
    Ok((fault, streams))
}

/// Returns how long a stream that the dead engine served took to go on.
fn hit(stream: &Stream, fault: Instant, victim: &str) -> Option<Duration> {
    let answer = stream.outcome.as_ref().ok()?;
    match answer.target_at(fault) {
        Some(target) if target == victim => answer.resumed_after(fault),
        _ => None,
    }
}

/// Returns one request of a round; each has a prompt of its own.
fn ask(recovery: Recovery, round: usize, number: usize) -> Ask {
    let route = match recovery {
        Recovery::Latency => ROUTE_LATENCY,
        Recovery::Thrift => ROUTE_THRIFT,
    };
    let prompt = format!("ledger {round} of group {number} ").repeat(PROMPT_WORDS / 5);
    Ask::new(route, &prompt, TOKENS).with_seed(number as u64)
}
