//! Tests of reports to relays and of their responses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;

use cw_store::Host;
use cw_store::HostRole;
use cw_store::HostState;
use cw_types::Revision;
use cw_wire::Failure;
use cw_wire::Fingerprint;
use cw_wire::Frame;
use cw_wire::Report;
use cw_wire::ReportResponse;
use cw_wire::TargetState;
use dropshot::ApiDescription;
use dropshot::Body;
use dropshot::ConfigDropshot;
use dropshot::HttpError;
use dropshot::HttpServer;
use dropshot::RequestContext;
use dropshot::ServerBuilder;
use dropshot::UntypedBody;
use dropshot::endpoint;
use futures::StreamExt;
use futures::channel::mpsc;
use http::Response;
use rstest::rstest;
use serde_json::json;

use super::fake_engine::FakeEngine;
use super::fixtures::Fixture;
use super::fixtures::attempt;
use super::fixtures::next_frame;
use super::fixtures::next_tokens;
use super::fixtures::with_timeout;

/// The state shared by the handlers.
struct Shared {
    reports: mpsc::UnboundedSender<Report>,
    answer: Mutex<ReportResponse>,
    state: Mutex<HostState>,
    planner: Mutex<Option<u64>>,
}

/// A fake relay that also serves the host list, which contains it, and the key-value service.
pub(crate) struct FakeRelay {
    server: HttpServer<Arc<Shared>>,
    shared: Arc<Shared>,
    reports: mpsc::UnboundedReceiver<Report>,
}

impl FakeRelay {
    /// Starts a fake relay.
    pub(crate) fn start() -> Self {
        let (sender, reports) = mpsc::unbounded();
        let shared = Arc::new(Shared {
            reports: sender,
            answer: Mutex::default(),
            state: Mutex::new(HostState::Live),
            planner: Mutex::new(Some(1)),
        });
        let mut api = ApiDescription::new();
        api.register(hosts).unwrap();
        api.register(receive_report).unwrap();
        api.register(range).unwrap();
        let config = ConfigDropshot {
            bind_address: "127.0.0.1:0".parse().unwrap(),
            default_request_body_max_bytes: 1 << 20,
            ..ConfigDropshot::default()
        };
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let server = ServerBuilder::new(api, Arc::clone(&shared), log)
            .config(config)
            .start()
            .unwrap();
        Self {
            server,
            shared,
            reports,
        }
    }

    /// Returns the address on which it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Waits for a report that satisfies `condition`.
    pub(crate) async fn next_report(&mut self, condition: impl Fn(&Report) -> bool) -> Report {
        with_timeout(async {
            loop {
                let report = self.reports.next().await.expect("the relay is running");
                if condition(&report) {
                    return report;
                }
            }
        })
        .await
    }

    /// Waits for a report in which the target is up.
    pub(crate) async fn next_up_report(&mut self) -> Report {
        self.next_report(|report| report.state == TargetState::Up)
            .await
    }

    /// Sets the response to further reports.
    pub(crate) fn set_response(&self, revision: u64, drained: bool) {
        *self.shared.answer.lock().unwrap() = ReportResponse {
            revision: Revision(revision),
            drained,
        };
    }

    /// Sets the fencing number of the planner's lease, or removes the lease.
    pub(crate) fn set_planner(&self, fencing: Option<u64>) {
        *self.shared.planner.lock().unwrap() = fencing;
    }

    /// Sets the state of the target's host in the host list.
    pub(crate) fn set_host_state(&self, state: HostState) {
        *self.shared.state.lock().unwrap() = state;
    }
}

#[endpoint { method = GET, path = "/v1/hosts" }]
async fn hosts(context: RequestContext<Arc<Shared>>) -> Result<Response<Body>, HttpError> {
    let host = |host: &str, role, state| Host {
        host: host.parse().unwrap(),
        role,
        zone: "z1".parse().unwrap(),
        region: "r1".parse().unwrap(),
        peers: context.server.local_addr,
        state,
    };
    let own = *context.context().state.lock().unwrap();
    let hosts = [
        host("e1", HostRole::Entry, HostState::Live),
        host("h1", HostRole::Target, own),
    ];
    let body = serde_json::to_vec(&hosts).unwrap();
    Ok(Response::new(Body::from(body)))
}

#[endpoint { method = POST, path = "/peer/v1/reports" }]
async fn receive_report(
    context: RequestContext<Arc<Shared>>,
    body: UntypedBody,
) -> Result<Response<Body>, HttpError> {
    let shared = context.context();
    let report = cw_wire::decode(body.as_bytes()).unwrap();
    shared.reports.unbounded_send(report).unwrap();
    let answer = *shared.answer.lock().unwrap();
    let bytes = cw_wire::encode(&answer).unwrap();
    Ok(Response::new(Body::from(bytes)))
}

#[endpoint { method = POST, path = "/v3/kv/range" }]
async fn range(
    context: RequestContext<Arc<Shared>>,
    _body: UntypedBody,
) -> Result<Response<Body>, HttpError> {
    let planner = *context.context().planner.lock().unwrap();
    let pair = |fencing: u64| {
        let revision = fencing.to_string();
        json!({"key": "", "value": "", "create_revision": revision, "mod_revision": revision})
    };
    let kvs: Vec<_> = planner.into_iter().map(pair).collect();
    let body = json!({"header": {"revision": "9"}, "kvs": kvs});
    Ok(Response::new(Body::from(body.to_string())))
}

#[rstest]
#[tokio::test]
async fn a_crash_is_reported_with_the_requests_in_flight() {
    let mut engine = FakeEngine::start();
    let mut fixture = Fixture::start(engine.server.local_addr()).await;
    let mut frames = fixture.send(&fixture.dispatch(attempt(5, 1))).await;
    let call = engine.next_call().await;
    call.token(1);
    expect_accepted_and_tokens(&mut frames).await;

    engine.shared.boot.store(2, Ordering::Relaxed);
    call.break_connection();
    let report = fixture
        .relay
        .next_report(|report| !report.crashes.is_empty())
        .await;

    assert_eq!(report.crashes.len(), 1);
    assert_eq!(report.crashes[0].suspects, vec![Fingerprint(5)]);
}

#[rstest]
#[tokio::test]
async fn a_killed_engine_counts_as_crashed_and_its_streams_fail_at_once() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let mut engine = {
        let _guard = runtime.enter();
        FakeEngine::start()
    };
    let mut fixture = Fixture::start(engine.server.local_addr()).await;
    let mut frames = fixture.send(&fixture.dispatch(attempt(5, 1))).await;
    let call = engine.next_call().await;
    call.token(1);
    expect_accepted_and_tokens(&mut frames).await;

    runtime.shutdown_background();
    let failed = next_frame(&mut frames).await;
    let report = fixture
        .relay
        .next_report(|report| !report.crashes.is_empty())
        .await;

    let lost = matches!(
        failed,
        Some(Frame::Failed {
            failure: Failure::TargetLost,
            ..
        })
    );
    assert!(lost, "{failed:?}");
    assert_eq!(report.state, TargetState::Down);
    assert_eq!(report.crashes[0].suspects, vec![Fingerprint(5)]);
}

#[rstest]
#[tokio::test]
async fn a_broken_connection_of_a_running_engine_is_no_crash() {
    let mut engine = FakeEngine::start();
    let mut fixture = Fixture::start(engine.server.local_addr()).await;
    let mut frames = fixture.send(&fixture.dispatch(attempt(5, 1))).await;
    let call = engine.next_call().await;

    call.break_connection();
    assert!(matches!(
        next_frame(&mut frames).await,
        Some(Frame::Failed { .. })
    ));
    let last = fixture.relay.next_up_report().await.sequence;
    let report = fixture
        .relay
        .next_report(|report| report.sequence > last + 2)
        .await;

    assert_eq!(report.crashes, Vec::new());
}

#[rstest]
#[tokio::test]
async fn a_closed_engine_is_reported_down_and_gets_no_attempts() {
    let engine = FakeEngine::start();
    let mut fixture = Fixture::start(engine.server.local_addr()).await;

    engine.server.close().await.unwrap();
    fixture
        .relay
        .next_report(|report| report.state == TargetState::Down)
        .await;
    let mut frames = fixture.send(&fixture.dispatch(attempt(1, 1))).await;

    let frame = next_frame(&mut frames).await;
    assert!(matches!(
        frame,
        Some(Frame::NotRun {
            reason: cw_wire::NotRunReason::TargetDown,
            ..
        })
    ));
}

#[rstest]
#[tokio::test]
async fn a_paused_engine_gets_no_new_attempts_and_keeps_its_running_ones() {
    let mut engine = FakeEngine::start();
    let mut fixture = Fixture::start(engine.server.local_addr()).await;
    let mut frames = fixture.send(&fixture.dispatch(attempt(1, 1))).await;
    let call = engine.next_call().await;

    engine.shared.paused.send_replace(true);
    let down = |report: &Report| report.state == TargetState::Down;
    let report = fixture.relay.next_report(down).await;
    let mut late = fixture.send(&fixture.dispatch(attempt(2, 1))).await;
    let refused = next_frame(&mut late).await;
    engine.shared.paused.send_replace(false);
    fixture.relay.next_up_report().await;
    call.token(1);

    assert!(matches!(refused, Some(Frame::NotRun { .. })));
    assert_eq!(report.crashes, Vec::new());
    expect_accepted_and_tokens(&mut frames).await;
}

#[rstest]
#[tokio::test]
async fn operators_drain_through_relays_and_an_older_relay_does_not_undo_it() {
    let engine = FakeEngine::start();
    let mut fixture = Fixture::start(engine.server.local_addr()).await;

    fixture.relay.set_response(7, true);
    let leaving = |report: &Report| report.state == TargetState::Leaving;
    let report = fixture.relay.next_report(leaving).await;
    fixture.relay.set_response(6, false);
    let later = report.sequence + 3;
    let report = fixture
        .relay
        .next_report(|report| report.sequence > later)
        .await;
    assert_eq!(report.state, TargetState::Leaving);

    fixture.relay.set_response(8, false);
    fixture.relay.next_up_report().await;
}

#[rstest]
#[tokio::test]
async fn a_host_listed_as_leaving_takes_no_new_work() {
    let engine = FakeEngine::start();
    let mut fixture = Fixture::start(engine.server.local_addr()).await;

    fixture.relay.set_host_state(HostState::Leaving);

    let leaving = |report: &Report| report.state == TargetState::Leaving;
    fixture.relay.next_report(leaving).await;
}

#[rstest]
#[tokio::test]
async fn the_agent_reports_readiness() {
    let engine = FakeEngine::start();
    let fixture = Fixture::start(engine.server.local_addr()).await;

    let ready = status(fixture.agent.admin, "/readyz").await;
    fixture.relay.set_response(1, true);

    assert_eq!(ready, 200);
    with_timeout(async { while status(fixture.agent.admin, "/readyz").await != 503 {} }).await;
    assert_eq!(status(fixture.agent.admin, "/livez").await, 200);
    assert_eq!(status(fixture.agent.admin, "/metrics").await, 200);
}

async fn get(address: SocketAddr, path: &str) -> Response<hyper::body::Incoming> {
    use hyper_util::client::legacy::Client;
    use hyper_util::rt::TokioExecutor;
    let client: Client<_, http_body_util::Empty<bytes::Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let uri = format!("http://{address}{path}").parse().unwrap();
    with_timeout(client.get(uri)).await.unwrap()
}

async fn status(address: SocketAddr, path: &str) -> u16 {
    get(address, path).await.status().as_u16()
}

/// Returns the body of a response as text.
pub(crate) async fn get_text(address: SocketAddr, path: &str) -> String {
    use http_body_util::BodyExt;
    let body = get(address, path).await.into_body();
    let bytes = with_timeout(body.collect()).await.unwrap().to_bytes();
    String::from_utf8(bytes.to_vec()).unwrap()
}

async fn expect_accepted_and_tokens(frames: &mut super::fixtures::Frames) {
    assert!(matches!(
        next_frame(frames).await,
        Some(Frame::Accepted { .. })
    ));
    next_tokens(frames).await;
}
