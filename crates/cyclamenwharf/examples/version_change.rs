//! Measures a model version change on many engines under load.
//!
//! The report contains errors, answers that mix versions, and the time to the first token before,
//! during and after the change. `cargo run --release --example version_change` writes it as JSON to
//! standard output.

#![expect(
    clippy::disallowed_methods,
    reason = "what the programs under test send has an end"
)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cw_testkit::CompletionRequest;
use cw_testkit::DeploymentSpec;
use cw_testkit::MODEL;
use cw_testkit::ROUTE_LATENCY;
use cw_testkit::ROUTE_THRIFT;
use cw_testkit::TestDeployment;
use cyclamenwharf::admin::StatusMessage;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;

/// The number of engines.
const ENGINES: usize = 36;

/// The number of callers, each of which sends one request after another.
const CALLERS: usize = 48;

/// The number of tokens per answer.
const TOKENS: u64 = 40;

/// The time for which the load runs before the change, and again after it.
const LOAD_DURATION: Duration = Duration::from_secs(8);

/// The phases: before the change, loading, routed to the new version, and old version unloaded.
const PHASES: [&str; 4] = ["before", "loading", "routed", "after"];

/// The callers' observations, and the control of the load.
#[derive(Default)]
struct Observations {
    stop: AtomicBool,
    phase: AtomicUsize,
    errors: AtomicUsize,
    mixed: AtomicUsize,
    versions: [AtomicUsize; 2],
    first_tokens: Mutex<Vec<(usize, Duration)>>,
}

#[tokio::main]
async fn main() {
    let spec = DeploymentSpec {
        engines: ENGINES,
        services: 0,
        entries: 3,
        zones: 3,
        ..DeploymentSpec::default()
    };
    let rig = Arc::new(TestDeployment::start(spec).await.expect("a deployment"));
    let observations = Arc::<Observations>::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| tokio::spawn(run_caller(rig.clone(), n, observations.clone())))
        .collect();
    tokio::time::sleep(LOAD_DURATION).await;
    let durations = change_version(&rig, &observations).await;
    tokio::time::sleep(LOAD_DURATION).await;
    observations.stop.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.await.expect("no panic");
    }
    let report = report(&observations, durations);
    let text = serde_json::to_string_pretty(&report).expect("JSON");
    println!("{text}");
    rig.stop().await;
}

async fn run_caller(rig: Arc<TestDeployment>, number: usize, observations: Arc<Observations>) {
    let caller = rig.caller(number % rig.entries.len());
    let mut seed = number as u64 * 1_000_000;
    while !observations.stop.load(Ordering::SeqCst) {
        seed += 1;
        let ask = CompletionRequest::new(ROUTE_LATENCY, "a settlement", TOKENS).with_seed(seed);
        let (start, phase) = (Instant::now(), observations.phase.load(Ordering::SeqCst));
        let answer = match caller.complete(&ask).await {
            Ok(answer) if answer.is_complete() => answer,
            _ => {
                observations.errors.fetch_add(1, Ordering::SeqCst);
                continue;
            }
        };
        let versions = ["v1", "v2"].map(|version| ask.expected(MODEL, version));
        match versions.iter().position(|ids| *ids == answer.ids) {
            Some(index) => observations.versions[index].fetch_add(1, Ordering::SeqCst),
            None => observations.mixed.fetch_add(1, Ordering::SeqCst),
        };
        if let Some(first) = answer.first_token_at() {
            let mut times = observations.first_tokens.lock().expect("no panic");
            times.push((phase, first - start));
        }
    }
}

async fn change_version(rig: &TestDeployment, observations: &Observations) -> [Duration; 2] {
    let start = Instant::now();
    observations.phase.store(1, Ordering::SeqCst);
    let version = json!({
        "model": MODEL, "version": "v2", "weights": "settlement-v1", "targets": ENGINES,
    });
    propose_and_accept(
        rig,
        "load",
        json!([put_edit("model_version", "settlement-v2", version)]),
    )
    .await;
    while count_holders(rig, "v2").await < ENGINES {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let loaded = start.elapsed();
    observations.phase.store(2, Ordering::SeqCst);
    let routes = [(ROUTE_LATENCY, "latency"), (ROUTE_THRIFT, "thrift")].map(|(name, recovery)| {
        let to = json!({ "model": { "model": MODEL, "version": "v2", "adapter": null } });
        put_edit(
            "route",
            name,
            json!({ "to": to, "priority": "normal", "recovery": recovery }),
        )
    });
    propose_and_accept(rig, "route", json!(routes)).await;
    propose_and_accept(
        rig,
        "drop",
        json!([{ "remove": "model_version/settlement-v1" }]),
    )
    .await;
    while count_holders(rig, "v1").await > 0 {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    observations.phase.store(3, Ordering::SeqCst);
    [loaded, start.elapsed()]
}

fn put_edit(kind: &str, name: &str, body: Value) -> Value {
    json!({ "put": { "kind": kind, "name": name, "body": body } })
}

async fn propose_and_accept(rig: &TestDeployment, id: &str, edits: Value) {
    let proposal = json!({ "id": id, "edits": edits });
    call_admin(rig, "POST", "/v1/proposals", &proposal).await;
    call_admin(
        rig,
        "POST",
        &format!("/v1/proposals/{id}/accept"),
        &Value::Null,
    )
    .await;
}

async fn count_holders(rig: &TestDeployment, version: &str) -> usize {
    let status = call_admin(rig, "GET", "/v1/status", &Value::Null).await;
    let status: StatusMessage = serde_json::from_slice(&status).expect("a status");
    let holds = |held: &Vec<String>| held.iter().any(|held| held == version);
    let targets = status.targets.iter();
    targets
        .filter(|target| target.versions.get(MODEL).is_some_and(holds))
        .count()
}

async fn call_admin(rig: &TestDeployment, method: &str, path: &str, body: &Value) -> Bytes {
    let settings = &rig.entries[0].settings;
    let admin: SocketAddr = settings.listen.admin;
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{admin}{path}"))
        .header("content-type", "application/json")
        .header(
            "authorization",
            format!("Bearer {}", settings.secrets.peers[0]),
        )
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("a request");
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request).await.expect("an answer");
    let status = response.status();
    let body = response.into_body().collect().await.expect("a body");
    let bytes = body.to_bytes();
    assert!(status.is_success(), "{status}: {bytes:?}");
    bytes
}

fn report(observations: &Observations, [loaded, done]: [Duration; 2]) -> Value {
    let times = observations.first_tokens.lock().expect("no panic");
    let phases = PHASES.iter().enumerate().map(|(index, name)| {
        let mut samples: Vec<_> = times.iter().filter(|(p, _)| *p == index).collect();
        samples.sort();
        let at = |percent: usize| {
            samples
                .get(samples.len() * percent / 100)
                .map(|(_, t)| t.as_millis())
        };
        json!({ "phase": name, "answers": samples.len(), "p50_ms": at(50), "p95_ms": at(95) })
    });
    let count = |counter: &AtomicUsize| counter.load(Ordering::SeqCst);
    json!({
        "engines": ENGINES,
        "callers": CALLERS,
        "errors": count(&observations.errors),
        "mixed": count(&observations.mixed),
        "answers_by_version": [count(&observations.versions[0]), count(&observations.versions[1])],
        "loaded_everywhere_ms": loaded.as_millis(),
        "old_gone_ms": done.as_millis(),
        "first_token": phases.collect::<Vec<_>>(),
    })
}
