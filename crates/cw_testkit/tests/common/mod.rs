//! Helpers that the test files share.
#![allow(
    dead_code,
    unreachable_pub,
    clippy::allow_attributes,
    reason = "each test file uses only some of the helpers"
)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cw_testkit::CallResponse;
use cw_testkit::Caller;
use cw_testkit::CompletionReader;
use cw_testkit::CompletionRequest;
use cw_testkit::DeploymentSpec;
use cw_testkit::EngineSpec;
use cw_testkit::EngineTimings;
use cw_testkit::FakeEngine;
use cw_testkit::FakeService;
use cw_testkit::MODEL;
use cw_testkit::ROUTE_LATENCY;
use cw_testkit::ROUTE_THRIFT;
use cw_testkit::TestDeployment;
use cw_testkit::VERSION;
use cw_types::Recovery;
use cw_types::TokenId;
use http::Method;
use serde_json::Value;

/// The time limit of every wait in the tests, so that a hanging test fails.
pub const HANG_TIMEOUT: Duration = Duration::from_secs(60);

/// Waits for `work`, and panics if it takes longer than [`HANG_TIMEOUT`].
pub async fn within_timeout<T>(work: impl Future<Output = T>) -> T {
    tokio::time::timeout(HANG_TIMEOUT, work)
        .await
        .expect("the work completes within the time limit")
}

/// Polls until `condition` holds, and panics after [`HANG_TIMEOUT`].
pub async fn wait_until(mut condition: impl FnMut() -> bool) {
    within_timeout(async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
}

/// Engine timings with short steps, and without delays or lost cache events.
pub fn fast_timings() -> EngineTimings {
    EngineTimings {
        step: Duration::from_millis(2),
        per_sequence: Duration::ZERO,
        per_token: Duration::ZERO,
        report_lag: Duration::ZERO,
        event_lag: Duration::ZERO,
        event_loss: 0,
        cache_tokens: 1 << 24,
        restart_delay: Duration::from_millis(100),
        ..EngineTimings::default()
    }
}

/// Starts a single engine with the model of the tests.
pub async fn start_engine(timings: EngineTimings) -> FakeEngine {
    let spec = EngineSpec::default()
        .with_version(MODEL, VERSION)
        .with_timings(timings);
    FakeEngine::start(spec).await.expect("a port is free")
}

/// Calls a fake or the admin interface of a process.
pub async fn call_fake(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &Value,
) -> CallResponse {
    let caller = Caller::new(address, "-");
    let body = body.to_string();
    within_timeout(caller.call(method, path, &BTreeMap::new(), body))
        .await
        .expect("the server responds")
}

// ---- Deployments

/// The form of the response to a generation request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// As a stream of events.
    Stream,
    /// As a single response.
    Whole,
}

/// Returns the specification of a small deployment with fast engines.
pub fn small_spec() -> DeploymentSpec {
    let timings = EngineTimings {
        step: Duration::from_millis(5),
        ..fast_timings()
    };
    DeploymentSpec::default()
        .with_engines(4)
        .with_services(4)
        .with_timings(timings)
}

/// Starts a deployment.
pub async fn start_deployment(spec: DeploymentSpec) -> TestDeployment {
    within_timeout(TestDeployment::start(spec))
        .await
        .expect("the deployment starts")
}

/// Returns the route with this recovery mode.
pub fn route(recovery: Recovery) -> &'static str {
    match recovery {
        Recovery::Latency => ROUTE_LATENCY,
        Recovery::Thrift => ROUTE_THRIFT,
    }
}

/// Returns the expected output of a request.
pub fn expected(request: &CompletionRequest) -> Vec<TokenId> {
    request.expected(MODEL, VERSION)
}

/// Returns the index of the engine that serves a stream.
pub fn serving_engine(deployment: &TestDeployment, reader: &CompletionReader) -> usize {
    let completion = &reader.completion;
    let target = completion
        .target_at(Instant::now())
        .expect("tokens have arrived");
    deployment.engine_index(target)
}

/// Waits until an engine has a request, and returns its index.
pub async fn busy_engine(deployment: &TestDeployment) -> usize {
    within_timeout(async {
        loop {
            for (number, engine) in deployment.engines.iter().enumerate() {
                if engine.request_count().await > 0 {
                    return number;
                }
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    })
    .await
}

/// Returns how many calls with this body all services together have executed.
pub fn run_count(deployment: &TestDeployment, body: &str) -> u64 {
    let count = |service: &FakeService| service.runs().get(body).copied().unwrap_or_default();
    deployment.services.iter().map(count).sum()
}
