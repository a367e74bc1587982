//! Reports to relays, and what relays answer.

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
use super::fixtures::Rig;
use super::fixtures::attempt;
use super::fixtures::next;
use super::fixtures::tokens;
use super::fixtures::within;

/// What the handlers share.
struct Shared {
    reports: mpsc::UnboundedSender<Report>,
    answer: Mutex<ReportResponse>,
    state: Mutex<HostState>,
    planner: Mutex<Option<u64>>,
}

/// A relay that is also the host list which names it, and the key-value service.
pub(crate) struct FakeRelay {
    server: HttpServer<Arc<Shared>>,
    shared: Arc<Shared>,
    reports: mpsc::UnboundedReceiver<Report>,
}

impl FakeRelay {
    /// Starts a relay.
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
        api.register(take).unwrap();
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

    /// Returns where it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Waits for a report that satisfies `condition`.
    pub(crate) async fn report(&mut self, condition: impl Fn(&Report) -> bool) -> Report {
        within(async {
            loop {
                let report = self.reports.next().await.expect("the relay lives");
                if condition(&report) {
                    return report;
                }
            }
        })
        .await
    }

    /// Waits for a report in which the target is up.
    pub(crate) async fn up(&mut self) -> Report {
        self.report(|report| report.state == TargetState::Up).await
    }

    /// Answers reports so from now on.
    pub(crate) fn answer(&self, revision: u64, drained: bool) {
        *self.shared.answer.lock().unwrap() = ReportResponse {
            revision: Revision(revision),
            drained,
        };
    }

    /// Lets the planner's lease have this fencing number from now on.
    pub(crate) fn plan(&self, fencing: Option<u64>) {
        *self.shared.planner.lock().unwrap() = fencing;
    }

    /// Lists the target's host so from now on.
    pub(crate) fn list(&self, state: HostState) {
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
async fn take(
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
    let mut rig = Rig::start(engine.server.local_addr()).await;
    let mut frames = rig.send(&rig.dispatch(attempt(5, 1))).await;
    let call = engine.received().await;
    call.token(1);
    tokens_after_accepted(&mut frames).await;

    engine.shared.boot.store(2, Ordering::Relaxed);
    call.break_off();
    let report = rig.relay.report(|report| !report.crashes.is_empty()).await;

    assert_eq!(report.crashes.len(), 1);
    assert_eq!(report.crashes[0].suspects, vec![Fingerprint(5)]);
}

#[rstest]
#[tokio::test]
async fn an_engine_killed_for_good_has_crashed_and_its_streams_fail_at_once() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let mut engine = {
        let _guard = runtime.enter();
        FakeEngine::start()
    };
    let mut rig = Rig::start(engine.server.local_addr()).await;
    let mut frames = rig.send(&rig.dispatch(attempt(5, 1))).await;
    let call = engine.received().await;
    call.token(1);
    tokens_after_accepted(&mut frames).await;

    runtime.shutdown_background();
    let failed = next(&mut frames).await;
    let report = rig.relay.report(|report| !report.crashes.is_empty()).await;

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
async fn a_broken_connection_of_a_living_engine_is_no_crash() {
    let mut engine = FakeEngine::start();
    let mut rig = Rig::start(engine.server.local_addr()).await;
    let mut frames = rig.send(&rig.dispatch(attempt(5, 1))).await;
    let call = engine.received().await;

    call.break_off();
    assert!(matches!(
        next(&mut frames).await,
        Some(Frame::Failed { .. })
    ));
    let last = rig.relay.up().await.sequence;
    let report = rig.relay.report(|report| report.sequence > last + 2).await;

    assert_eq!(report.crashes, Vec::new());
}

#[rstest]
#[tokio::test]
async fn an_engine_that_is_gone_is_reported_down_and_gets_nothing() {
    let engine = FakeEngine::start();
    let mut rig = Rig::start(engine.server.local_addr()).await;

    engine.server.close().await.unwrap();
    rig.relay
        .report(|report| report.state == TargetState::Down)
        .await;
    let mut frames = rig.send(&rig.dispatch(attempt(1, 1))).await;

    let frame = next(&mut frames).await;
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
async fn a_paused_engine_gets_nothing_new_and_keeps_what_it_has() {
    let mut engine = FakeEngine::start();
    let mut rig = Rig::start(engine.server.local_addr()).await;
    let mut frames = rig.send(&rig.dispatch(attempt(1, 1))).await;
    let call = engine.received().await;

    engine.shared.paused.send_replace(true);
    let down = |report: &Report| report.state == TargetState::Down;
    let report = rig.relay.report(down).await;
    let mut late = rig.send(&rig.dispatch(attempt(2, 1))).await;
    let refused = next(&mut late).await;
    engine.shared.paused.send_replace(false);
    rig.relay.up().await;
    call.token(1);

    assert!(matches!(refused, Some(Frame::NotRun { .. })));
    assert_eq!(report.crashes, Vec::new());
    tokens_after_accepted(&mut frames).await;
}

#[rstest]
#[tokio::test]
async fn operators_drain_through_relays_and_an_older_relay_does_not_undo_it() {
    let engine = FakeEngine::start();
    let mut rig = Rig::start(engine.server.local_addr()).await;

    rig.relay.answer(7, true);
    let leaving = |report: &Report| report.state == TargetState::Leaving;
    let report = rig.relay.report(leaving).await;
    rig.relay.answer(6, false);
    let later = report.sequence + 3;
    let report = rig.relay.report(|report| report.sequence > later).await;
    assert_eq!(report.state, TargetState::Leaving);

    rig.relay.answer(8, false);
    rig.relay.up().await;
}

#[rstest]
#[tokio::test]
async fn a_host_listed_as_leaving_takes_no_new_work() {
    let engine = FakeEngine::start();
    let mut rig = Rig::start(engine.server.local_addr()).await;

    rig.relay.list(HostState::Leaving);

    let leaving = |report: &Report| report.state == TargetState::Leaving;
    rig.relay.report(leaving).await;
}

#[rstest]
#[tokio::test]
async fn the_agent_says_whether_it_is_ready() {
    let engine = FakeEngine::start();
    let rig = Rig::start(engine.server.local_addr()).await;

    let ready = status(rig.agent.admin, "/readyz").await;
    rig.relay.answer(1, true);

    assert_eq!(ready, 200);
    within(async { while status(rig.agent.admin, "/readyz").await != 503 {} }).await;
    assert_eq!(status(rig.agent.admin, "/livez").await, 200);
    assert_eq!(status(rig.agent.admin, "/metrics").await, 200);
}

async fn get(address: SocketAddr, path: &str) -> Response<hyper::body::Incoming> {
    use hyper_util::client::legacy::Client;
    use hyper_util::rt::TokioExecutor;
    let client: Client<_, http_body_util::Empty<bytes::Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let uri = format!("http://{address}{path}").parse().unwrap();
    within(client.get(uri)).await.unwrap()
}

async fn status(address: SocketAddr, path: &str) -> u16 {
    get(address, path).await.status().as_u16()
}

/// Reads a page as text.
pub(crate) async fn text(address: SocketAddr, path: &str) -> String {
    use http_body_util::BodyExt;
    let body = get(address, path).await.into_body();
    let bytes = within(body.collect()).await.unwrap().to_bytes();
    String::from_utf8(bytes.to_vec()).unwrap()
}

async fn tokens_after_accepted(frames: &mut super::fixtures::Frames) {
    assert!(matches!(next(frames).await, Some(Frame::Accepted { .. })));
    tokens(frames).await;
}
