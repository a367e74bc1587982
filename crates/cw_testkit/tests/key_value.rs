//! Tests of the fake etcd through the client that the daemon uses.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::within_timeout;
use cw_store::EtcdGateway;
use cw_store::KeyValueStore as _;
use cw_store::StoreError;
use cw_store::StoreRevision;
use cw_store::Swap;
use cw_store::WatchEvent;
use cw_testkit::EtcdFaults;
use cw_testkit::FakeEtcd;
use futures::StreamExt;

async fn start_etcd() -> (FakeEtcd, EtcdGateway) {
    let service = FakeEtcd::start().await.expect("a port is free");
    let client = EtcdGateway::new(vec![service.address]);
    (service, client)
}

fn value(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

#[tokio::test]
async fn a_swap_needs_the_expected_revision() {
    let (_service, client) = start_etcd().await;

    let first = client.swap("k", None, value("a"), None).await;
    let Ok(Swap::Done(revision)) = first else {
        panic!("the key is new: {first:?}");
    };
    let stale = client.swap("k", None, value("b"), None).await;
    let next = client.swap("k", Some(revision), value("c"), None).await;

    let Ok(Swap::Conflict(Some(found))) = stale else {
        panic!("the key exists: {stale:?}");
    };
    assert_eq!(found.value, value("a"));
    assert_eq!(found.modified, revision);
    assert!(matches!(next, Ok(Swap::Done(_))));
}

#[tokio::test]
async fn a_write_with_a_lost_response_takes_effect() {
    let (service, client) = start_etcd().await;
    service.set_faults(EtcdFaults {
        lost_responses: 1,
        ..EtcdFaults::default()
    });

    let lost = client.swap("k", None, value("a"), None).await;

    assert!(
        matches!(lost, Err(StoreError::OutcomeUnknown { .. })),
        "{lost:?}"
    );
    assert_eq!(service.get("k"), Some(value("a")));
}

#[tokio::test]
async fn a_write_to_an_unavailable_service_has_no_effect() {
    let (service, client) = start_etcd().await;
    service.set_faults(EtcdFaults {
        unavailable: true,
        ..EtcdFaults::default()
    });

    let refused = client.swap("k", None, value("a"), None).await;

    assert!(matches!(refused, Err(StoreError::Unavailable { .. })));
    assert_eq!(service.get("k"), None);
}

#[tokio::test]
async fn keys_of_an_expired_lease_are_deleted_and_reported_to_watches() {
    let (_service, client) = start_etcd().await;
    let mut events = client
        .watch("k", StoreRevision(0))
        .await
        .expect("the service is available");
    let lease = client
        .grant(Duration::from_secs(1))
        .await
        .expect("the service is available");

    let put = client.swap("k/1", None, value("a"), Some(lease)).await;
    let mut seen = Vec::new();
    while seen.len() < 2 {
        match within_timeout(events.next()).await {
            Some(Ok(WatchEvent::Put(found))) => seen.push(found.key),
            Some(Ok(WatchEvent::Deleted { key, .. })) => seen.push(format!("-{key}")),
            Some(Ok(WatchEvent::Progress { .. })) => {}
            other => panic!("the watch ended: {other:?}"),
        }
    }

    assert!(matches!(put, Ok(Swap::Done(_))));
    assert_eq!(seen, ["k/1", "-k/1"]);
    assert_eq!(
        client.keep_alive(lease).await,
        Err(StoreError::LeaseExpired)
    );
}

#[tokio::test]
async fn restoring_a_backup_discards_later_writes() {
    let (service, client) = start_etcd().await;
    service.put("k", "a");
    let backup = service.backup();
    service.put("k", "b");

    service.restore(&backup);

    let found = client
        .get("k")
        .await
        .expect("the service is available")
        .expect("the key exists");
    assert_eq!(found.value, value("a"));
}
