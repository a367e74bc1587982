//! The latency, processor time and memory that an entry and an agent add to an engine.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use cw_macro::data;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;

use crate::Caller;
use crate::CompletionReader;
use crate::CompletionRequest;
use crate::DeploymentSpec;
use crate::EngineFaults;
use crate::EngineTimings;
use crate::MODEL;
use crate::ROUTE_LATENCY;
use crate::TestDeployment;
use crate::VERSION;

use super::ExperimentError;
use super::Report;
use super::Summary;
use super::process::cpu_of_threads;
use super::process::resident_bytes;

/// The number of requests for the time to the first token, both direct and through an entry.
const SAMPLES: u64 = 2000;
/// The number of streams that run concurrently to measure throughput.
const CONCURRENT_STREAMS: u64 = 200;
/// How long tokens are counted to measure throughput.
const COUNT_PERIOD: Duration = Duration::from_secs(8);
/// How long streams run before tokens are counted.
const WARM_UP: Duration = Duration::from_secs(2);
/// The number of open streams to measure memory, both direct and through an entry.
const OPEN_STREAMS: u64 = 600;
/// The number of tokens that each open stream has received when memory is measured.
const TOKENS_PER_OPEN_STREAM: usize = 64;
/// An output length in tokens that no stream reaches during an experiment.
const UNREACHED_TOKENS: u64 = 1 << 20;
/// The name of the threads that serve an entry's traffic.
const ENTRY_THREAD: &str = "traffic";
/// A time limit that no experiment reaches.
const UNREACHED_TIME: Duration = Duration::from_secs(3600);

/// The limit for the added median time to the first token, in milliseconds.
const MAX_ADDED_MS: f64 = 1.0;
/// The required throughput of an entry, in tokens per second per core.
const MIN_TOKENS_PER_CORE_S: f64 = 100_000.0;
/// The limit for the memory that a stream adds, in bytes.
const MAX_STREAM_BYTES: f64 = 65_536.0;

#[data]
struct FirstTokenRow {
    measure: String,
    direct: Summary,
    through: Summary,
    added_p50_ms: f64,
    added_p95_ms: f64,
    aim_p50_ms: f64,
    met: bool,
}

#[data]
struct ThroughputRow {
    measure: String,
    streams: u64,
    tokens_per_s: f64,
    cores_used: f64,
    tokens_per_core_s: f64,
    aim_per_core_s: f64,
    met: bool,
}

#[data]
struct MemoryRow {
    measure: String,
    streams: u64,
    tokens_each: usize,
    direct_bytes: f64,
    through_bytes: f64,
    added_bytes: f64,
    aim_bytes: f64,
    met: bool,
}

/// Compares one entry and its agents with direct calls to the same engines.
///
/// # Errors
///
/// Fails when a deployment does not start or a call fails.
pub async fn overhead() -> Result<Report, ExperimentError> {
    let setup = json!({
        "entries": 1,
        "samples": SAMPLES,
        "streams": CONCURRENT_STREAMS,
        "span_s": COUNT_PERIOD.as_secs(),
        "core": "processor time of the entry's traffic threads, from /proc/self/task",
        "memory": "growth of the process's resident set; callers and engines are in it both ways",
    });
    let mut report = Report::new("overhead", setup);
    report.push(&memory().await?);
    report.push(&first_token().await?);
    report.push(&throughput().await?);
    Ok(report)
}

fn timings(step: Duration) -> EngineTimings {
    EngineTimings {
        step,
        per_sequence: Duration::ZERO,
        per_token: Duration::ZERO,
        max_batch: 1024,
        max_queue: 1024,
        cache_tokens: 1 << 40,
        ..EngineTimings::default()
    }
}

fn spec(engines: usize, step: Duration) -> DeploymentSpec {
    let mut spec = DeploymentSpec::default()
        .with_entries(1)
        .with_engines(engines)
        .with_services(0)
        .with_timings(timings(step));
    spec.engine.running = 1024;
    spec.engine.step = UNREACHED_TIME;
    spec.recovery.stall = UNREACHED_TIME;
    spec.recovery.latency_stall = UNREACHED_TIME;
    spec
}

/// Returns the body of a request that is sent to an engine directly.
fn direct_body(number: u64, tokens: u64) -> Value {
    json!({
        "model": MODEL,
        "version": VERSION,
        "prompt": format!("ledger {number}"),
        "max_tokens": tokens,
        "stream": true,
        "return_token_ids": true,
        "request_id": format!("{number:032x}/1"),
    })
}

// ---- First token

async fn first_token() -> Result<FirstTokenRow, ExperimentError> {
    let rig = start_rig(spec(1, Duration::ZERO)).await?;
    let engine = Caller::new(rig.engines[0].address, "-");
    let entry = rig.caller(0);
    let (mut direct_times, mut through_times) = (Vec::new(), Vec::new());
    for number in 0..SAMPLES {
        let sent = Instant::now();
        let mut reading = engine
            .open_stream_with_body(&direct_body(number, 1))
            .await?;
        reading.read_tokens(1).await?;
        direct_times.push(sent.elapsed());
        reading.finish().await?;
        let ask = CompletionRequest::new(ROUTE_LATENCY, &format!("ledger {number}"), 1);
        let sent = Instant::now();
        let mut reading = entry.open_stream(&ask).await?;
        reading.read_tokens(1).await?;
        through_times.push(sent.elapsed());
        reading.finish().await?;
    }
    rig.stop().await;
    let (direct, through) = (Summary::of(direct_times), Summary::of(through_times));
    let added_p50_ms = through.p50_ms - direct.p50_ms;
    Ok(FirstTokenRow {
        measure: "time to first token".to_owned(),
        direct,
        through,
        added_p50_ms,
        added_p95_ms: through.p95_ms - direct.p95_ms,
        aim_p50_ms: MAX_ADDED_MS,
        met: added_p50_ms < MAX_ADDED_MS,
    })
}

// ---- Throughput

async fn throughput() -> Result<ThroughputRow, ExperimentError> {
    let rig = start_rig(spec(8, Duration::from_millis(1))).await?;
    let token_count = Arc::new(AtomicU64::new(0));
    let mut tasks = JoinSet::new();
    for number in 0..CONCURRENT_STREAMS {
        let ask =
            CompletionRequest::new(ROUTE_LATENCY, &format!("ledger {number}"), UNREACHED_TOKENS);
        tasks.spawn(count_tokens(rig.caller(0), ask, Arc::clone(&token_count)));
    }
    tokio::time::sleep(WARM_UP).await;
    let (start, tokens, cpu) = sample(&token_count);
    tokio::time::sleep(COUNT_PERIOD).await;
    let (end, tokens_end, cpu_end) = sample(&token_count);
    tasks.shutdown().await;
    rig.stop().await;
    let seconds = (end - start).as_secs_f64();
    let tokens_per_s = (tokens_end - tokens) as f64 / seconds;
    let cores_used = (cpu_end.saturating_sub(cpu)).as_secs_f64() / seconds;
    let tokens_per_core_s = tokens_per_s / cores_used.max(0.01);
    Ok(ThroughputRow {
        measure: "tokens through one entry".to_owned(),
        streams: CONCURRENT_STREAMS,
        tokens_per_s,
        cores_used,
        tokens_per_core_s,
        aim_per_core_s: MIN_TOKENS_PER_CORE_S,
        met: tokens_per_core_s >= MIN_TOKENS_PER_CORE_S,
    })
}

fn sample(token_count: &AtomicU64) -> (Instant, u64, Duration) {
    let tokens = token_count.load(Ordering::Relaxed);
    (Instant::now(), tokens, cpu_of_threads(ENTRY_THREAD))
}

async fn count_tokens(caller: Caller, ask: CompletionRequest, token_count: Arc<AtomicU64>) {
    let Ok(mut reading) = caller.open_stream(&ask).await else {
        return;
    };
    let mut before = 0;
    while let Ok(Some(_)) = reading.next().await {
        let tokens = reading.completion.ids.len();
        token_count.fetch_add((tokens - before) as u64, Ordering::Relaxed);
        before = tokens;
    }
}

// ---- Memory

async fn memory() -> Result<MemoryRow, ExperimentError> {
    let rig = start_rig(spec(4, Duration::from_millis(10))).await?;
    for engine in &rig.engines {
        engine.set_faults(EngineFaults {
            stall_after: Some(TOKENS_PER_OPEN_STREAM as u64),
            ..EngineFaults::default()
        });
    }
    let before = resident_bytes();
    let mut direct_readings = Vec::new();
    for number in 0..OPEN_STREAMS {
        let engine = &rig.engines[(number % 4) as usize];
        let caller = Caller::new(engine.address, "-");
        direct_readings.push(
            caller
                .open_stream_with_body(&direct_body(number, UNREACHED_TOKENS))
                .await?,
        );
    }
    read_all(&mut direct_readings).await?;
    let after_direct = resident_bytes();
    let mut readings = Vec::new();
    for number in 0..OPEN_STREAMS {
        let ask =
            CompletionRequest::new(ROUTE_LATENCY, &format!("ledger {number}"), UNREACHED_TOKENS);
        readings.push(rig.caller(0).open_stream(&ask).await?);
    }
    read_all(&mut readings).await?;
    let after_through = resident_bytes();
    drop((readings, direct_readings));
    rig.stop().await;
    let direct_bytes = after_direct.saturating_sub(before) as f64 / OPEN_STREAMS as f64;
    let through_bytes = after_through.saturating_sub(after_direct) as f64 / OPEN_STREAMS as f64;
    Ok(MemoryRow {
        measure: "memory of an open stream".to_owned(),
        streams: OPEN_STREAMS,
        tokens_each: TOKENS_PER_OPEN_STREAM,
        direct_bytes,
        through_bytes,
        added_bytes: through_bytes - direct_bytes,
        aim_bytes: MAX_STREAM_BYTES,
        met: through_bytes - direct_bytes < MAX_STREAM_BYTES,
    })
}

async fn read_all(readings: &mut [CompletionReader]) -> Result<(), ExperimentError> {
    for reading in readings {
        reading.read_tokens(TOKENS_PER_OPEN_STREAM).await?;
    }
    Ok(())
}

async fn start_rig(spec: DeploymentSpec) -> Result<TestDeployment, ExperimentError> {
    TestDeployment::start(spec)
        .await
        .map_err(ExperimentError::new)
}
