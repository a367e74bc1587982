//! Streams whose targets fail.

use std::time::Duration;
use std::time::Instant;

use cw_macro::data;
use cw_types::Recovery;

use crate::CompletionRequest;
use crate::EngineTimings;
use crate::ROUTE_LATENCY;
use crate::ROUTE_THRIFT;
use crate::TestDeployment;

use super::ExperimentError;
use super::Summary;
use super::Tally;
use super::drive::Drive;
use super::drive::Stream;
use super::drive::tally;
use super::fault::Fault;
use super::work::Work;
use super::work::wait_idle;

/// The streams that run at once, for each engine.
pub(super) const STREAMS_EACH: usize = 2;
/// The tokens of each stream.
pub(super) const TOKENS: u64 = 200;
/// How often each prompt repeats its sentence.
const SENTENCES: usize = 24;
/// The time before the fault.
const BEFORE: Duration = Duration::from_millis(900);
/// The time after a fault for returning targets to be known again.
const AFTER: Duration = Duration::from_millis(1500);
/// Output goes on within this time, as the users ask.
const TARGET: Duration = Duration::from_secs(4);

/// What one fault costs with one way of recovery.
#[data]
pub(super) struct RecoveryRow {
    /// The engines.
    engines: usize,
    /// The availability zones.
    zones: usize,
    /// The fault.
    fault: Fault,
    /// The way of recovery.
    recovery: Recovery,
    /// How often the fault was caused.
    rounds: usize,
    /// The streams that it hit.
    hit: u64,
    /// The time from the fault until a stream that it hit went on, at the caller.
    resume: Summary,
    /// Whether the longest of them is within 4 s.
    met: bool,
    /// The time to the first token of all streams.
    first_token: Summary,
    /// Output tokens computed beyond those delivered, as a fraction of them.
    extra_output: f64,
    /// Prompt tokens computed by second and later attempts, as a fraction of tokens delivered.
    extra_prompt: f64,
    /// Resumed requests whose output so far was wrong.
    wrong_resumes: u64,
    /// What was wrong with the answers.
    tally: Tally,
}

/// How fast engines are in these experiments.
pub(super) fn timings() -> EngineTimings {
    EngineTimings {
        step: Duration::from_millis(15),
        per_sequence: Duration::from_micros(200),
        per_token: Duration::from_micros(100),
        ..EngineTimings::default()
    }
}

/// Causes a fault under load, again and again.
pub(super) async fn measure(
    rig: &TestDeployment,
    fault: Fault,
    recovery: Recovery,
    rounds: usize,
) -> Result<RecoveryRow, ExperimentError> {
    let rounds = fault.rounds(rounds);
    let before = Work::of(&rig.engines);
    let mut times = Vec::new();
    let mut streams = Vec::new();
    for round in 0..rounds {
        let (hit, done) = run_round(rig, fault, recovery, round).await?;
        times.extend(hit);
        streams.extend(done);
    }
    wait_idle(&rig.engines).await;
    let work = Work::of(&rig.engines).since(before);
    let tally = tally(&streams);
    let delivered = tally.delivered.max(1) as f64;
    Ok(RecoveryRow {
        engines: rig.engines.len(),
        zones: rig.spec.zones,
        fault,
        recovery,
        rounds,
        hit: times.len() as u64,
        // A fault that hit no stream shows nothing.
        met: !times.is_empty() && times.iter().all(|time| *time <= TARGET),
        resume: Summary::of(times),
        first_token: Summary::of(streams.iter().filter_map(Stream::first_token)),
        extra_output: work.output.saturating_sub(tally.delivered) as f64 / delivered,
        extra_prompt: work.again as f64 / delivered,
        wrong_resumes: work.wrong,
        tally,
    })
}

async fn run_round(
    rig: &TestDeployment,
    fault: Fault,
    recovery: Recovery,
    round: usize,
) -> Result<(Vec<Duration>, Vec<Stream>), ExperimentError> {
    let mut drive = Drive::default();
    for number in 0..rig.engines.len() * STREAMS_EACH {
        let caller = rig.caller(number % rig.entries.len());
        drive.send(caller, ask(recovery, round, number));
    }
    tokio::time::sleep(BEFORE).await;
    let victims = fault.victims(rig, round).await;
    let moment = Instant::now();
    fault.cause(rig, &victims).await;
    if let Some(span) = fault.lasts() {
        tokio::time::sleep(span).await;
        fault.end(rig, &victims).await?;
    }
    let streams = drive.finish().await;
    if fault.lasts().is_none() {
        fault.end(rig, &victims).await?;
    }
    tokio::time::sleep(AFTER).await;
    let names: Vec<String> = victims.iter().map(|n| format!("engine-{n}")).collect();
    let hit = streams.iter().filter_map(|s| resumed(s, moment, &names));
    Ok((hit.collect(), streams))
}

/// Returns how long a stream that a lost target served took to go on.
fn resumed(stream: &Stream, moment: Instant, victims: &[String]) -> Option<Duration> {
    let answer = stream.outcome.as_ref().ok()?;
    let target = answer.target_at(moment)?;
    let hit = victims.iter().any(|name| name == target);
    hit.then(|| answer.resume_latency(moment)).flatten()
}

/// Returns one request of a round; each has a prompt of its own.
fn ask(recovery: Recovery, round: usize, number: usize) -> CompletionRequest {
    let route = match recovery {
        Recovery::Latency => ROUTE_LATENCY,
        Recovery::Thrift => ROUTE_THRIFT,
    };
    let prompt = format!("ledger {round} of group {number} ").repeat(SENTENCES);
    CompletionRequest::new(route, &prompt, TOKENS).with_seed(number as u64)
}
