//! The messages of the gateway, in the JSON mapping of protocol buffers.
//!
//! Bytes are base64 strings, 64-bit integers are decimal strings, and fields with their default
//! value are omitted.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DisplayFromStr;
use serde_with::base64::Base64;
use serde_with::serde_as;
use serde_with::skip_serializing_none;

use crate::StoreError;
use crate::StoreRevision;
use crate::Versioned;

/// The header of every response.
#[serde_as]
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Header {
    #[serde_as(as = "DisplayFromStr")]
    pub(super) revision: i64,
}

#[serde_as]
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct KeyValuePair {
    #[serde_as(as = "Base64")]
    key: Vec<u8>,
    #[serde_as(as = "Base64")]
    value: Vec<u8>,
    #[serde_as(as = "DisplayFromStr")]
    create_revision: i64,
    #[serde_as(as = "DisplayFromStr")]
    pub(super) mod_revision: i64,
}

impl KeyValuePair {
    pub(super) fn key(&self) -> Result<String, StoreError> {
        String::from_utf8(self.key.clone()).map_err(|error| StoreError::Protocol {
            message: error.to_string(),
        })
    }

    pub(super) fn into_versioned(self) -> Result<Versioned, StoreError> {
        Ok(Versioned {
            key: self.key()?,
            value: Bytes::from(self.value),
            created: StoreRevision(self.create_revision),
            modified: StoreRevision(self.mod_revision),
        })
    }
}

#[skip_serializing_none]
#[derive(Debug, Serialize)]
pub(super) struct RangeRequest {
    pub(super) key: String,
    pub(super) range_end: Option<String>,
    /// Whether the response omits the values.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(super) keys_only: bool,
}

impl RangeRequest {
    /// Creates a request for one key.
    pub(super) fn single_key(key: &str) -> Self {
        Self {
            key: encode_base64(key),
            range_end: None,
            keys_only: false,
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct RangeResponse {
    pub(super) kvs: Vec<KeyValuePair>,
}

/// The condition of a transaction on the revision of its key.
#[serde_as]
#[skip_serializing_none]
#[derive(Debug, Serialize)]
pub(super) struct Compare {
    key: String,
    result: &'static str,
    target: &'static str,
    #[serde_as(as = "Option<DisplayFromStr>")]
    mod_revision: Option<i64>,
    #[serde_as(as = "Option<DisplayFromStr>")]
    create_revision: Option<i64>,
}

impl Compare {
    /// Requires that the key was last changed at `expected`. If `expected` is `None`, the key must
    /// not exist.
    pub(super) fn new(key: &str, expected: Option<StoreRevision>) -> Self {
        Self {
            key: encode_base64(key),
            result: "EQUAL",
            target: if expected.is_some() { "MOD" } else { "CREATE" },
            mod_revision: expected.map(|revision| revision.0),
            create_revision: expected.is_none().then_some(0),
        }
    }
}

#[serde_as]
#[skip_serializing_none]
#[derive(Debug, Serialize)]
pub(super) struct PutRequest {
    pub(super) key: String,
    pub(super) value: String,
    #[serde_as(as = "Option<DisplayFromStr>")]
    pub(super) lease: Option<i64>,
}

#[derive(Debug, Serialize)]
pub(super) enum Operation {
    #[serde(rename = "requestPut")]
    Put(PutRequest),
    #[serde(rename = "requestDeleteRange")]
    Delete(RangeRequest),
    #[serde(rename = "requestRange")]
    Range(RangeRequest),
}

#[derive(Debug, Serialize)]
pub(super) struct TxnRequest {
    pub(super) compare: Vec<Compare>,
    pub(super) success: Vec<Operation>,
    pub(super) failure: Vec<Operation>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct OperationResponse {
    #[serde(alias = "responseRange")]
    pub(super) response_range: Option<RangeResponse>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct TxnResponse {
    pub(super) header: Header,
    pub(super) succeeded: bool,
    pub(super) responses: Vec<OperationResponse>,
}

#[serde_as]
#[derive(Debug, Serialize)]
pub(super) struct GrantRequest {
    #[serde(rename = "TTL")]
    #[serde_as(as = "DisplayFromStr")]
    pub(super) ttl: u64,
}

#[serde_as]
#[derive(Debug, Serialize)]
pub(super) struct LeaseRequest {
    #[serde(rename = "ID")]
    #[serde_as(as = "DisplayFromStr")]
    pub(super) id: i64,
}

#[serde_as]
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct LeaseResponse {
    #[serde(rename = "ID")]
    #[serde_as(as = "DisplayFromStr")]
    pub(super) id: i64,
    #[serde(rename = "TTL")]
    #[serde_as(as = "DisplayFromStr")]
    pub(super) ttl: u64,
}

/// One message of a streamed response.
#[derive(Debug, Deserialize)]
pub(super) struct Streamed<T> {
    pub(super) result: T,
}

#[serde_as]
#[derive(Debug, Serialize)]
pub(super) struct WatchCreate {
    pub(super) key: String,
    pub(super) range_end: String,
    #[serde_as(as = "DisplayFromStr")]
    pub(super) start_revision: i64,
    pub(super) progress_notify: bool,
}

#[derive(Debug, Serialize)]
pub(super) struct WatchRequest {
    pub(super) create_request: WatchCreate,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "UPPERCASE")]
pub(super) enum EventType {
    #[default]
    Put,
    Delete,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Event {
    #[serde(rename = "type")]
    pub(super) kind: EventType,
    pub(super) kv: KeyValuePair,
}

#[serde_as]
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchResponse {
    pub(super) header: Header,
    pub(super) canceled: bool,
    /// The oldest revision that is still available if the watch was canceled because its start
    /// has been compacted, and 0 otherwise.
    #[serde_as(as = "DisplayFromStr")]
    pub(super) compact_revision: i64,
    pub(super) events: Vec<Event>,
}

/// The body of an error response.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct ErrorBody {
    pub(super) code: i32,
    pub(super) message: String,
}

/// Encodes a key or value as base64.
pub(super) fn encode_base64(bytes: impl AsRef<[u8]>) -> String {
    STANDARD.encode(bytes)
}

/// Returns the exclusive end of the range of keys that begin with `prefix`, as base64.
pub(super) fn prefix_end(prefix: &str) -> String {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return encode_base64(end);
        }
    }
    // In etcd's API, a single zero byte means that the range has no end.
    encode_base64([0])
}
