//! A client of the gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use futures::stream::BoxStream;
use http::Method;
use http::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::json::Compare;
use super::json::ErrorBody;
use super::json::GrantRequest;
use super::json::LeaseRequest;
use super::json::LeaseResponse;
use super::json::Operation;
use super::json::PutRequest;
use super::json::RangeRequest;
use super::json::RangeResponse;
use super::json::Streamed;
use super::json::TxnRequest;
use super::json::TxnResponse;
use super::json::WatchCreate;
use super::json::WatchRequest;
use super::json::encode;
use super::json::range_end;
use super::watch::events;
use crate::KeyValueStore;
use crate::LeaseId;
use crate::ModRevision;
use crate::StoreError;
use crate::Swap;
use crate::Versioned;
use crate::WatchEvent;
use crate::http_client::HttpClient;
use crate::http_client::HttpResponse;
use crate::http_client::parse_json;

/// The status code of gRPC for something that does not exist.
const GRPC_NOT_FOUND: i32 = 5;

/// Words in an error of etcd that leave open whether a write took effect.
const AMBIGUOUS: [&str; 3] = ["timed out", "leader changed", "server stopped"];

/// Whether a call may be made twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Repeat {
    /// It changes nothing, or changes the same again.
    Safe,
    /// A second run could differ from the first.
    Unsafe,
}

/// A key-value service behind one or more JSON gateways of etcd.
///
/// A read goes on to the next gateway after any failure, a write only when it had no effect.
#[derive(Clone, Debug)]
pub struct EtcdGateway {
    gateways: Vec<SocketAddr>,
    preferred: Arc<AtomicUsize>,
    client: HttpClient,
}

impl EtcdGateway {
    /// Returns a client that tries `gateways` in turn, beginning with the last that answered.
    pub fn new(gateways: Vec<SocketAddr>) -> Self {
        Self {
            gateways,
            preferred: Arc::default(),
            client: HttpClient::default(),
        }
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        request: &Q,
        repeat: Repeat,
    ) -> Result<A, StoreError> {
        let body = to_body(request)?;
        let answer = self
            .each(repeat, |gateway| {
                let body = body.clone();
                async move {
                    let answer = self.client.call(Method::POST, gateway, path, body).await?;
                    checked(answer)
                }
            })
            .await?;
        parse_json(&answer)
    }

    async fn each<T, F>(
        &self,
        repeat: Repeat,
        attempt: impl Fn(SocketAddr) -> F,
    ) -> Result<T, StoreError>
    where
        F: Future<Output = Result<T, StoreError>>,
    {
        let first = self.preferred.load(Ordering::Relaxed);
        let mut last = StoreError::Unavailable {
            message: "no gateway is configured".to_owned(),
        };
        for step in 0..self.gateways.len() {
            let index = (first + step) % self.gateways.len();
            match attempt(self.gateways[index]).await {
                Ok(answer) => {
                    self.preferred.store(index, Ordering::Relaxed);
                    return Ok(answer);
                }
                Err(error) if may_go_on(&error, repeat) => last = error,
                Err(error) => return Err(error),
            }
        }
        // The next call begins elsewhere, since the preferred gateway did not answer.
        self.preferred.store(first + 1, Ordering::Relaxed);
        Err(last)
    }

    async fn range(&self, request: RangeRequest) -> Result<Vec<Versioned>, StoreError> {
        let answer: RangeResponse = self.call("/v3/kv/range", &request, Repeat::Safe).await?;
        answer
            .kvs
            .into_iter()
            .map(|pair| pair.versioned())
            .collect()
    }

    async fn transact(
        &self,
        key: &str,
        expected: Option<ModRevision>,
        operation: Operation,
    ) -> Result<Swap, StoreError> {
        let read = RangeRequest::one(key);
        let request = TxnRequest {
            compare: vec![Compare::new(key, expected)],
            success: vec![operation],
            failure: vec![Operation::Range(read)],
        };
        let answer: TxnResponse = self.call("/v3/kv/txn", &request, Repeat::Unsafe).await?;
        if answer.succeeded {
            return Ok(Swap::Done(ModRevision(answer.header.revision)));
        }
        let found = answer
            .responses
            .into_iter()
            .find_map(|response| response.response_range)
            .and_then(|range| range.kvs.into_iter().next())
            .map(|pair| pair.versioned())
            .transpose()?;
        Ok(Swap::Conflict(found))
    }
}

/// Returns whether the next gateway may be tried after `error`.
fn may_go_on(error: &StoreError, repeat: Repeat) -> bool {
    match error {
        StoreError::Unavailable { .. } => true,
        StoreError::OutcomeUnknown { .. } => repeat == Repeat::Safe,
        StoreError::LeaseExpired | StoreError::Compacted | StoreError::Protocol { .. } => false,
    }
}

fn to_body<Q: Serialize>(request: &Q) -> Result<Bytes, StoreError> {
    serde_json::to_vec(request)
        .map(Bytes::from)
        .map_err(|error| StoreError::Protocol {
            message: error.to_string(),
        })
}

/// Sorts an answer by whether the call had an effect.
fn checked(answer: HttpResponse) -> Result<Bytes, StoreError> {
    if answer.status == StatusCode::OK {
        return Ok(answer.body);
    }
    let error: ErrorBody = serde_json::from_slice(&answer.body).unwrap_or_default();
    let message = format!("{}: {}", answer.status, error.message);
    if error.code == GRPC_NOT_FOUND {
        return Err(StoreError::LeaseExpired);
    }
    let refused =
        answer.status.is_client_error() || answer.status == StatusCode::SERVICE_UNAVAILABLE;
    let ambiguous = AMBIGUOUS.iter().any(|words| error.message.contains(words));
    match refused && !ambiguous {
        true => Err(StoreError::Unavailable { message }),
        false => Err(StoreError::OutcomeUnknown { message }),
    }
}

impl KeyValueStore for EtcdGateway {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Versioned>, StoreError>> {
        self.range(RangeRequest::one(key))
            .map(|found| found.map(|pairs| pairs.into_iter().next()))
            .boxed()
    }

    fn modified<'a>(
        &'a self,
        key: &'a str,
    ) -> BoxFuture<'a, Result<Option<ModRevision>, StoreError>> {
        let request = RangeRequest {
            keys_only: true,
            ..RangeRequest::one(key)
        };
        self.range(request)
            .map(|found| found.map(|pairs| pairs.first().map(|pair| pair.modified)))
            .boxed()
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<Versioned>, StoreError>> {
        let request = RangeRequest {
            key: encode(prefix),
            range_end: Some(range_end(prefix)),
            keys_only: false,
        };
        self.range(request).boxed()
    }

    fn swap<'a>(
        &'a self,
        key: &'a str,
        expected: Option<ModRevision>,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'a, Result<Swap, StoreError>> {
        let put = PutRequest {
            key: encode(key),
            value: encode(value),
            lease: lease.map(|lease| lease.0),
        };
        self.transact(key, expected, Operation::Put(put)).boxed()
    }

    fn remove<'a>(
        &'a self,
        key: &'a str,
        expected: ModRevision,
    ) -> BoxFuture<'a, Result<Swap, StoreError>> {
        let delete = RangeRequest::one(key);
        self.transact(key, Some(expected), Operation::Delete(delete))
            .boxed()
    }

    fn grant(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, StoreError>> {
        async move {
            let request = GrantRequest {
                ttl: ttl.as_secs().max(1),
            };
            // A lease that is granted twice leaves one unused, which lapses by itself.
            let answer: LeaseResponse =
                self.call("/v3/lease/grant", &request, Repeat::Safe).await?;
            Ok(LeaseId(answer.id))
        }
        .boxed()
    }

    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<Duration, StoreError>> {
        async move {
            let request = LeaseRequest { id: lease.0 };
            let answer: Streamed<LeaseResponse> = self
                .call("/v3/lease/keepalive", &request, Repeat::Safe)
                .await?;
            match answer.result.ttl {
                0 => Err(StoreError::LeaseExpired),
                seconds => Ok(Duration::from_secs(seconds)),
            }
        }
        .boxed()
    }

    fn revoke(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        async move {
            let request = LeaseRequest { id: lease.0 };
            let _: serde_json::Value = self
                .call("/v3/lease/revoke", &request, Repeat::Safe)
                .await?;
            Ok(())
        }
        .boxed()
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: ModRevision,
    ) -> BoxFuture<'a, Result<BoxStream<'static, Result<WatchEvent, StoreError>>, StoreError>> {
        async move {
            let request = WatchRequest {
                create_request: WatchCreate {
                    key: encode(prefix),
                    range_end: range_end(prefix),
                    start_revision: after.0 + 1,
                    progress_notify: true,
                },
            };
            let body = to_body(&request)?;
            let response = self
                .each(Repeat::Safe, |gateway| {
                    self.client
                        .post_streaming(gateway, "/v3/watch", body.clone())
                })
                .await?;
            match response.status() {
                StatusCode::OK => Ok(events(response)),
                status => Err(StoreError::Unavailable {
                    message: format!("the watch was refused: {status}"),
                }),
            }
        }
        .boxed()
    }
}
