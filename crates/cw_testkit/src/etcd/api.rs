//! Request and response bodies of the JSON gateway, with bytes in base64 and 64-bit integers as
//! strings.

use bytes::Bytes;
use cw_types::Time;
use serde::Deserialize;
use serde::Deserializer;
use serde_json::Value;
use serde_json::json;
use serde_with::base64::Base64;
use serde_with::serde_as;

use super::etcd_store::Change;
use super::etcd_store::Comparison;
use super::etcd_store::Entry;
use super::etcd_store::EtcdStore;

/// Deserializes a 64-bit integer that is written as a string or as a number.
fn integer_or_string<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
    let value = Value::deserialize(deserializer)?;
    let parsed = match &value {
        Value::String(text) => text.parse().ok(),
        other => other.as_i64(),
    };
    parsed.ok_or_else(|| serde::de::Error::custom("expected a 64-bit integer"))
}

/// A range of keys, or a single key if `range_end` is empty.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
pub(super) struct RangeBody {
    #[serde_as(as = "Base64")]
    pub(super) key: Vec<u8>,
    #[serde_as(as = "Base64")]
    #[serde(default)]
    pub(super) range_end: Vec<u8>,
}

/// A write of one key.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
pub(super) struct PutBody {
    #[serde_as(as = "Base64")]
    pub(super) key: Vec<u8>,
    #[serde_as(as = "Base64")]
    #[serde(default)]
    pub(super) value: Vec<u8>,
    #[serde(default, deserialize_with = "integer_or_string")]
    pub(super) lease: i64,
}

/// A comparison in a transaction.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
pub(super) struct CompareBody {
    #[serde_as(as = "Base64")]
    pub(super) key: Vec<u8>,
    target: String,
    #[serde(default = "default_result")]
    result: String,
    #[serde(default, deserialize_with = "integer_or_string")]
    version: i64,
    #[serde(default, deserialize_with = "integer_or_string")]
    create_revision: i64,
    #[serde(default, deserialize_with = "integer_or_string")]
    mod_revision: i64,
    #[serde_as(as = "Base64")]
    #[serde(default)]
    value: Vec<u8>,
}

fn default_result() -> String {
    "EQUAL".to_owned()
}

impl CompareBody {
    /// Returns the comparison, or `None` if it is unknown. Only equality is supported.
    pub(super) fn comparison(&self) -> Option<Comparison> {
        if self.result != "EQUAL" {
            return None;
        }
        match self.target.as_str() {
            "VERSION" => Some(Comparison::Version(self.version)),
            "CREATE" => Some(Comparison::Created(self.create_revision)),
            "MOD" => Some(Comparison::Modified(self.mod_revision)),
            "VALUE" => Some(Comparison::Value(Bytes::from(self.value.clone()))),
            _ => None,
        }
    }
}

/// An operation in a transaction.
#[derive(Clone, Debug, Deserialize)]
pub(super) enum OperationBody {
    #[serde(rename = "request_range", alias = "requestRange")]
    Range(RangeBody),
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(PutBody),
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    Delete(RangeBody),
}

/// A transaction.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct TxnBody {
    #[serde(default)]
    pub(super) compare: Vec<CompareBody>,
    #[serde(default)]
    pub(super) success: Vec<OperationBody>,
    #[serde(default)]
    pub(super) failure: Vec<OperationBody>,
}

/// A request to grant a lease.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct GrantBody {
    #[serde(rename = "TTL", deserialize_with = "integer_or_string")]
    pub(super) ttl: i64,
}

/// A request that refers to an existing lease.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct LeaseBody {
    #[serde(rename = "ID", deserialize_with = "integer_or_string")]
    pub(super) id: i64,
}

/// A request to create a watch.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
pub(super) struct CreateBody {
    #[serde_as(as = "Base64")]
    pub(super) key: Vec<u8>,
    #[serde_as(as = "Base64")]
    #[serde(default)]
    pub(super) range_end: Vec<u8>,
    #[serde(default, deserialize_with = "integer_or_string")]
    pub(super) start_revision: i64,
    #[serde(default)]
    pub(super) progress_notify: bool,
}

/// The body of a watch request.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct WatchBody {
    pub(super) create_request: CreateBody,
}

// ---- Responses

/// Returns the header that each response has.
pub(super) fn header_json(store: &EtcdStore) -> Value {
    json!({
        "cluster_id": "1",
        "member_id": "1",
        "revision": store.revision.to_string(),
        "raft_term": "1",
    })
}

/// Returns a key-value pair as JSON.
pub(super) fn key_value_json(key: &[u8], entry: &Entry) -> Value {
    let mut value = json!({
        "key": encode_base64(key),
        "create_revision": entry.created.to_string(),
        "mod_revision": entry.modified.to_string(),
        "version": entry.version.to_string(),
        "value": encode_base64(&entry.value),
    });
    if entry.lease != 0 {
        value["lease"] = entry.lease.to_string().into();
    }
    value
}

/// Returns a change as a watch event.
pub(super) fn event_json(change: &Change) -> Value {
    match &change.entry {
        Some(entry) => json!({ "kv": key_value_json(&change.key, entry) }),
        None => {
            let kv = json!({
                "key": encode_base64(&change.key),
                "mod_revision": change.revision.to_string(),
            });
            json!({ "type": "DELETE", "kv": kv })
        }
    }
}

fn encode_base64(bytes: &[u8]) -> String {
    use base64::Engine;
    base64::engine::general_purpose::STANDARD.encode(bytes)
}

// ---- Operations

impl RangeBody {
    /// Reads the range and returns the response.
    pub(super) fn read(&self, store: &EtcdStore) -> Value {
        let pairs: Vec<Value> = store
            .range(&self.key, &self.range_end)
            .iter()
            .map(|(key, entry)| key_value_json(key, entry))
            .collect();
        let mut response = json!({ "header": header_json(store) });
        if !pairs.is_empty() {
            response["count"] = pairs.len().to_string().into();
            response["kvs"] = pairs.into();
        }
        response
    }

    /// Deletes the range and returns the response.
    pub(super) fn delete(&self, store: &mut EtcdStore) -> Value {
        let deleted = store.delete(&self.key, &self.range_end);
        let mut response = json!({ "header": header_json(store) });
        if deleted > 0 {
            response["deleted"] = deleted.to_string().into();
        }
        response
    }
}

impl PutBody {
    /// Writes the key and returns the response, or `None` if the lease does not exist.
    pub(super) fn write(self, store: &mut EtcdStore) -> Option<Value> {
        let written = store.put(Bytes::from(self.key), Bytes::from(self.value), self.lease);
        written.then(|| json!({ "header": header_json(store) }))
    }
}

impl TxnBody {
    /// Runs the transaction and returns the response, or `None` if a lease does not exist or a
    /// comparison is not supported.
    pub(super) fn run(self, store: &mut EtcdStore) -> Option<Value> {
        let mut succeeded = true;
        for compare in &self.compare {
            succeeded &= store.matches(&compare.key, &compare.comparison()?);
        }
        let operations = match succeeded {
            true => self.success,
            false => self.failure,
        };
        let mut responses = Vec::new();
        for operation in operations {
            responses.push(match operation {
                OperationBody::Range(range) => json!({ "response_range": range.read(store) }),
                OperationBody::Put(put) => json!({ "response_put": put.write(store)? }),
                OperationBody::Delete(range) => {
                    json!({ "response_delete_range": range.delete(store) })
                }
            });
        }
        let mut response = json!({ "header": header_json(store), "responses": responses });
        if succeeded {
            response["succeeded"] = true.into();
        }
        Some(response)
    }
}

impl LeaseBody {
    /// Renews the lease and returns the response, which has no TTL if the lease has expired.
    pub(super) fn keep_alive(&self, store: &mut EtcdStore, now: Time) -> Value {
        let ttl = store
            .keep_alive(now, self.id)
            .map_or(0, |ttl| ttl.as_secs());
        let mut result = json!({ "header": header_json(store), "ID": self.id.to_string() });
        if ttl > 0 {
            result["TTL"] = ttl.to_string().into();
        }
        json!({ "result": result })
    }
}
