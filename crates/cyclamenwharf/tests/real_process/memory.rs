//! Tests of the memory that a process uses while bodies without end, or many at once, come from targets and callers.

use std::time::Duration;

use futures::future::join_all;
use rstest::rstest;

use crate::connection::Answer;
use crate::connection::Connection;
use crate::deployment::register_engine;
use crate::deployment::wait_until;
use crate::endless_server::Endless;
use crate::endless_server::EndlessServer;
use crate::fake_engine::FakeEngine;
use crate::fake_engine::Runs;
use crate::fake_store::FakeStore;
use crate::process::EntryProcess;
use crate::process::MEMORY;
use crate::process_requests::MAX_BODY_BYTES;
use crate::process_requests::put_config;
use crate::process_requests::put_target;
use crate::process_requests::request;

/// The deadline of a request, in milliseconds.
const DEADLINE: u64 = 20_000;

/// The objective of a route, in milliseconds.
const OBJECTIVE: u64 = 4_000;

/// How long a caller waits for the next byte of an answer.
const PATIENCE: Duration = Duration::from_secs(25);

/// How long a caller waits until a part of its body is written, or for an answer before it has sent all.
const WRITE_PATIENCE: Duration = Duration::from_secs(1);

/// The number of callers at the same time. All of their bodies, or of the answers to them, are more than the memory of the entry.
const CALLERS: usize = 120;

async fn send(entry: &EntryProcess, path: &str, id: &str, body: &str) -> Answer {
    let text = request(path, id, "key-a", DEADLINE, body);
    let mut connection = Connection::open(entry.callers()).await.expect("a listener");
    // An entry that refuses a request may close the connection before the whole body is written.
    let _ = connection.write(&text).await;
    connection.read_answer(PATIENCE).await
}

/// Sends requests until one is answered, so that the entry knows the targets.
async fn wait_for_targets(entry: &EntryProcess, path: &str) {
    for number in 0..100 {
        let answer = send(entry, path, &format!("first-{number}"), "question").await;
        if answer.status() != Some(503) {
            return;
        }
    }
    panic!("no request reached a target");
}

/// Guards against answers without end that take the memory of the process together, each below its own limit, so that it is killed with
/// all requests of others.
#[rstest]
#[case::chunks(Endless::Chunks)]
#[case::bytes(Endless::Body)]
#[case::heads(Endless::Header)]
#[case::trailers(Endless::Trailers)]
#[case::interim(Endless::Interim)]
#[tokio::test]
async fn answers_without_end_to_many_requests_keep_to_the_memory(
    #[case] endless: Endless,
    #[values("/again/x", "/s/x")] path: &str,
) {
    let store = FakeStore::start().await;
    put_config(&store, 3, OBJECTIVE, DEADLINE);
    let mut servers = Vec::new();
    for number in 0..2 {
        let server = EndlessServer::start(endless).await;
        for service in ["api", "llm"] {
            put_target(&store, service, number, server.address);
        }
        servers.push(server);
    }
    let entry = EntryProcess::start(store.server.address);
    entry.wait_until_ready().await;
    wait_for_targets(&entry, path).await;

    let ids: Vec<_> = (0..CALLERS).map(|number| format!("a-{number}")).collect();
    let answers = join_all(ids.iter().map(|id| send(&entry, path, id, "question"))).await;

    let peak = entry.peak_memory();
    assert!(peak <= MEMORY, "{peak} of {MEMORY}");
    let cut = answers.iter().filter(|answer| answer.status().is_none());
    assert_eq!(cut.count(), 0, "each request is answered");
}

/// Guards against large bodies of many requests that take the memory of the process together. Those that have no room are refused, and
/// short ones are served.
#[tokio::test]
async fn bodies_of_many_requests_keep_to_the_memory() {
    let store = FakeStore::start().await;
    put_config(&store, 3, OBJECTIVE, DEADLINE);
    let engine = FakeEngine::start("p-0", &Runs::default()).await;
    register_engine(&store, &engine, "api", 0, "ready");
    let entry = EntryProcess::start(store.server.address);
    entry.wait_until_ready().await;
    wait_for_targets(&entry, "/again/x").await;

    let body = "x".repeat(MAX_BODY_BYTES);
    let mut waiting = Vec::new();
    for number in 0..CALLERS {
        let text = request("/again/x", &format!("b-{number}"), "key-a", DEADLINE, &body);
        let mut connection = Connection::open(entry.callers()).await.expect("a listener");
        // All but the last byte, so that the request is not complete. A part of a refused one stays unread.
        let write = connection.write(&text[..text.len() - 1]);
        let _ = tokio::time::timeout(WRITE_PATIENCE, write).await;
        waiting.push(connection);
    }
    let short = send(&entry, "/again/x", "short", "question").await;

    assert_eq!(short.status(), Some(200), "{short:?}");
    let answers = waiting
        .iter_mut()
        .map(|connection| connection.read_answer(WRITE_PATIENCE));
    let statuses: Vec<_> = join_all(answers).await.iter().map(Answer::status).collect();
    let refused = statuses
        .iter()
        .filter(|status| **status == Some(503))
        .count();
    let peak = entry.peak_memory();
    assert!(peak <= MEMORY, "{peak} of {MEMORY}");
    assert!(refused > 0, "some have no room");
    let others = statuses.iter().filter(|status| status.is_none()).count();
    assert_eq!(refused + others, CALLERS, "{statuses:?}");
    drop(waiting);
    wait_until("there is room again", async || {
        let again = send(&entry, "/again/x", "again", &body).await;
        again.status() == Some(200)
    })
    .await;
}
