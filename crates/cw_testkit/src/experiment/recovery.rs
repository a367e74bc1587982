//! Measures how streams recover when their targets fail.

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
use super::concurrent_requests::CompletedRequest;
use super::concurrent_requests::ConcurrentRequests;
use super::concurrent_requests::tally;
use super::engine_work::EngineWork;
use super::engine_work::wait_idle;
use super::fault::Fault;

/// The number of concurrent streams per engine.
pub(super) const STREAMS_PER_ENGINE: usize = 2;
/// The number of tokens in each stream.
pub(super) const TOKENS: u64 = 200;
/// How often a prompt repeats its sentence.
const SENTENCE_REPEATS: usize = 24;
/// How long streams run before the fault.
const TIME_BEFORE_FAULT: Duration = Duration::from_millis(900);
/// The time after a round in which entries learn that the affected targets are back.
const TIME_AFTER_ROUND: Duration = Duration::from_millis(1500);
/// The users' limit for the time until the output of a stream resumes.
const RESUME_LIMIT: Duration = Duration::from_secs(4);

/// The effects of one fault in one recovery mode.
#[data]
pub(super) struct RecoveryRow {
    /// The number of engines.
    engines: usize,
    /// The number of availability zones.
    zones: usize,
    /// The injected fault.
    fault: Fault,
    /// The recovery mode.
    recovery: Recovery,
    /// How often the fault was injected.
    rounds: usize,
    /// The number of streams that it interrupted.
    hit: u64,
    /// The time from the fault until an interrupted stream resumes, as seen by the caller.
    resume: Summary,
    /// Whether the fault interrupted any stream and the longest resume time is within 4 s.
    met: bool,
    /// The time to the first token, over all streams.
    first_token: Summary,
    /// Output tokens computed in excess of those delivered, as a fraction of those delivered.
    extra_output: f64,
    /// Prompt tokens computed by second and later attempts, as a fraction of tokens delivered.
    extra_prompt: f64,
    /// Resumed requests that passed a wrong output prefix to the engine.
    wrong_resumes: u64,
    /// The comparison of the answers with the expected ones.
    tally: Tally,
}

/// Returns the speed of the engines in these experiments.
pub(super) fn timings() -> EngineTimings {
    EngineTimings {
        step: Duration::from_millis(15),
        per_sequence: Duration::from_micros(200),
        per_token: Duration::from_micros(100),
        ..EngineTimings::default()
    }
}

/// Injects a fault under load in each round and returns its effects.
pub(super) async fn measure(
    rig: &TestDeployment,
    fault: Fault,
    recovery: Recovery,
    rounds: usize,
) -> Result<RecoveryRow, ExperimentError> {
    let rounds = fault.rounds(rounds);
    let before = EngineWork::of(&rig.engines);
    let mut times = Vec::new();
    let mut streams = Vec::new();
    for round in 0..rounds {
        let (resume_times, completed) = run_round(rig, fault, recovery, round).await?;
        times.extend(resume_times);
        streams.extend(completed);
    }
    wait_idle(&rig.engines).await;
    let work = EngineWork::of(&rig.engines).since(before);
    let tally = tally(&streams);
    let delivered = tally.delivered.max(1) as f64;
    Ok(RecoveryRow {
        engines: rig.engines.len(),
        zones: rig.spec.zones,
        fault,
        recovery,
        rounds,
        hit: times.len() as u64,
        // A run whose fault interrupted no stream is no evidence that the limit holds.
        met: !times.is_empty() && times.iter().all(|time| *time <= RESUME_LIMIT),
        resume: Summary::of(times),
        first_token: Summary::of(streams.iter().filter_map(CompletedRequest::first_token)),
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
) -> Result<(Vec<Duration>, Vec<CompletedRequest>), ExperimentError> {
    let mut concurrent = ConcurrentRequests::default();
    for number in 0..rig.engines.len() * STREAMS_PER_ENGINE {
        let caller = rig.caller(number % rig.entries.len());
        concurrent.send(caller, ask(recovery, round, number));
    }
    tokio::time::sleep(TIME_BEFORE_FAULT).await;
    let affected = fault.affected_engines(rig, round).await;
    let fault_at = Instant::now();
    fault.inject(rig, &affected).await;
    if let Some(duration) = fault.duration() {
        tokio::time::sleep(duration).await;
        fault.clear(rig, &affected).await?;
    }
    let streams = concurrent.finish().await;
    if fault.duration().is_none() {
        fault.clear(rig, &affected).await?;
    }
    tokio::time::sleep(TIME_AFTER_ROUND).await;
    let names: Vec<String> = affected.iter().map(|n| format!("engine-{n}")).collect();
    let resume_times = streams
        .iter()
        .filter_map(|s| resume_time(s, fault_at, &names));
    Ok((resume_times.collect(), streams))
}

/// Returns how long a stream took to resume, if one of the affected engines served it.
fn resume_time(
    stream: &CompletedRequest,
    fault_at: Instant,
    affected: &[String],
) -> Option<Duration> {
    let answer = stream.outcome.as_ref().ok()?;
    let target = answer.target_at(fault_at)?;
    let is_affected = affected.iter().any(|name| name == target);
    is_affected
        .then(|| answer.resume_latency(fault_at))
        .flatten()
}

/// Returns one request of a round; each request has a different prompt.
fn ask(recovery: Recovery, round: usize, number: usize) -> CompletionRequest {
    let route = match recovery {
        Recovery::Latency => ROUTE_LATENCY,
        Recovery::Thrift => ROUTE_THRIFT,
    };
    let prompt = format!("ledger {round} of group {number} ").repeat(SENTENCE_REPEATS);
    CompletionRequest::new(route, &prompt, TOKENS).with_seed(number as u64)
}
