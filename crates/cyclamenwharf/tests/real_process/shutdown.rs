//! Tests of a process that gets signals while callers use their connections.

use std::time::Duration;

use rstest::rstest;

use crate::connection::Answer;
use crate::connection::Connection;
use crate::deployment::register_engine;
use crate::fake_engine::FakeEngine;
use crate::fake_engine::Runs;
use crate::fake_store::FakeStore;
use crate::process::EntryProcess;
use crate::process::GRACE;
use crate::process::Signal;
use crate::process_requests::put_config;
use crate::process_requests::request;

/// The deadline of a request, in milliseconds.
const DEADLINE: u64 = 60_000;

/// How long a caller waits for the next byte of an answer.
const PATIENCE: Duration = Duration::from_secs(10);

/// How long the platform's balancer may send connections to a process that has got the signal to end.
const BALANCER_DELAY: Duration = Duration::from_millis(2500);

/// The store, two engines of a plain service, and one entry.
struct Deployment {
    entry: EntryProcess,
    _store: FakeStore,
    _engines: Vec<FakeEngine>,
    runs: Runs,
}

impl Deployment {
    /// Starts a deployment whose service `llm` has no engine. Its requests wait for one for a part of the objective.
    async fn start(objective: Duration) -> Self {
        let store = FakeStore::start().await;
        let runs = Runs::default();
        let objective = u64::try_from(objective.as_millis()).expect("a short time");
        put_config(&store, 3, objective, DEADLINE);
        let mut engines = Vec::new();
        for number in 0..2 {
            let engine = FakeEngine::start(&format!("p-{number}"), &runs).await;
            register_engine(&store, &engine, "api", number, "ready");
            engines.push(engine);
        }
        let entry = EntryProcess::start(store.server.address);
        entry.wait_until_ready().await;
        let deployment = Self {
            entry,
            _store: store,
            _engines: engines,
            runs,
        };
        deployment.serve_first_request().await;
        deployment
    }

    /// Sends requests until one is served, so that the entry knows the targets.
    async fn serve_first_request(&self) {
        for number in 0..100 {
            let mut connection = self.connect().await;
            let id = format!("first-{number}");
            let text = request("/again/x", &id, "key-a", DEADLINE, "question");
            connection.write(&text).await.expect("an open connection");
            if connection.read_answer(PATIENCE).await.status() == Some(200) {
                return;
            }
        }
        panic!("no request was served");
    }

    async fn connect(&self) -> Connection {
        let connection = Connection::open(self.entry.callers()).await;
        connection.expect("the entry listens")
    }
}

/// Guards against connections that are closed with a request in their sockets which the process has not read yet, on a host that is
/// busy as a process closes connections at rest; and against those that wait to be accepted.
#[tokio::test]
async fn a_request_that_waits_in_its_socket_is_answered_before_the_connection_closes() {
    let deployment = Deployment::start(Duration::from_secs(4)).await;
    let mut connections = Vec::new();
    for number in 0..20 {
        let mut connection = deployment.connect().await;
        let text = request(
            "/once/x",
            &format!("a-{number}"),
            "key-a",
            DEADLINE,
            "question",
        );
        connection.write(&text).await.expect("an open connection");
        assert_eq!(connection.read_answer(PATIENCE).await.status(), Some(200));
        connections.push(connection);
    }

    deployment.entry.signal(Signal::Terminate);
    tokio::time::sleep(BALANCER_DELAY - Duration::from_millis(300)).await;
    deployment.entry.signal(Signal::Stop);
    for _ in 0..20 {
        connections.push(deployment.connect().await);
    }
    for (number, connection) in connections.iter_mut().enumerate() {
        let text = request(
            "/once/x",
            &format!("b-{number}"),
            "key-a",
            DEADLINE,
            "question",
        );
        connection.write(&text).await.expect("an open connection");
    }
    tokio::time::sleep(Duration::from_millis(600)).await;
    deployment.entry.signal(Signal::Continue);

    let mut cut = Vec::new();
    for (number, connection) in connections.iter_mut().enumerate() {
        let answer = connection.read_answer(PATIENCE).await;
        if answer.status() != Some(200) {
            cut.push((number, answer));
        }
    }
    assert!(cut.is_empty(), "{} of 40: {cut:?}", cut.len());
}

/// Guards against requests that no target works on and whose connections end without an answer at the end of the grace period.
#[tokio::test]
async fn a_request_that_waits_at_the_end_of_the_grace_period_is_refused() {
    let mut deployment = Deployment::start(Duration::from_secs(500)).await;
    deployment.entry.signal(Signal::Terminate);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut connection = deployment.connect().await;
    let text = request("/s/x", "waits", "key-a", DEADLINE, "question");

    connection.write(&text).await.expect("an open connection");
    let answer = connection.read_answer(GRACE).await;
    deployment.entry.wait_for_end().await;

    let log = deployment.entry.log_of("waits");
    assert_eq!(answer.status(), Some(503), "{answer:?}\n{log}");
    assert!(log.contains("request finished"), "{log}");
    let runs = deployment.runs.lock().expect("a lock");
    assert!(runs.iter().all(|run| run.path != "/s/x"));
}

/// Guards against a refusal that is overtaken by a reset: it was sent before the body had come, and the connection was closed with
/// the rest of the body unread.
#[rstest]
#[case::unknown_key("/again/x", "key-b", 401)]
#[case::unknown_route("/other/x", "key-a", 404)]
#[tokio::test]
async fn a_refusal_is_read_although_the_body_comes_later(
    #[case] path: &str,
    #[case] key: &str,
    #[case] status: u16,
) {
    let deployment = Deployment::start(Duration::from_secs(4)).await;
    for number in 0..5 {
        let body = "x".repeat(200_000);
        let text = request(path, &format!("a-{number}"), key, DEADLINE, &body);
        let (head, body) = text.split_at(text.len() - body.len());
        let mut connection = deployment.connect().await;

        connection.write(head).await.expect("an open connection");
        tokio::time::sleep(Duration::from_millis(50)).await;
        let mut written = Ok(());
        for part in body.as_bytes().chunks(20_000) {
            tokio::time::sleep(Duration::from_millis(5)).await;
            let part = std::str::from_utf8(part).expect("ASCII");
            written = written.and(connection.write(part).await);
        }
        let answer = connection.read_answer(PATIENCE).await;

        assert!(written.is_ok(), "{written:?}, {answer:?}");
        assert!(matches!(answer, Answer::Whole { .. }), "{answer:?}");
        assert_eq!(answer.status(), Some(status));
    }
}

/// Guards against a process that ends by a signal of planned work because it serves callers before it handles signals.
#[tokio::test]
async fn a_process_that_serves_callers_handles_signals() {
    let store = FakeStore::start().await;
    for number in 0..20 {
        let entry = EntryProcess::start(store.server.address);

        // The address is known to nobody else, so that the first connection shows when the port opens.
        while std::net::TcpStream::connect(entry.callers()).is_err() {}
        let handled = entry.handled_signals();

        assert!(
            handled.contains(&Signal::Hangup),
            "start {number}: {handled:?}"
        );
        assert!(
            handled.contains(&Signal::Terminate),
            "start {number}: {handled:?}"
        );
    }
}
