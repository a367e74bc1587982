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

/// The tokens of each recorded generation.
const TOKENS: u64 = 120;
/// The tokens that have come when the fault is caused.
const BEFORE: usize = 10;
/// How long a trace may take to be kept.
const PATIENCE: Duration = Duration::from_secs(30);
/// The pause between looks.
const PAUSE: Duration = Duration::from_millis(50);

/// The faults in the middle of a stream that are recorded, with both ways of recovery.
const STREAMS: [(&str, Fault); 4] = [
    ("engine-killed", Fault::EngineKilled),
    ("host-lost", Fault::HostLost),
    ("engine-paused", Fault::ShortPause),
    ("connection-silent", Fault::ConnectionSilent),
];

/// Records one trace for each kind of failure into `directory`.
///
/// # Errors
///
/// Fails when a deployment does not start, no trace is kept, or a file cannot be written.
pub async fn record(directory: &Path) -> Result<(), ExperimentError> {
    std::fs::create_dir_all(directory).map_err(ExperimentError::new)?;
    for (name, fault) in STREAMS {
        for recovery in [Recovery::Latency, Recovery::Thrift] {
            let (route, suffix) = match recovery {
                Recovery::Latency => (ROUTE_LATENCY, "latency"),
                Recovery::Thrift => (ROUTE_THRIFT, "thrift"),
            };
            let trace = broken_stream(route, fault).await?;
            write(directory, &format!("{name}-{suffix}"), &trace)?;
        }
    }
    write(directory, "every-engine-lost", &every_engine_lost().await?)?;
    write(directory, "call-once-lost", &call_once_lost().await?)
}

async fn rig() -> Result<TestDeployment, ExperimentError> {
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

/// Opens a stream and reads its beginning.
async fn begun(rig: &TestDeployment, route: &str) -> Result<CompletionReader, ExperimentError> {
    let ask = CompletionRequest::new(route, "a ledger", TOKENS);
    let mut reading = rig.caller(0).open_stream(&ask).await?;
    reading.read_tokens(BEFORE).await?;
    Ok(reading)
}

async fn broken_stream(route: &str, fault: Fault) -> Result<String, ExperimentError> {
    let rig = rig().await?;
    let reading = begun(&rig, route).await?;
    let target = reading.completion.target_at(std::time::Instant::now());
    let victim = rig.engine_index(target.unwrap_or_default());
    fault.cause(&rig, &[victim]).await;
    reading.finish().await.map_err(ExperimentError::new)?;
    fault.end(&rig, &[victim]).await?;
    kept(&rig).await
}

async fn every_engine_lost() -> Result<String, ExperimentError> {
    let rig = rig().await?;
    let reading = begun(&rig, ROUTE_LATENCY).await?;
    for engine in &rig.engines {
        engine.kill().await;
    }
    // The stream ends with an error, which is what is recorded.
    let _ = reading.finish().await;
    kept(&rig).await
}

async fn call_once_lost() -> Result<String, ExperimentError> {
    let rig = rig().await?;
    for service in &rig.services {
        service.set_delay(PAUSE * 10);
    }
    let caller = rig.caller(0);
    let path = format!("/v1/services/{SERVICE_ONCE}/notices");
    let headers = BTreeMap::new();
    let call = caller.call(Method::POST, &path, &headers, "notice".to_owned());
    let loss = async {
        tokio::time::sleep(PAUSE * 4).await;
        for service in &rig.services {
            service.kill().await;
        }
    };
    let _ = tokio::join!(call, loss);
    kept(&rig).await
}

/// Waits for the one trace that the entry keeps.
async fn kept(rig: &TestDeployment) -> Result<String, ExperimentError> {
    let tries = PATIENCE.as_millis() / PAUSE.as_millis();
    for _ in 0..tries {
        if let Some(trace) = rig.entries[0].traces().await.pop() {
            rig.stop().await;
            return Ok(trace);
        }
        tokio::time::sleep(PAUSE).await;
    }
    Err(ExperimentError::new("no trace was kept"))
}

/// Writes a trace with the outcome that it had.
fn write(directory: &Path, name: &str, trace: &str) -> Result<(), ExperimentError> {
    let outcome = replay(trace).map_err(ExperimentError::new)?;
    let outcome = outcome.map_err(ExperimentError::new)?;
    let (head, rest) = trace.split_once('\n').unwrap_or((trace, ""));
    let mut head: TraceHeader = serde_json::from_str(head).map_err(ExperimentError::new)?;
    head.outcome = Some(outcome);
    let head = serde_json::to_string(&head).map_err(ExperimentError::new)?;
    let file = directory.join(format!("{name}.jsonl"));
    std::fs::write(file, format!("{head}\n{rest}")).map_err(ExperimentError::new)
}
