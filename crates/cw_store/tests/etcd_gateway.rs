//! What a failed call to the gateway means, and when the next gateway is tried.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use cw_store::EtcdGateway;
use cw_store::KeyValueStore;
use cw_store::LeaseId;
use cw_store::ModRevision;
use cw_store::StoreError;
use cw_store::Swap;
use cw_store::WatchEvent;
use futures::StreamExt;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// A gateway that gives every call the same answer, or breaks the connection.
struct Fake {
    address: SocketAddr,
    calls: Arc<AtomicUsize>,
}

impl Fake {
    async fn start(answer: Option<String>) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("a free port");
        let address = listener.local_addr().expect("an address");
        let calls = Arc::new(AtomicUsize::new(0));
        let counted = calls.clone();
        tokio::spawn(async move {
            while let Ok((mut socket, _)) = listener.accept().await {
                let mut buffer = vec![0; 1 << 16];
                let Ok(1..) = socket.read(&mut buffer).await else {
                    continue;
                };
                counted.fetch_add(1, Ordering::SeqCst);
                if let Some(answer) = &answer {
                    let _ = socket.write_all(answer.as_bytes()).await;
                }
            }
        });
        Self { address, calls }
    }

    fn calls(&self) -> usize {
        self.calls.load(Ordering::SeqCst)
    }
}

fn answer(status: &str, body: &str) -> Option<String> {
    let length = body.len();
    Some(format!(
        "HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
    ))
}

/// An address that nothing listens on.
async fn closed() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a free port");
    listener.local_addr().expect("an address")
}

fn swapped() -> Option<String> {
    answer("200 OK", r#"{"header":{"revision":"8"},"succeeded":true}"#)
}

async fn swap(gateways: Vec<SocketAddr>) -> Result<Swap, StoreError> {
    let gateway = EtcdGateway::new(gateways);
    let expected = Some(ModRevision(7));
    gateway.swap("k", expected, Bytes::from("v"), None).await
}

#[tokio::test]
async fn refused_connection_had_no_effect() {
    let outcome = swap(vec![closed().await]).await;

    assert!(matches!(outcome, Err(StoreError::Unavailable { .. })));
}

#[rstest]
#[case::broken(None, false)]
#[case::refused(
    answer("503 Unavailable", r#"{"code":14,"message":"no leader"}"#),
    true
)]
#[case::timed_out(
    answer("503 Unavailable", r#"{"code":14,"message":"request timed out"}"#),
    false
)]
#[case::internal(answer("500 Internal", "{}"), false)]
#[case::too_many(
    answer("429 Too Many", r#"{"code":8,"message":"too many requests"}"#),
    true
)]
#[tokio::test]
async fn write_goes_on_to_the_next_gateway_only_without_effect(
    #[case] first: Option<String>,
    #[case] goes_on: bool,
) {
    let first = Fake::start(first).await;
    let second = Fake::start(swapped()).await;

    let outcome = swap(vec![first.address, second.address]).await;

    match goes_on {
        true => assert_eq!(outcome, Ok(Swap::Done(ModRevision(8)))),
        false => assert!(matches!(outcome, Err(StoreError::OutcomeUnknown { .. }))),
    }
    assert_eq!(first.calls(), 1);
    assert_eq!(second.calls(), usize::from(goes_on));
}

#[tokio::test]
async fn read_goes_on_to_the_next_gateway_after_any_failure() {
    let first = Fake::start(None).await;
    let body =
        r#"{"kvs":[{"key":"aw==","value":"dg==","create_revision":"3","mod_revision":"7"}]}"#;
    let second = Fake::start(answer("200 OK", body)).await;
    let gateway = EtcdGateway::new(vec![first.address, second.address]);

    let found = gateway.get("k").await.expect("an answer").expect("a key");
    gateway.get("k").await.expect("an answer");

    assert_eq!(found.value, "v");
    assert_eq!(found.modified, ModRevision(7));
    assert_eq!(found.created, ModRevision(3));
    assert_eq!(first.calls(), 1, "the one that answered is asked first");
}

#[tokio::test]
async fn conflict_says_what_the_key_holds() {
    let body = r#"{"header":{"revision":"9"},"responses":[{"response_range":
        {"kvs":[{"key":"aw==","value":"dg==","create_revision":"3","mod_revision":"9"}]}}]}"#;
    let gateway = Fake::start(answer("200 OK", body)).await;

    let outcome = swap(vec![gateway.address]).await;

    let Ok(Swap::Conflict(Some(found))) = outcome else {
        panic!("expected a conflict, found {outcome:?}");
    };
    assert_eq!(found.modified, ModRevision(9));
}

#[rstest]
#[case::not_found("404 Not Found", r#"{"code":5,"message":"requested lease not found"}"#)]
#[case::no_time_left("200 OK", r#"{"result":{"ID":"7"}}"#)]
#[tokio::test]
async fn lapsed_lease_is_told(#[case] status: &str, #[case] body: &str) {
    let fake = Fake::start(answer(status, body)).await;
    let gateway = EtcdGateway::new(vec![fake.address]);

    let outcome = gateway.keep_alive(LeaseId(7)).await;

    assert_eq!(outcome, Err(StoreError::LeaseExpired));
}

#[tokio::test]
async fn watch_reads_events_a_line_each_and_ends_with_an_error() {
    let lines = concat!(
        r#"{"result":{"header":{"revision":"4"},"created":true}}"#,
        "\n",
        r#"{"result":{"header":{"revision":"5"},"events":[{"kv":{"key":"aw==","value":"dg==","#,
        r#""create_revision":"5","mod_revision":"5"}},{"type":"DELETE","kv":{"key":"aw==","#,
        r#""mod_revision":"6"}}]}}"#,
        "\n",
    );
    let fake = Fake::start(answer("200 OK", lines)).await;
    let gateway = EtcdGateway::new(vec![fake.address]);

    let stream = gateway.watch("k", ModRevision(4)).await.expect("a watch");
    let items: Vec<_> = stream.collect().await;

    assert_eq!(items.len(), 4);
    assert_eq!(items[0], Ok(WatchEvent::Progress(ModRevision(4))));
    assert!(matches!(&items[1], Ok(WatchEvent::Put(put)) if put.value == "v"));
    assert!(matches!(&items[2], Ok(WatchEvent::Deleted { .. })));
    assert!(matches!(&items[3], Err(StoreError::Unavailable { .. })));
}
