//! Tests of a target that is too busy to accept connections.

use std::net::SocketAddr;
use std::time::Duration;

use cw_types::TargetKind;
use cw_wire::Report;
use cw_wire::TargetState;
use cw_wire::Work;
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::fixtures::Fixture;
use super::fixtures::attempt;
use super::fixtures::call;
use super::fixtures::dispatch;
use super::fixtures::with_timeout;

/// The time after which a connection on loopback shows that the listener's backlog is full.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Fills the backlog of a listener that does not accept connections.
async fn fill_backlog(address: SocketAddr) -> Vec<TcpStream> {
    let mut queued = Vec::new();
    while let Ok(stream) = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await
    {
        queued.push(stream.unwrap());
    }
    queued
}

/// Returns a listener that never accepts a connection.
fn listener() -> TcpListener {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    TcpListener::from_std(listener).unwrap()
}

#[rstest]
#[tokio::test]
async fn a_target_that_accepts_no_connections_is_down_without_a_crash() {
    let service = listener();
    let address = service.local_addr().unwrap();
    let kind = TargetKind::Service {
        service: "notices".to_owned(),
    };
    let mut fixture = Fixture::start_with(address, kind, |_| {}).await;
    let work = Work::Call(call());
    let _frames = fixture
        .send(&dispatch(attempt(1, 1), fixture.stamp(), work))
        .await;

    let _queued = with_timeout(fill_backlog(address)).await;
    let down = |report: &Report| report.state == TargetState::Down;
    let report = fixture.relay.next_report(down).await;

    assert_eq!(report.crashes, Vec::new());
}
