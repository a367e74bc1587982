//! The HTTP routes of the JSON gateway.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cw_types::Time;
use futures::FutureExt;
use futures::Stream;
use futures::future::BoxFuture;
use futures::stream::unfold;
use http::Request;
use http::StatusCode;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;

use crate::server::Handler;
use crate::server::HttpResponse;
use crate::server::NoResponse;
use crate::server::json_response;
use crate::server::read_bytes;
use crate::server::stream_response;

use super::api::CreateBody;
use super::api::GrantBody;
use super::api::LeaseBody;
use super::api::PutBody;
use super::api::RangeBody;
use super::api::TxnBody;
use super::api::WatchBody;
use super::api::event_json;
use super::api::header_json;
use super::etcd_store::EtcdStore;
use super::fake_etcd::EtcdState;

/// The interval of progress notifications to a watch that requests them.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// The gRPC status codes that the gateway returns.
const GRPC_INVALID_ARGUMENT: u32 = 3;
const GRPC_NOT_FOUND: u32 = 5;
const GRPC_UNAVAILABLE: u32 = 14;

/// The outcome of a call that is not a watch.
enum CallOutcome {
    Read(Value),
    Written(Value),
    Failed(StatusCode, u32, &'static str),
}

impl Handler for EtcdState {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<HttpResponse, NoResponse>> {
        self.route(request).boxed()
    }
}

impl EtcdState {
    async fn route(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<HttpResponse, NoResponse> {
        let path = request.uri().path().to_owned();
        let body = read_bytes(request).await?;
        self.count(&path);
        let faults = self.faults().clone();
        tokio::time::sleep(faults.delay).await;
        if faults.unavailable {
            let unavailable = StatusCode::SERVICE_UNAVAILABLE;
            return Ok(error_response(
                unavailable,
                GRPC_UNAVAILABLE,
                "the service is unavailable",
            ));
        }
        if path == "/v3/watch" {
            return Ok(self.watch(&body));
        }
        match self.call(&path, &body) {
            CallOutcome::Read(value) => Ok(json_response(StatusCode::OK, &value)),
            CallOutcome::Written(_) if self.take_lost_response() => Err(NoResponse),
            CallOutcome::Written(value) => Ok(json_response(StatusCode::OK, &value)),
            CallOutcome::Failed(status, code, message) => Ok(error_response(status, code, message)),
        }
    }

    fn call(&self, path: &str, body: &[u8]) -> CallOutcome {
        let now = self.clock.now();
        let mut store = self.store();
        store.expire(now);
        let outcome = execute(&mut store, now, path, body).unwrap_or(CallOutcome::Failed(
            StatusCode::BAD_REQUEST,
            GRPC_INVALID_ARGUMENT,
            "the request body is invalid",
        ));
        drop(store);
        if matches!(outcome, CallOutcome::Written(_)) {
            self.changed.send_modify(|count| *count += 1);
        }
        outcome
    }

    // ---- Watches

    fn watch(self: Arc<Self>, body: &[u8]) -> HttpResponse {
        let Ok(WatchBody { create_request }) = serde_json::from_slice(body) else {
            return error_response(
                StatusCode::BAD_REQUEST,
                GRPC_INVALID_ARGUMENT,
                "the request body is invalid",
            );
        };
        stream_response("application/json", Arc::clone(&self).events(create_request))
    }

    fn events(self: Arc<Self>, body: CreateBody) -> impl Stream<Item = Bytes> + Send {
        let present = self.store().revision;
        let next = match body.start_revision {
            0 => present + 1,
            revision => revision,
        };
        let created = json!({ "header": header_json(&self.store()), "created": true });
        let watch = Watch {
            changed: self.changed.subscribe(),
            state: self,
            body,
            next,
            created: Some(created),
        };
        unfold(watch, |mut watch| async {
            let value = watch.next().await;
            let mut line = json!({ "result": value }).to_string();
            line.push('\n');
            Some((Bytes::from(line), watch))
        })
    }
}

struct Watch {
    state: Arc<EtcdState>,
    changed: tokio::sync::watch::Receiver<u64>,
    body: CreateBody,
    next: i64,
    created: Option<Value>,
}

impl Watch {
    async fn next(&mut self) -> Value {
        if let Some(created) = self.created.take() {
            return created;
        }
        loop {
            self.changed.mark_unchanged();
            if let Some(value) = self.poll() {
                return value;
            }
            match tokio::time::timeout(PROGRESS_INTERVAL, self.changed.changed()).await {
                Ok(_) => {}
                Err(_) if !self.body.progress_notify || self.state.faults().silent_watches => {}
                Err(_) => return json!({ "header": header_json(&self.state.store()) }),
            }
        }
    }

    fn poll(&mut self) -> Option<Value> {
        if self.state.faults().silent_watches {
            return None;
        }
        let mut store = self.state.store();
        store.expire(self.state.clock.now());
        let body = &self.body;
        let changes = store.changes(&body.key, &body.range_end, self.next);
        let last = changes.last()?;
        self.next = last.revision + 1;
        let events: Vec<Value> = changes.iter().map(event_json).collect();
        Some(json!({ "header": header_json(&store), "events": events }))
    }
}

// ---- Calls

fn execute(store: &mut EtcdStore, now: Time, path: &str, body: &[u8]) -> Option<CallOutcome> {
    let lease_not_found =
        CallOutcome::Failed(StatusCode::NOT_FOUND, GRPC_NOT_FOUND, "lease not found");
    Some(match path {
        "/v3/kv/range" => CallOutcome::Read(parse::<RangeBody>(body)?.read(store)),
        "/v3/kv/put" => match parse::<PutBody>(body)?.write(store) {
            Some(value) => CallOutcome::Written(value),
            None => lease_not_found,
        },
        "/v3/kv/deleterange" => CallOutcome::Written(parse::<RangeBody>(body)?.delete(store)),
        "/v3/kv/txn" => match parse::<TxnBody>(body)?.run(store) {
            Some(value) => CallOutcome::Written(value),
            None => lease_not_found,
        },
        "/v3/lease/grant" => CallOutcome::Written(grant(store, now, &parse(body)?)),
        "/v3/lease/keepalive" => {
            CallOutcome::Read(parse::<LeaseBody>(body)?.keep_alive(store, now))
        }
        "/v3/lease/revoke" | "/v3/kv/lease/revoke" => {
            match store.revoke(parse::<LeaseBody>(body)?.id) {
                true => CallOutcome::Written(json!({ "header": header_json(store) })),
                false => lease_not_found,
            }
        }
        _ => CallOutcome::Failed(StatusCode::NOT_FOUND, GRPC_NOT_FOUND, "Not Found"),
    })
}

fn grant(store: &mut EtcdStore, now: Time, body: &GrantBody) -> Value {
    let seconds = u64::try_from(body.ttl).unwrap_or(1).max(1);
    let id = store.grant(now, Duration::from_secs(seconds));
    json!({ "header": header_json(store), "ID": id.to_string(), "TTL": seconds.to_string() })
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}

fn error_response(status: StatusCode, code: u32, message: &str) -> HttpResponse {
    json_response(
        status,
        &json!({ "error": message, "code": code, "message": message }),
    )
}
