//! Tests of the configurations that come into force and of the reports that entries forward.

use std::time::Duration;

use crate::test_platform::TestPlatform;
use crate::test_platform::client;
use crate::test_platform::report;
use crate::test_platform::snapshot;
use crate::test_platform::wait_until;
use cw_policy::Liveness;
use cw_testkit::EtcdFaults;
use cw_types::Revision;
use cw_types::TargetId;
use cw_wire::ReportResponse;
use cw_wire::TargetState;
use cw_wire::path;

/// The timeout of calls, far above what they take.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

fn target_id() -> TargetId {
    "target-1".parse().expect("a valid name")
}

#[tokio::test]
async fn accepted_snapshot_comes_into_force_everywhere() {
    let platform = TestPlatform::start().await;
    let (a, b) = (
        platform.start_entry("entry-a").await,
        platform.start_entry("entry-b").await,
    );

    platform.write_snapshot(&snapshot(1));

    for entry in [&a, &b] {
        wait_until("revision 1 is in force", || entry.revision() == Revision(1)).await;
        assert!(entry.health.is_ready());
    }
}

#[tokio::test]
async fn report_to_one_entry_reaches_the_other() {
    let platform = TestPlatform::start().await;
    platform.write_snapshot(&snapshot(1));
    let a = platform.start_entry("entry-a").await;
    let b = platform.start_entry("entry-b").await;
    wait_until("b knows a", || b.control.view.load().entries.len() == 2).await;
    wait_until("a knows b", || a.control.view.load().entries.len() == 2).await;

    let up = report(1, TargetState::Up);
    let response: ReportResponse = client()
        .call(a.control.peer_address, path::REPORTS, &up, CALL_TIMEOUT)
        .await
        .expect("a response");

    let sees = || {
        let view = b.control.view.load();
        let target_view = view.targets.get(&target_id());
        target_view.is_some_and(|view| view.liveness == Liveness::Alive)
    };
    wait_until("b sees the target", sees).await;
    assert_eq!(response.revision, Revision(1));
    assert!(!response.drained);
}

/// Guards against a capacity plan that counts traffic which never left: batches to an entry that is
/// down.
#[tokio::test]
async fn bytes_of_batches_that_reach_no_entry_are_not_counted() {
    let platform = TestPlatform::start().await;
    platform.write_snapshot(&snapshot(1));
    platform.add_dead_host("entry-b");
    let entry = platform.start_entry("entry-a").await;

    wait_until("batches are not sent", || {
        entry.counter("cyclamenwharf_batches_unsent_total") >= 2.0
    })
    .await;

    assert_eq!(entry.counter("cyclamenwharf_batch_sent_bytes_total"), 0.0);
}

#[tokio::test]
async fn start_with_the_service_down_takes_a_peers_configuration() {
    let platform = TestPlatform::start().await;
    platform.write_snapshot(&snapshot(3));
    let a = platform.start_entry("entry-a").await;
    wait_until("a has the configuration", || a.revision() == Revision(3)).await;
    platform.key_value.set_faults(EtcdFaults {
        unavailable: true,
        ..EtcdFaults::default()
    });

    let b = platform.start_entry("entry-b").await;

    wait_until("b has the configuration", || b.revision() == Revision(3)).await;
    assert!(b.health.is_ready());
}

#[tokio::test]
async fn start_with_the_service_down_and_no_peer_is_not_ready() {
    let platform = TestPlatform::start().await;
    platform.write_snapshot(&snapshot(3));
    platform.key_value.set_faults(EtcdFaults {
        unavailable: true,
        ..EtcdFaults::default()
    });

    let a = platform.start_entry("entry-a").await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let ready = a.health.is_ready();
    platform.key_value.set_faults(EtcdFaults::default());

    assert!(!ready);
    wait_until("a has the configuration", || a.revision() == Revision(3)).await;
}

#[tokio::test]
async fn stopped_control_closes_its_listener() {
    let platform = TestPlatform::start().await;
    let a = platform.start_entry("entry-a").await;
    let client = client();
    let up = report(1, TargetState::Up);
    let first = client
        .call::<_, ReportResponse>(a.control.peer_address, path::REPORTS, &up, CALL_TIMEOUT)
        .await;
    assert!(first.is_ok());

    a.supervisor.stop();

    let address = a.control.peer_address;
    wait_until("the port is closed", || {
        std::net::TcpStream::connect(address).is_err()
    })
    .await;
}
