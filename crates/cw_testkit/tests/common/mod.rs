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

use cw_testkit::Caller;
use cw_testkit::Engine;
use cw_testkit::EngineSpec;
use cw_testkit::EngineTimings;
use cw_testkit::MODEL;
use cw_testkit::Reply;
use cw_testkit::VERSION;
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
