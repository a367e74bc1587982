//! Tests how failed calls to a gateway are classified, and when the next gateway is tried.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use cw_store::EtcdGateway;
use cw_store::KeyValueStore;
use cw_store::LeaseId;
use cw_store::StoreError;
use cw_store::StoreRevision;
use cw_store::Swap;
use cw_store::WatchEvent;
use futures::StreamExt;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// A gateway that gives every call the same response, or closes the connection.
struct FakeGateway {
    address: SocketAddr,
    calls: Arc<AtomicUsize>,
}

impl FakeGateway {
    async fn start(response: Option<String>) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("a free port");
        let address = listener.local_addr().expect("an address");
        let calls = Arc::new(AtomicUsize::new(0));
        let call_count = calls.clone();
        tokio::spawn(async move {
            while let Ok((mut socket, _)) = listener.accept().await {
                let mut buffer = vec![0; 1 << 16];
                let Ok(1..) = socket.read(&mut buffer).await else {
                    continue;
                };
                call_count.fetch_add(1, Ordering::SeqCst);
                if let Some(response) = &response {
                    let _ = socket.write_all(response.as_bytes()).await;
                }
            }
        });
        Self { address, calls }
    }

    fn calls(&self) -> usize {
        self.calls.load(Ordering::SeqCst)
    }
}

fn http_response(status: &str, body: &str) -> Option<String> {
    let length = body.len();
    Some(format!(
        "HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
    ))
}

/// Returns an address that nothing listens on.
async fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a free port");
    listener.local_addr().expect("an address")
}

fn swap_response() -> Option<String> {
    http_response("200 OK", r#"{"header":{"revision":"8"},"succeeded":true}"#)
}

async fn swap(gateways: Vec<SocketAddr>) -> Result<Swap, StoreError> {
    let gateway = EtcdGateway::new(gateways);
    let expected = Some(StoreRevision(7));
    gateway.swap("k", expected, Bytes::from("v"), None).await
}

#[tokio::test]
async fn refused_connection_is_reported_as_unavailable() {
    let outcome = swap(vec![unused_address().await]).await;

    assert!(matches!(outcome, Err(StoreError::Unavailable { .. })));
}

#[rstest]
#[case::broken(None, false)]
#[case::refused(
    http_response("503 Unavailable", r#"{"code":14,"message":"no leader"}"#),
    true
)]
#[case::timed_out(
    http_response("503 Unavailable", r#"{"code":14,"message":"request timed out"}"#),
    false
)]
#[case::internal(http_response("500 Internal", "{}"), false)]
#[case::too_many(
    http_response("429 Too Many", r#"{"code":8,"message":"too many requests"}"#),
    true
)]
#[tokio::test]
async fn write_tries_the_next_gateway_only_after_a_call_without_effect(
    #[case] first: Option<String>,
    #[case] tries_next: bool,
) {
    let first = FakeGateway::start(first).await;
    let second = FakeGateway::start(swap_response()).await;

    let outcome = swap(vec![first.address, second.address]).await;

    match tries_next {
        true => assert_eq!(outcome, Ok(Swap::Done(StoreRevision(8)))),
        false => assert!(matches!(outcome, Err(StoreError::OutcomeUnknown { .. }))),
    }
    assert_eq!(first.calls(), 1);
    assert_eq!(second.calls(), usize::from(tries_next));
}

#[tokio::test]
async fn read_tries_the_next_gateway_after_any_failure() {
    let first = FakeGateway::start(None).await;
    let body =
        r#"{"kvs":[{"key":"aw==","value":"dg==","create_revision":"3","mod_revision":"7"}]}"#;
    let second = FakeGateway::start(http_response("200 OK", body)).await;
    let gateway = EtcdGateway::new(vec![first.address, second.address]);

    let found = gateway.get("k").await.expect("a response").expect("a key");
    gateway.get("k").await.expect("a response");

    assert_eq!(found.value, "v");
    assert_eq!(found.modified, StoreRevision(7));
    assert_eq!(found.created, StoreRevision(3));
    assert_eq!(
        first.calls(),
        1,
        "the second read starts at the gateway that responded"
    );
}

#[tokio::test]
async fn conflict_returns_the_current_value() {
    let body = r#"{"header":{"revision":"9"},"responses":[{"response_range":
        {"kvs":[{"key":"aw==","value":"dg==","create_revision":"3","mod_revision":"9"}]}}]}"#;
    let gateway = FakeGateway::start(http_response("200 OK", body)).await;

    let outcome = swap(vec![gateway.address]).await;

    let Ok(Swap::Conflict(Some(found))) = outcome else {
        panic!("expected a conflict, found {outcome:?}");
    };
    assert_eq!(found.modified, StoreRevision(9));
}

#[rstest]
#[case::not_found("404 Not Found", r#"{"code":5,"message":"requested lease not found"}"#)]
#[case::no_time_left("200 OK", r#"{"result":{"ID":"7"}}"#)]
#[tokio::test]
async fn expired_lease_is_reported(#[case] status: &str, #[case] body: &str) {
    let server = FakeGateway::start(http_response(status, body)).await;
    let gateway = EtcdGateway::new(vec![server.address]);

    let outcome = gateway.keep_alive(LeaseId(7)).await;

    assert_eq!(outcome, Err(StoreError::LeaseExpired));
}

/// Guards against taking a gateway that does not serve the path for the end of the lease.
#[tokio::test]
async fn an_unknown_path_is_not_an_expired_lease() {
    let body = r#"{"code":5,"message":"Not Found"}"#;
    let server = FakeGateway::start(http_response("404 Not Found", body)).await;
    let gateway = EtcdGateway::new(vec![server.address]);

    let outcome = gateway.keep_alive(LeaseId(7)).await;

    assert!(
        matches!(outcome, Err(StoreError::Unavailable { .. })),
        "{outcome:?}"
    );
}

/// Guards against watching the same compacted revision again and again: the caller must list the
/// keys instead.
#[rstest]
#[case::compacted(r#","compact_revision":"9""#, true)]
#[case::canceled("", false)]
#[tokio::test]
async fn a_watch_that_compaction_ends_is_distinguished(
    #[case] field: &str,
    #[case] compacted: bool,
) {
    let line = format!(r#"{{"result":{{"header":{{"revision":"9"}},"canceled":true{field}}}}}"#);
    let server = FakeGateway::start(http_response("200 OK", &(line + "\n"))).await;
    let gateway = EtcdGateway::new(vec![server.address]);

    let stream = gateway.watch("k", StoreRevision(4)).await.expect("a watch");
    let items: Vec<_> = stream.collect().await;

    assert_eq!(
        items[0] == Err(StoreError::Compacted),
        compacted,
        "{items:?}"
    );
}

#[tokio::test]
async fn watch_parses_one_message_per_line_and_ends_with_an_error() {
    let lines = concat!(
        r#"{"result":{"header":{"revision":"4"},"created":true}}"#,
        "\n",
        r#"{"result":{"header":{"revision":"5"},"events":[{"kv":{"key":"aw==","value":"dg==","#,
        r#""create_revision":"5","mod_revision":"5"}},{"type":"DELETE","kv":{"key":"aw==","#,
        r#""mod_revision":"6"}}]}}"#,
        "\n",
    );
    let server = FakeGateway::start(http_response("200 OK", lines)).await;
    let gateway = EtcdGateway::new(vec![server.address]);

    let stream = gateway.watch("k", StoreRevision(4)).await.expect("a watch");
    let items: Vec<_> = stream.collect().await;

    assert_eq!(items.len(), 4);
    assert_eq!(
        items[0],
        Ok(WatchEvent::Progress {
            revision: StoreRevision(4),
            age: Duration::ZERO,
        })
    );
    assert!(matches!(&items[1], Ok(WatchEvent::Put(put)) if put.value == "v"));
    assert!(matches!(&items[2], Ok(WatchEvent::Deleted { .. })));
    assert!(matches!(&items[3], Err(StoreError::Unavailable { .. })));
}
