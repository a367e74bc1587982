//! The paths of the JSON gateway.

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

use crate::server::Cut;
use crate::server::Handler;
use crate::server::Reply;
use crate::server::json as json_reply;
use crate::server::read_bytes;
use crate::server::stream;

use super::api::CreateBody;
use super::api::GrantBody;
use super::api::LeaseBody;
use super::api::PutBody;
use super::api::RangeBody;
use super::api::TxnBody;
use super::api::WatchBody;
use super::api::event;
use super::api::header;
use super::key_value::Shared;
use super::tree::Tree;

/// How often a watch that asked for it is told that it lives.
const PROGRESS: Duration = Duration::from_secs(1);

/// gRPC's numbers for the errors that the gateway passes on.
const INVALID: u32 = 3;
const NOT_FOUND: u32 = 5;
const UNAVAILABLE: u32 = 14;

/// The outcome of a call that is not a watch.
enum Outcome {
    Read(Value),
    Written(Value),
    Failed(StatusCode, u32, &'static str),
}

impl Handler for Shared {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Reply, Cut>> {
        self.answer(request).boxed()
    }
}

impl Shared {
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Result<Reply, Cut> {
        let path = request.uri().path().to_owned();
        let body = read_bytes(request).await?;
        self.count(&path);
        let faults = self.faults().clone();
        tokio::time::sleep(faults.slow).await;
        if faults.down {
            let unavailable = StatusCode::SERVICE_UNAVAILABLE;
            return Ok(fail(unavailable, UNAVAILABLE, "the service is down"));
        }
        if path == "/v3/watch" {
            return Ok(self.watch(&body));
        }
        match self.call(&path, &body) {
            Outcome::Read(value) => Ok(json_reply(StatusCode::OK, &value)),
            Outcome::Written(_) if self.take_lost() => Err(Cut),
            Outcome::Written(value) => Ok(json_reply(StatusCode::OK, &value)),
            Outcome::Failed(status, code, message) => Ok(fail(status, code, message)),
        }
    }

    fn call(&self, path: &str, body: &[u8]) -> Outcome {
        let now = self.clock.now();
        let mut tree = self.tree();
        tree.expire(now);
        let outcome = run(&mut tree, now, path, body).unwrap_or(Outcome::Failed(
            StatusCode::BAD_REQUEST,
            INVALID,
            "the body cannot be read",
        ));
        drop(tree);
        if matches!(outcome, Outcome::Written(_)) {
            self.changed.send_modify(|count| *count += 1);
        }
        outcome
    }

    // ---- Watches

    fn watch(self: Arc<Self>, body: &[u8]) -> Reply {
        let Ok(WatchBody { create_request }) = serde_json::from_slice(body) else {
            return fail(StatusCode::BAD_REQUEST, INVALID, "the body cannot be read");
        };
        stream("application/json", Arc::clone(&self).events(create_request))
    }

    fn events(self: Arc<Self>, body: CreateBody) -> impl Stream<Item = Bytes> + Send {
        let present = self.tree().revision;
        let next = match body.start_revision {
            0 => present + 1,
            revision => revision,
        };
        let created = json!({ "header": header(&self.tree()), "created": true });
        let watch = Watch {
            changed: self.changed.subscribe(),
            shared: self,
            body,
            next,
            first: Some(created),
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
    shared: Arc<Shared>,
    changed: tokio::sync::watch::Receiver<u64>,
    body: CreateBody,
    next: i64,
    first: Option<Value>,
}

impl Watch {
    async fn next(&mut self) -> Value {
        if let Some(first) = self.first.take() {
            return first;
        }
        loop {
            self.changed.mark_unchanged();
            if let Some(value) = self.poll() {
                return value;
            }
            match tokio::time::timeout(PROGRESS, self.changed.changed()).await {
                Ok(_) => {}
                Err(_) if !self.body.progress_notify || self.shared.faults().silent => {}
                Err(_) => return json!({ "header": header(&self.shared.tree()) }),
            }
        }
    }

    fn poll(&mut self) -> Option<Value> {
        if self.shared.faults().silent {
            return None;
        }
        let mut tree = self.shared.tree();
        tree.expire(self.shared.clock.now());
        let body = &self.body;
        let changes = tree.changes(&body.key, &body.range_end, self.next);
        let last = changes.last()?;
        self.next = last.revision + 1;
        let events: Vec<Value> = changes.iter().map(event).collect();
        Some(json!({ "header": header(&tree), "events": events }))
    }
}

// ---- Calls

fn run(tree: &mut Tree, now: Time, path: &str, body: &[u8]) -> Option<Outcome> {
    let missing = Outcome::Failed(StatusCode::NOT_FOUND, NOT_FOUND, "lease not found");
    Some(match path {
        "/v3/kv/range" => Outcome::Read(parse::<RangeBody>(body)?.read(tree)),
        "/v3/kv/put" => match parse::<PutBody>(body)?.write(tree) {
            Some(value) => Outcome::Written(value),
            None => missing,
        },
        "/v3/kv/deleterange" => Outcome::Written(parse::<RangeBody>(body)?.delete(tree)),
        "/v3/kv/txn" => match parse::<TxnBody>(body)?.run(tree) {
            Some(value) => Outcome::Written(value),
            None => missing,
        },
        "/v3/lease/grant" => Outcome::Written(grant(tree, now, &parse(body)?)),
        "/v3/lease/keepalive" => Outcome::Read(parse::<LeaseBody>(body)?.keep_alive(tree, now)),
        "/v3/lease/revoke" | "/v3/kv/lease/revoke" => {
            match tree.revoke(parse::<LeaseBody>(body)?.id) {
                true => Outcome::Written(json!({ "header": header(tree) })),
                false => missing,
            }
        }
        _ => Outcome::Failed(StatusCode::NOT_FOUND, NOT_FOUND, "Not Found"),
    })
}

fn grant(tree: &mut Tree, now: Time, body: &GrantBody) -> Value {
    let seconds = u64::try_from(body.ttl).unwrap_or(1).max(1);
    let id = tree.grant(now, Duration::from_secs(seconds));
    json!({ "header": header(tree), "ID": id.to_string(), "TTL": seconds.to_string() })
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}

fn fail(status: StatusCode, code: u32, message: &str) -> Reply {
    json_reply(
        status,
        &json!({ "error": message, "code": code, "message": message }),
    )
}
