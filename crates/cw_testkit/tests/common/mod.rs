//! Fixtures that several test files share.
#![allow(
    dead_code,
    unreachable_pub,
    clippy::allow_attributes,
    reason = "each test file uses a part"
)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cw_testkit::Ask;
use cw_testkit::Caller;
use cw_testkit::Engine;
use cw_testkit::EngineSpec;
use cw_testkit::EngineTimings;
use cw_testkit::MODEL;
use cw_testkit::PlainService;
use cw_testkit::ROUTE_LATENCY;
use cw_testkit::ROUTE_THRIFT;
use cw_testkit::Reading;
use cw_testkit::Reply;
use cw_testkit::Rig;
use cw_testkit::RigSpec;
use cw_testkit::VERSION;
use cw_types::Recovery;
use cw_types::TokenId;
use http::Method;
use serde_json::Value;

/// How long a test may wait for something that must come.
pub const GUARD: Duration = Duration::from_secs(60);

/// Waits for something that must come.
pub async fn soon<T>(work: impl Future<Output = T>) -> T {
    tokio::time::timeout(GUARD, work)
        .await
        .expect("the guard against hanging was reached")
}

/// Waits until a condition holds.
pub async fn until(mut condition: impl FnMut() -> bool) {
    soon(async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
}

/// Timings of an engine that loses no time.
pub fn fast() -> EngineTimings {
    EngineTimings {
        step: Duration::from_millis(2),
        sequence: Duration::ZERO,
        prefill: Duration::ZERO,
        report_lag: Duration::ZERO,
        event_lag: Duration::ZERO,
        event_loss: 0,
        capacity: 1 << 24,
        restart: Duration::from_millis(100),
        ..EngineTimings::default()
    }
}

/// Starts an engine by itself.
pub async fn engine(timings: EngineTimings) -> Engine {
    let spec = EngineSpec::default()
        .with_version(MODEL, VERSION)
        .with_timings(timings);
    Engine::start(spec).await.expect("a port is free")
}

/// Calls any stand-in.
pub async fn call(address: SocketAddr, method: Method, path: &str, body: &Value) -> Reply {
    let caller = Caller::new(address, "-");
    let body = body.to_string();
    soon(caller.call(method, path, &BTreeMap::new(), body))
        .await
        .expect("the stand-in answers")
}

// ---- Deployments

/// How a request is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// As a stream of events.
    Stream,
    /// In one piece.
    Whole,
}

/// A small deployment.
pub fn small() -> RigSpec {
    let timings = EngineTimings {
        step: Duration::from_millis(5),
        ..fast()
    };
    RigSpec::default()
        .with_engines(4)
        .with_services(4)
        .with_timings(timings)
}

/// Starts a deployment.
pub async fn rig(spec: RigSpec) -> Rig {
    soon(Rig::start(spec)).await.expect("the deployment starts")
}

/// Returns the route with this way of recovery.
pub fn route(recovery: Recovery) -> &'static str {
    match recovery {
        Recovery::Latency => ROUTE_LATENCY,
        Recovery::Thrift => ROUTE_THRIFT,
    }
}

/// Returns the output that a request must have.
pub fn expected(ask: &Ask) -> Vec<TokenId> {
    ask.expected(MODEL, VERSION)
}

/// Returns the engine that serves a stream.
pub fn serving(rig: &Rig, reading: &Reading) -> usize {
    let answer = &reading.answer;
    let target = answer.target_at(Instant::now()).expect("tokens have come");
    rig.engine_number(target)
}

/// Waits until an engine is busy, and returns it.
pub async fn busy(rig: &Rig) -> usize {
    soon(async {
        loop {
            for (number, engine) in rig.engines.iter().enumerate() {
                if engine.busy().await > 0 {
                    return number;
                }
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    })
    .await
}

/// Returns how many times a body was executed by all services together.
pub fn runs(rig: &Rig, body: &str) -> u64 {
    let count = |service: &PlainService| service.runs().get(body).copied().unwrap_or_default();
    rig.services.iter().map(count).sum()
}
