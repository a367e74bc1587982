//! A client of the admin API.

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

use crate::test_platform::SECRET;

pub(crate) type ApiResult<T> = Result<T, ErrorMessage>;

/// A client of the admin API of one entry, with the key of an operator.
pub(crate) struct AdminClient {
    pub(crate) entry: SocketAddr,
    pub(crate) key: String,
}

impl AdminClient {
    /// Returns a client with the shared secret, which is accepted before any operator has a record.
    pub(crate) fn bootstrap(entry: SocketAddr) -> Self {
        Self::new(entry, SECRET)
    }

    pub(crate) fn new(entry: SocketAddr, key: &str) -> Self {
        Self {
            entry,
            key: key.to_owned(),
        }
    }

    pub(crate) async fn get<A: DeserializeOwned>(&self, path: &str) -> ApiResult<A> {
        self.call("GET", path, Bytes::new()).await
    }

    pub(crate) async fn post<M: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        message: &M,
    ) -> ApiResult<A> {
        let body = serde_json::to_vec(message).expect("JSON");
        self.call("POST", path, Bytes::from(body)).await
    }

    pub(crate) async fn propose(
        &self,
        id: &str,
        edits: Vec<EditMessage>,
    ) -> ApiResult<ProposalMessage> {
        let message = ProposeMessage {
            id: id.to_owned(),
            reason: String::new(),
            edits,
        };
        self.post("/v1/proposals", &message).await
    }

    pub(crate) async fn accept(&self, id: &str) -> ApiResult<ChangeMessage> {
        self.post(&format!("/v1/proposals/{id}/accept"), &()).await
    }

    pub(crate) async fn reject(&self, id: &str) -> ApiResult<ProposalMessage> {
        self.post(&format!("/v1/proposals/{id}/reject"), &()).await
    }

    pub(crate) async fn status(&self) -> StatusMessage {
        self.get("/v1/status").await.expect("a status")
    }

    pub(crate) async fn history(&self) -> Vec<ChangeMessage> {
        self.get("/v1/history").await.expect("a history")
    }

    async fn call<A: DeserializeOwned>(
        &self,
        method: &str,
        path: &str,
        body: Bytes,
    ) -> ApiResult<A> {
        let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.entry))
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {}", self.key))
            .body(Full::new(body))
            .expect("a request");
        let response = client.request(request).await.expect("a response");
        let status = response.status();
        let body = response.into_body().collect().await.expect("a body");
        let bytes = body.to_bytes();
        match status.is_success() {
            true => Ok(serde_json::from_slice(&bytes).expect("a valid response")),
            false => Err(serde_json::from_slice(&bytes).expect("a valid error")),
        }
    }
}

/// Returns an edit that writes a record.
pub(crate) fn put_record(kind: &str, name: &str, body: Value) -> EditMessage {
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

/// Returns an edit that writes a priority.
pub(crate) fn put_priority(name: &str, rank: u8) -> EditMessage {
    put_record("priority", name, serde_json::json!({ "rank": rank }))
}
