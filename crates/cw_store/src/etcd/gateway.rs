//! The [`KeyValueStore`] client for etcd's JSON gateways.

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
use super::json::encode_base64;
use super::json::prefix_end;
use super::watch_reader::event_stream;
use crate::KeyValueStore;
use crate::LeaseId;
use crate::StoreError;
use crate::StoreRevision;
use crate::Swap;
use crate::Versioned;
use crate::WatchEvent;
use crate::http_client::HttpClient;
use crate::http_client::HttpResponse;
use crate::http_client::parse_json;

/// The gRPC status code `NOT_FOUND`, with which etcd answers a call for an unknown lease.
const GRPC_NOT_FOUND: i32 = 5;

/// The phrase in etcd's message about an unknown lease. A gateway answers a path that it does not
/// serve with the same code and another message.
const LEASE_NOT_FOUND: &str = "lease not found";

/// Phrases in etcd's error messages that leave open whether a write took effect.
const AMBIGUOUS_ERRORS: [&str; 3] = ["timed out", "leader changed", "server stopped"];

/// Whether a call whose outcome is unknown may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RetrySafety {
    /// The call changes nothing, or a second call has the same result.
    Safe,
    /// A second call could have another result than the first.
    Unsafe,
}

/// A client for an etcd cluster with one or more JSON gateways.
///
/// A read is retried at the next gateway after any connection or service failure, a write only if
/// it had no effect.
#[derive(Clone, Debug)]
pub struct EtcdGateway {
    gateways: Vec<SocketAddr>,
    preferred: Arc<AtomicUsize>,
    client: HttpClient,
}

impl EtcdGateway {
    /// Creates a client that tries `gateways` in turn, starting with the last one that responded.
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
        retry_safety: RetrySafety,
    ) -> Result<A, StoreError> {
        let body = to_body(request)?;
        let response = self
            .try_gateways(retry_safety, |gateway| {
                let body = body.clone();
                async move {
                    let response = self.client.call(Method::POST, gateway, path, body).await?;
                    check_status(response)
                }
            })
            .await?;
        parse_json(&response)
    }

    async fn try_gateways<T, F>(
        &self,
        retry_safety: RetrySafety,
        attempt: impl Fn(SocketAddr) -> F,
    ) -> Result<T, StoreError>
    where
        F: Future<Output = Result<T, StoreError>>,
    {
        let first = self.preferred.load(Ordering::Relaxed);
        let mut last_error = StoreError::Unavailable {
            message: "no gateway is configured".to_owned(),
        };
        for step in 0..self.gateways.len() {
            let index = (first + step) % self.gateways.len();
            match attempt(self.gateways[index]).await {
                Ok(response) => {
                    self.preferred.store(index, Ordering::Relaxed);
                    return Ok(response);
                }
                Err(error) if may_try_next(&error, retry_safety) => last_error = error,
                Err(error) => return Err(error),
            }
        }
        // Every gateway failed, so the next call starts with a different one.
        self.preferred.store(first + 1, Ordering::Relaxed);
        Err(last_error)
    }

    async fn range(&self, request: RangeRequest) -> Result<Vec<Versioned>, StoreError> {
        let response: RangeResponse = self
            .call("/v3/kv/range", &request, RetrySafety::Safe)
            .await?;
        response
            .kvs
            .into_iter()
            .map(|pair| pair.into_versioned())
            .collect()
    }

    async fn transact(
        &self,
        key: &str,
        expected: Option<StoreRevision>,
        operation: Operation,
    ) -> Result<Swap, StoreError> {
        let read = RangeRequest::single_key(key);
        let request = TxnRequest {
            compare: vec![Compare::new(key, expected)],
            success: vec![operation],
            failure: vec![Operation::Range(read)],
        };
        let response: TxnResponse = self
            .call("/v3/kv/txn", &request, RetrySafety::Unsafe)
            .await?;
        if response.succeeded {
            return Ok(Swap::Done(StoreRevision(response.header.revision)));
        }
        let found = response
            .responses
            .into_iter()
            .find_map(|operation| operation.response_range)
            .and_then(|range| range.kvs.into_iter().next())
            .map(|pair| pair.into_versioned())
            .transpose()?;
        Ok(Swap::Conflict(found))
    }
}

/// Returns whether the next gateway may be tried after `error`.
fn may_try_next(error: &StoreError, retry_safety: RetrySafety) -> bool {
    match error {
        StoreError::Unavailable { .. } => true,
        StoreError::OutcomeUnknown { .. } => retry_safety == RetrySafety::Safe,
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

/// Returns the body of a successful response, or an error that tells whether the call may have had
/// an effect.
fn check_status(response: HttpResponse) -> Result<Bytes, StoreError> {
    if response.status == StatusCode::OK {
        return Ok(response.body);
    }
    let error: ErrorBody = serde_json::from_slice(&response.body).unwrap_or_default();
    let message = format!("{}: {}", response.status, error.message);
    if error.code == GRPC_NOT_FOUND && error.message.contains(LEASE_NOT_FOUND) {
        return Err(StoreError::LeaseExpired);
    }
    let is_rejected =
        response.status.is_client_error() || response.status == StatusCode::SERVICE_UNAVAILABLE;
    let is_ambiguous = AMBIGUOUS_ERRORS
        .iter()
        .any(|phrase| error.message.contains(phrase));
    match is_rejected && !is_ambiguous {
        true => Err(StoreError::Unavailable { message }),
        false => Err(StoreError::OutcomeUnknown { message }),
    }
}

impl KeyValueStore for EtcdGateway {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Versioned>, StoreError>> {
        self.range(RangeRequest::single_key(key))
            .map(|found| found.map(|pairs| pairs.into_iter().next()))
            .boxed()
    }

    fn modified<'a>(
        &'a self,
        key: &'a str,
    ) -> BoxFuture<'a, Result<Option<StoreRevision>, StoreError>> {
        let request = RangeRequest {
            keys_only: true,
            ..RangeRequest::single_key(key)
        };
        self.range(request)
            .map(|found| found.map(|pairs| pairs.first().map(|pair| pair.modified)))
            .boxed()
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<Versioned>, StoreError>> {
        let request = RangeRequest {
            key: encode_base64(prefix),
            range_end: Some(prefix_end(prefix)),
            keys_only: false,
        };
        self.range(request).boxed()
    }

    fn swap<'a>(
        &'a self,
        key: &'a str,
        expected: Option<StoreRevision>,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'a, Result<Swap, StoreError>> {
        let put = PutRequest {
            key: encode_base64(key),
            value: encode_base64(value),
            lease: lease.map(|lease| lease.0),
        };
        self.transact(key, expected, Operation::Put(put)).boxed()
    }

    fn remove<'a>(
        &'a self,
        key: &'a str,
        expected: StoreRevision,
    ) -> BoxFuture<'a, Result<Swap, StoreError>> {
        let delete = RangeRequest::single_key(key);
        self.transact(key, Some(expected), Operation::Delete(delete))
            .boxed()
    }

    fn grant(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, StoreError>> {
        async move {
            let request = GrantRequest {
                ttl: ttl.as_secs().max(1),
            };
            // A repeated call leaves an unused lease, which expires by itself.
            let response: LeaseResponse = self
                .call("/v3/lease/grant", &request, RetrySafety::Safe)
                .await?;
            Ok(LeaseId(response.id))
        }
        .boxed()
    }

    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<Duration, StoreError>> {
        async move {
            let request = LeaseRequest { id: lease.0 };
            let response: Streamed<LeaseResponse> = self
                .call("/v3/lease/keepalive", &request, RetrySafety::Safe)
                .await?;
            match response.result.ttl {
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
                .call("/v3/lease/revoke", &request, RetrySafety::Safe)
                .await?;
            Ok(())
        }
        .boxed()
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: StoreRevision,
    ) -> BoxFuture<'a, Result<BoxStream<'static, Result<WatchEvent, StoreError>>, StoreError>> {
        async move {
            let request = WatchRequest {
                create_request: WatchCreate {
                    key: encode_base64(prefix),
                    range_end: prefix_end(prefix),
                    start_revision: after.0 + 1,
                    progress_notify: true,
                },
            };
            let body = to_body(&request)?;
            let response = self
                .try_gateways(RetrySafety::Safe, |gateway| {
                    self.client
                        .post_streaming(gateway, "/v3/watch", body.clone())
                })
                .await?;
            match response.status() {
                StatusCode::OK => Ok(event_stream(response)),
                status => Err(StoreError::Unavailable {
                    message: format!("the service rejected the watch: {status}"),
                }),
            }
        }
        .boxed()
    }
}
