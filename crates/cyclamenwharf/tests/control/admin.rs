//! Calls to the operators' interface.

use std::net::SocketAddr;

use bytes::Bytes;
use cyclamenwharf::admin::ChangeMessage;
use cyclamenwharf::admin::EditMessage;
use cyclamenwharf::admin::ErrorMessage;
use cyclamenwharf::admin::ProposalMessage;
use cyclamenwharf::admin::ProposeMessage;
use cyclamenwharf::admin::RecordMessage;
use cyclamenwharf::admin::StatusMessage;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::rig::SECRET;

pub(crate) type Answer<T> = Result<T, ErrorMessage>;

/// An operator at one entry.
pub(crate) struct Operator {
    pub(crate) entry: SocketAddr,
    pub(crate) key: String,
}

impl Operator {
    /// The first operator, before any has a record.
    pub(crate) fn first(entry: SocketAddr) -> Self {
        Self::new(entry, SECRET)
    }

    pub(crate) fn new(entry: SocketAddr, key: &str) -> Self {
        Self {
            entry,
            key: key.to_owned(),
        }
    }

    pub(crate) async fn get<A: DeserializeOwned>(&self, path: &str) -> Answer<A> {
        self.call("GET", path, Bytes::new()).await
    }

    pub(crate) async fn post<M: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        message: &M,
    ) -> Answer<A> {
        let body = serde_json::to_vec(message).expect("JSON");
        self.call("POST", path, Bytes::from(body)).await
    }

    pub(crate) async fn propose(
        &self,
        id: &str,
        edits: Vec<EditMessage>,
    ) -> Answer<ProposalMessage> {
        let message = ProposeMessage {
            id: id.to_owned(),
            reason: String::new(),
            edits,
        };
        self.post("/v1/proposals", &message).await
    }

    pub(crate) async fn accept(&self, id: &str) -> Answer<ChangeMessage> {
        self.post(&format!("/v1/proposals/{id}/accept"), &()).await
    }

    pub(crate) async fn reject(&self, id: &str) -> Answer<ProposalMessage> {
        self.post(&format!("/v1/proposals/{id}/reject"), &()).await
    }

    pub(crate) async fn status(&self) -> StatusMessage {
        self.get("/v1/status").await.expect("a status")
    }

    pub(crate) async fn history(&self) -> Vec<ChangeMessage> {
        self.get("/v1/history").await.expect("a history")
    }

    async fn call<A: DeserializeOwned>(&self, method: &str, path: &str, body: Bytes) -> Answer<A> {
        let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.entry))
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {}", self.key))
            .body(Full::new(body))
            .expect("a request");
        let response = client.request(request).await.expect("an answer");
        let status = response.status();
        let body = response.into_body().collect().await.expect("a body");
        let bytes = body.to_bytes();
        match status.is_success() {
            true => Ok(serde_json::from_slice(&bytes).expect("the answer")),
            false => Err(serde_json::from_slice(&bytes).expect("an error")),
        }
    }
}

/// An edit that writes a record.
pub(crate) fn put(kind: &str, name: &str, body: Value) -> EditMessage {
    let Value::Object(body) = body else {
        panic!("a body is an object");
    };
    EditMessage::Put(RecordMessage {
        kind: kind.to_owned(),
        name: name.to_owned(),
        schema: None,
        body: body.into_iter().collect(),
        revision: None,
    })
}

/// An edit that writes a priority.
pub(crate) fn priority(name: &str, rank: u8) -> EditMessage {
    put("priority", name, serde_json::json!({ "rank": rank }))
}
