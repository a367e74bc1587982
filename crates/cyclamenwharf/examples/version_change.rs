//! A change of version over many engines under load: errors, mixed answers and the time to the
//! first token before, during and after it.
//!
//! `cargo run --release --example version_change` writes JSON to standard output.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cw_testkit::Ask;
use cw_testkit::MODEL;
use cw_testkit::ROUTE_LATENCY;
use cw_testkit::ROUTE_THRIFT;
use cw_testkit::Rig;
use cw_testkit::RigSpec;
use cyclamenwharf::admin::StatusMessage;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;

/// The engines.
const ENGINES: usize = 36;

/// The callers that ask all the time.
const CALLERS: usize = 48;

/// The tokens of each answer.
const TOKENS: u64 = 40;

/// How long load runs before the change and after it.
const AROUND: Duration = Duration::from_secs(8);

/// The phases: before, loading the new version, routed to it, and with the old one gone.
const PHASES: [&str; 4] = ["before", "loading", "routed", "after"];

/// What callers saw.
#[derive(Default)]
struct Seen {
    stop: AtomicBool,
    phase: AtomicUsize,
    errors: AtomicUsize,
    mixed: AtomicUsize,
    versions: [AtomicUsize; 2],
    first_tokens: Mutex<Vec<(usize, Duration)>>,
}

#[tokio::main]
async fn main() {
    let spec = RigSpec {
        engines: ENGINES,
        services: 0,
        entries: 3,
        zones: 3,
        ..RigSpec::default()
    };
    let rig = Arc::new(Rig::start(spec).await.expect("a deployment"));
    let seen = Arc::<Seen>::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| tokio::spawn(ask_until(rig.clone(), n, seen.clone())))
        .collect();
    tokio::time::sleep(AROUND).await;
    let spans = change(&rig, &seen).await;
    tokio::time::sleep(AROUND).await;
    seen.stop.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.await.expect("no panic");
    }
    let report = report(&seen, spans);
    let text = serde_json::to_string_pretty(&report).expect("JSON");
    println!("{text}");
    rig.stop().await;
}

async fn ask_until(rig: Arc<Rig>, number: usize, seen: Arc<Seen>) {
    let caller = rig.caller(number % rig.entries.len());
    let mut seed = number as u64 * 1_000_000;
    while !seen.stop.load(Ordering::SeqCst) {
        seed += 1;
        let ask = Ask::new(ROUTE_LATENCY, "a settlement", TOKENS).with_seed(seed);
        let (start, phase) = (Instant::now(), seen.phase.load(Ordering::SeqCst));
        let answer = match caller.ask(&ask).await {
            Ok(answer) if answer.is_whole() => answer,
            _ => {
                seen.errors.fetch_add(1, Ordering::SeqCst);
                continue;
            }
        };
        let versions = ["v1", "v2"].map(|version| ask.expected(MODEL, version));
        match versions.iter().position(|ids| *ids == answer.ids) {
            Some(index) => seen.versions[index].fetch_add(1, Ordering::SeqCst),
            None => seen.mixed.fetch_add(1, Ordering::SeqCst),
        };
        if let Some(first) = answer.first_at() {
            let mut times = seen.first_tokens.lock().expect("no panic");
            times.push((phase, first - start));
        }
    }
}

async fn change(rig: &Rig, seen: &Seen) -> [Duration; 2] {
    let start = Instant::now();
    seen.phase.store(1, Ordering::SeqCst);
    let version = json!({
        "model": MODEL, "version": "v2", "weights": "settlement-v1", "targets": ENGINES,
    });
    accept(
        rig,
        "load",
        json!([put("model_version", "settlement-v2", version)]),
    )
    .await;
    while holders(rig, "v2").await < ENGINES {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let loaded = start.elapsed();
    seen.phase.store(2, Ordering::SeqCst);
    let routes = [(ROUTE_LATENCY, "latency"), (ROUTE_THRIFT, "thrift")].map(|(name, recovery)| {
        let to = json!({ "model": { "model": MODEL, "version": "v2", "adapter": null } });
        put(
            "route",
            name,
            json!({ "to": to, "priority": "normal", "recovery": recovery }),
        )
    });
    accept(rig, "route", json!(routes)).await;
    accept(
        rig,
        "drop",
        json!([{ "remove": "model_version/settlement-v1" }]),
    )
    .await;
    while holders(rig, "v1").await > 0 {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    seen.phase.store(3, Ordering::SeqCst);
    [loaded, start.elapsed()]
}

fn put(kind: &str, name: &str, body: Value) -> Value {
    json!({ "put": { "kind": kind, "name": name, "body": body } })
}

async fn accept(rig: &Rig, id: &str, edits: Value) {
    let proposal = json!({ "id": id, "edits": edits });
    call(rig, "POST", "/v1/proposals", &proposal).await;
    call(
        rig,
        "POST",
        &format!("/v1/proposals/{id}/accept"),
        &Value::Null,
    )
    .await;
}

async fn holders(rig: &Rig, version: &str) -> usize {
    let status = call(rig, "GET", "/v1/status", &Value::Null).await;
    let status: StatusMessage = serde_json::from_slice(&status).expect("a status");
    let holds = |held: &Vec<String>| held.iter().any(|held| held == version);
    let targets = status.targets.iter();
    targets
        .filter(|target| target.versions.get(MODEL).is_some_and(holds))
        .count()
}

async fn call(rig: &Rig, method: &str, path: &str, body: &Value) -> Bytes {
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

fn report(seen: &Seen, [loaded, done]: [Duration; 2]) -> Value {
    let times = seen.first_tokens.lock().expect("no panic");
    let phases = PHASES.iter().enumerate().map(|(index, name)| {
        let mut of: Vec<_> = times.iter().filter(|(p, _)| *p == index).collect();
        of.sort();
        let at = |share: usize| of.get(of.len() * share / 100).map(|(_, t)| t.as_millis());
        json!({ "phase": name, "answers": of.len(), "p50_ms": at(50), "p95_ms": at(95) })
    });
    let count = |counter: &AtomicUsize| counter.load(Ordering::SeqCst);
    json!({
        "engines": ENGINES,
        "callers": CALLERS,
        "errors": count(&seen.errors),
        "mixed": count(&seen.mixed),
        "answers_by_version": [count(&seen.versions[0]), count(&seen.versions[1])],
        "loaded_everywhere_ms": loaded.as_millis(),
        "old_gone_ms": done.as_millis(),
        "first_token": phases.collect::<Vec<_>>(),
    })
}
