//! The control state of entries: what comes into force, and what is passed on.

use std::time::Duration;

use crate::rig::Platform;
use crate::rig::client;
use crate::rig::report;
use crate::rig::snapshot;
use crate::rig::until;
use cw_policy::Liveness;
use cw_testkit::EtcdFaults;
use cw_types::Revision;
use cw_types::TargetId;
use cw_wire::ReportResponse;
use cw_wire::TargetState;
use cw_wire::path;

/// A limit for calls, far above what they take.
const LIMIT: Duration = Duration::from_secs(10);

fn target() -> TargetId {
    "target-1".parse().expect("a valid name")
}

#[tokio::test]
async fn accepted_snapshot_comes_into_force_everywhere() {
    let platform = Platform::start().await;
    let (a, b) = (
        platform.start_node("entry-a").await,
        platform.start_node("entry-b").await,
    );

    platform.write(&snapshot(1));

    for node in [&a, &b] {
        until("revision 1 is in force", || node.revision() == Revision(1)).await;
        assert!(node.health.is_ready());
    }
}

#[tokio::test]
async fn report_to_one_entry_reaches_the_other() {
    let platform = Platform::start().await;
    platform.write(&snapshot(1));
    let a = platform.start_node("entry-a").await;
    let b = platform.start_node("entry-b").await;
    until("b knows a", || b.control.view.load().entries.len() == 2).await;
    until("a knows b", || a.control.view.load().entries.len() == 2).await;

    let up = report(1, TargetState::Up);
    let answer: ReportResponse = client()
        .call(a.control.peers, path::REPORTS, &up, LIMIT)
        .await
        .expect("an answer");

    let sees = || {
        let view = b.control.view.load();
        let seen = view.targets.get(&target());
        seen.is_some_and(|seen| seen.liveness == Liveness::Alive)
    };
    until("b sees the target", sees).await;
    assert_eq!(answer.revision, Revision(1));
    assert!(!answer.drained);
}

#[tokio::test]
async fn start_with_the_service_down_takes_a_peers_configuration() {
    let platform = Platform::start().await;
    platform.write(&snapshot(3));
    let a = platform.start_node("entry-a").await;
    until("a has it", || a.revision() == Revision(3)).await;
    platform.key_value.set_faults(EtcdFaults {
        unavailable: true,
        ..EtcdFaults::default()
    });

    let b = platform.start_node("entry-b").await;

    until("b has it", || b.revision() == Revision(3)).await;
    assert!(b.health.is_ready());
}

#[tokio::test]
async fn start_with_the_service_down_and_no_peer_is_not_ready() {
    let platform = Platform::start().await;
    platform.write(&snapshot(3));
    platform.key_value.set_faults(EtcdFaults {
        unavailable: true,
        ..EtcdFaults::default()
    });

    let a = platform.start_node("entry-a").await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let ready = a.health.is_ready();
    platform.key_value.set_faults(EtcdFaults::default());

    assert!(!ready);
    until("a has it", || a.revision() == Revision(3)).await;
}

#[tokio::test]
async fn stopped_control_breaks_its_connections() {
    let platform = Platform::start().await;
    let a = platform.start_node("entry-a").await;
    let client = client();
    let up = report(1, TargetState::Up);
    let first = client
        .call::<_, ReportResponse>(a.control.peers, path::REPORTS, &up, LIMIT)
        .await;
    assert!(first.is_ok());

    a.supervisor.stop();

    let address = a.control.peers;
    until("the port is closed", || {
        std::net::TcpStream::connect(address).is_err()
    })
    .await;
}
