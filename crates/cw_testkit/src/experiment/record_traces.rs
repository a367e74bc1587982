//! Records the traces that the tests replay, one for each kind of failure.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use cw_policy::trace::TraceHeader;
use cw_policy::trace::replay;
use cw_types::ByteSize;
use cw_types::Recovery;
use cyclamenwharf::TraceSettings;
use http::Method;

use crate::CompletionReader;
use crate::CompletionRequest;
use crate::DeploymentSpec;
use crate::EngineTimings;
use crate::ROUTE_LATENCY;
use crate::ROUTE_THRIFT;
use crate::SERVICE_ONCE;
use crate::TestDeployment;

use super::ExperimentError;
use super::fault::Fault;

/// The number of tokens in each recorded generation.
const TOKENS: u64 = 120;
/// The number of tokens that are received before the fault is injected.
const TOKENS_BEFORE_FAULT: usize = 10;
/// How long to wait until the entry has stored the trace.
const TRACE_TIMEOUT: Duration = Duration::from_secs(30);
/// How often the entry is polled for the trace.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The faults that are injected in the middle of a stream, each in both recovery modes, with the
/// prefix of the file names.
const STREAM_FAULTS: [(&str, Fault); 4] = [
    ("engine-killed", Fault::EngineKilled),
    ("host-lost", Fault::HostLost),
    ("engine-paused", Fault::ShortPause),
    ("connection-silent", Fault::ConnectionSilent),
];

/// Records one trace for each kind of failure into `directory`.
///
/// # Errors
///
/// Fails when a deployment does not start, no trace is stored, or a file cannot be written.
pub async fn record_traces(directory: &Path) -> Result<(), ExperimentError> {
    std::fs::create_dir_all(directory).map_err(ExperimentError::new)?;
    for (name, fault) in STREAM_FAULTS {
        for recovery in [Recovery::Latency, Recovery::Thrift] {
            let (route, suffix) = match recovery {
                Recovery::Latency => (ROUTE_LATENCY, "latency"),
                Recovery::Thrift => (ROUTE_THRIFT, "thrift"),
            };
            let trace = interrupted_stream(route, fault).await?;
            write_trace(directory, &format!("{name}-{suffix}"), &trace)?;
        }
    }
    write_trace(directory, "every-engine-lost", &every_engine_lost().await?)?;
    write_trace(directory, "call-once-lost", &call_once_lost().await?)
}

async fn start_rig() -> Result<TestDeployment, ExperimentError> {
    let timings = EngineTimings {
        step: Duration::from_millis(5),
        ..EngineTimings::default()
    };
    let trace = TraceSettings {
        kept: ByteSize::mib(8),
        bodies: false,
    };
    let spec = DeploymentSpec::default()
        .with_entries(1)
        .with_timings(timings)
        .with_trace(trace)
        .with_forwarders();
    TestDeployment::start(spec)
        .await
        .map_err(ExperimentError::new)
}

/// Opens a stream and reads its first tokens.
async fn open_stream(
    rig: &TestDeployment,
    route: &str,
) -> Result<CompletionReader, ExperimentError> {
    let ask = CompletionRequest::new(route, "a ledger", TOKENS);
    let mut reading = rig.caller(0).open_stream(&ask).await?;
    reading.read_tokens(TOKENS_BEFORE_FAULT).await?;
    Ok(reading)
}

async fn interrupted_stream(route: &str, fault: Fault) -> Result<String, ExperimentError> {
    let rig = start_rig().await?;
    let reading = open_stream(&rig, route).await?;
    let target = reading.completion.target_at(std::time::Instant::now());
    let affected = rig.engine_index(target.unwrap_or_default());
    fault.inject(&rig, &[affected]).await;
    reading.finish().await.map_err(ExperimentError::new)?;
    fault.clear(&rig, &[affected]).await?;
    wait_for_trace(&rig).await
}

async fn every_engine_lost() -> Result<String, ExperimentError> {
    let rig = start_rig().await?;
    let reading = open_stream(&rig, ROUTE_LATENCY).await?;
    for engine in &rig.engines {
        engine.kill().await;
    }
    // The error that ends the stream is the outcome to record.
    let _ = reading.finish().await;
    wait_for_trace(&rig).await
}

async fn call_once_lost() -> Result<String, ExperimentError> {
    let rig = start_rig().await?;
    for service in &rig.services {
        service.set_delay(POLL_INTERVAL * 10);
    }
    let caller = rig.caller(0);
    let path = format!("/v1/services/{SERVICE_ONCE}/notices");
    let headers = BTreeMap::new();
    let call = caller.call(Method::POST, &path, &headers, "notice".to_owned());
    let loss = async {
        tokio::time::sleep(POLL_INTERVAL * 4).await;
        for service in &rig.services {
            service.kill().await;
        }
    };
    let _ = tokio::join!(call, loss);
    wait_for_trace(&rig).await
}

/// Waits for the trace of the only request, then stops the deployment.
async fn wait_for_trace(rig: &TestDeployment) -> Result<String, ExperimentError> {
    let attempts = TRACE_TIMEOUT.as_millis() / POLL_INTERVAL.as_millis();
    for _ in 0..attempts {
        if let Some(trace) = rig.entries[0].traces().await.pop() {
            rig.stop().await;
            return Ok(trace);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Err(ExperimentError::new("the entry stored no trace in time"))
}

/// Writes a trace to a file, with the outcome of its replay in the header.
fn write_trace(directory: &Path, name: &str, trace: &str) -> Result<(), ExperimentError> {
    let outcome = replay(trace).map_err(ExperimentError::new)?;
    let outcome = outcome.map_err(ExperimentError::new)?;
    let (header, rest) = trace.split_once('\n').unwrap_or((trace, ""));
    let mut header: TraceHeader = serde_json::from_str(header).map_err(ExperimentError::new)?;
    header.outcome = Some(outcome);
    let header = serde_json::to_string(&header).map_err(ExperimentError::new)?;
    let file = directory.join(format!("{name}.jsonl"));
    std::fs::write(file, format!("{header}\n{rest}")).map_err(ExperimentError::new)
}
