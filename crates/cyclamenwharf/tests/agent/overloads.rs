//! A target that is too busy even for connections.

use std::net::SocketAddr;
use std::time::Duration;

use cw_types::TargetKind;
use cw_wire::Report;
use cw_wire::TargetState;
use cw_wire::Work;
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::fixtures::Rig;
use super::fixtures::attempt;
use super::fixtures::call;
use super::fixtures::dispatch;
use super::fixtures::within;

/// How long a connection may take on loopback unless the queue of the listener is full.
const QUEUED: Duration = Duration::from_millis(300);

/// Fills the queue of a listener that accepts nothing.
async fn fill(address: SocketAddr) -> Vec<TcpStream> {
    let mut queued = Vec::new();
    while let Ok(stream) = tokio::time::timeout(QUEUED, TcpStream::connect(address)).await {
        queued.push(stream.unwrap());
    }
    queued
}

/// Returns a listener with a short queue.
fn listener() -> TcpListener {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    TcpListener::from_std(listener).unwrap()
}

#[rstest]
#[tokio::test]
async fn a_target_that_accepts_nothing_is_down_but_accuses_nobody() {
    let service = listener();
    let address = service.local_addr().unwrap();
    let kind = TargetKind::Service {
        service: "notices".to_owned(),
    };
    let mut rig = Rig::start_with(address, kind, |_| {}).await;
    let work = Work::Call(call());
    let _frames = rig.send(&dispatch(attempt(1, 1), rig.stamp(), work)).await;

    let _queued = within(fill(address)).await;
    let down = |report: &Report| report.state == TargetState::Down;
    let report = rig.relay.report(down).await;

    assert_eq!(report.crashes, Vec::new());
}
