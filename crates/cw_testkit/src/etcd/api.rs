//! Bodies of the JSON gateway: bytes in base64, 64-bit numbers as strings.

use bytes::Bytes;
use cw_types::Time;
use serde::Deserialize;
use serde::Deserializer;
use serde_json::Value;
use serde_json::json;
use serde_with::base64::Base64;
use serde_with::serde_as;

use super::tree::Change;
use super::tree::Entry;
use super::tree::Field;
use super::tree::Tree;

/// Reads a 64-bit number that is written as a string or as a number.
fn number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
    let value = Value::deserialize(deserializer)?;
    let parsed = match &value {
        Value::String(text) => text.parse().ok(),
        other => other.as_i64(),
    };
    parsed.ok_or_else(|| serde::de::Error::custom("expected a 64-bit number"))
}

/// A range of keys.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
pub(super) struct RangeBody {
    #[serde_as(as = "Base64")]
    pub(super) key: Vec<u8>,
    #[serde_as(as = "Base64")]
    #[serde(default)]
    pub(super) range_end: Vec<u8>,
}

/// A write.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
pub(super) struct PutBody {
    #[serde_as(as = "Base64")]
    pub(super) key: Vec<u8>,
    #[serde_as(as = "Base64")]
    #[serde(default)]
    pub(super) value: Vec<u8>,
    #[serde(default, deserialize_with = "number")]
    pub(super) lease: i64,
}

/// A comparison of a transaction.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
pub(super) struct CompareBody {
    #[serde_as(as = "Base64")]
    pub(super) key: Vec<u8>,
    target: String,
    #[serde(default = "equal")]
    result: String,
    #[serde(default, deserialize_with = "number")]
    version: i64,
    #[serde(default, deserialize_with = "number")]
    create_revision: i64,
    #[serde(default, deserialize_with = "number")]
    mod_revision: i64,
    #[serde_as(as = "Base64")]
    #[serde(default)]
    value: Vec<u8>,
}

fn equal() -> String {
    "EQUAL".to_owned()
}

impl CompareBody {
    /// Returns what is compared; only equality is served.
    pub(super) fn field(&self) -> Option<Field> {
        if self.result != "EQUAL" {
            return None;
        }
        match self.target.as_str() {
            "VERSION" => Some(Field::Version(self.version)),
            "CREATE" => Some(Field::Created(self.create_revision)),
            "MOD" => Some(Field::Modified(self.mod_revision)),
            "VALUE" => Some(Field::Value(Bytes::from(self.value.clone()))),
            _ => None,
        }
    }
}

/// One operation of a transaction.
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

/// A lease to be granted.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct GrantBody {
    #[serde(rename = "TTL", deserialize_with = "number")]
    pub(super) ttl: i64,
}

/// A lease that exists.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct LeaseBody {
    #[serde(rename = "ID", deserialize_with = "number")]
    pub(super) id: i64,
}

/// A watch.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
pub(super) struct CreateBody {
    #[serde_as(as = "Base64")]
    pub(super) key: Vec<u8>,
    #[serde_as(as = "Base64")]
    #[serde(default)]
    pub(super) range_end: Vec<u8>,
    #[serde(default, deserialize_with = "number")]
    pub(super) start_revision: i64,
    #[serde(default)]
    pub(super) progress_notify: bool,
}

/// The body of a watch call.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct WatchBody {
    pub(super) create_request: CreateBody,
}

// ---- Answers

/// Returns the header of every answer.
pub(super) fn header(tree: &Tree) -> Value {
    json!({
        "cluster_id": "1",
        "member_id": "1",
        "revision": tree.revision.to_string(),
        "raft_term": "1",
    })
}

/// Returns a key with its value.
pub(super) fn pair(key: &[u8], entry: &Entry) -> Value {
    let mut value = json!({
        "key": encode(key),
        "create_revision": entry.created.to_string(),
        "mod_revision": entry.modified.to_string(),
        "version": entry.version.to_string(),
        "value": encode(&entry.value),
    });
    if entry.lease != 0 {
        value["lease"] = entry.lease.to_string().into();
    }
    value
}

/// Returns a change as a watch tells it.
pub(super) fn event(change: &Change) -> Value {
    match &change.entry {
        Some(entry) => json!({ "kv": pair(&change.key, entry) }),
        None => {
            let kv = json!({
                "key": encode(&change.key),
                "mod_revision": change.revision.to_string(),
            });
            json!({ "type": "DELETE", "kv": kv })
        }
    }
}

fn encode(bytes: &[u8]) -> String {
    use base64::Engine;
    base64::engine::general_purpose::STANDARD.encode(bytes)
}

// ---- Operations

impl RangeBody {
    /// Answers a read.
    pub(super) fn read(&self, tree: &Tree) -> Value {
        let pairs: Vec<Value> = tree
            .range(&self.key, &self.range_end)
            .iter()
            .map(|(key, entry)| pair(key, entry))
            .collect();
        let mut answer = json!({ "header": header(tree) });
        if !pairs.is_empty() {
            answer["count"] = pairs.len().to_string().into();
            answer["kvs"] = pairs.into();
        }
        answer
    }

    /// Carries out a removal.
    pub(super) fn delete(&self, tree: &mut Tree) -> Value {
        let deleted = tree.delete(&self.key, &self.range_end);
        let mut answer = json!({ "header": header(tree) });
        if deleted > 0 {
            answer["deleted"] = deleted.to_string().into();
        }
        answer
    }
}

impl PutBody {
    /// Carries out a write, if its lease exists.
    pub(super) fn write(self, tree: &mut Tree) -> Option<Value> {
        let written = tree.put(Bytes::from(self.key), Bytes::from(self.value), self.lease);
        written.then(|| json!({ "header": header(tree) }))
    }
}

impl TxnBody {
    /// Carries out a transaction; `None` when a lease or a comparison is not known.
    pub(super) fn run(self, tree: &mut Tree) -> Option<Value> {
        let mut succeeded = true;
        for compare in &self.compare {
            succeeded &= tree.matches(&compare.key, &compare.field()?);
        }
        let operations = match succeeded {
            true => self.success,
            false => self.failure,
        };
        let mut responses = Vec::new();
        for operation in operations {
            responses.push(match operation {
                OperationBody::Range(range) => json!({ "response_range": range.read(tree) }),
                OperationBody::Put(put) => json!({ "response_put": put.write(tree)? }),
                OperationBody::Delete(range) => {
                    json!({ "response_delete_range": range.delete(tree) })
                }
            });
        }
        let mut answer = json!({ "header": header(tree), "responses": responses });
        if succeeded {
            answer["succeeded"] = true.into();
        }
        Some(answer)
    }
}

impl LeaseBody {
    /// Answers a keep-alive; a lease that has lapsed has no time left.
    pub(super) fn keep_alive(&self, tree: &mut Tree, now: Time) -> Value {
        let ttl = tree.keep_alive(now, self.id).map_or(0, |ttl| ttl.as_secs());
        let mut result = json!({ "header": header(tree), "ID": self.id.to_string() });
        if ttl > 0 {
            result["TTL"] = ttl.to_string().into();
        }
        json!({ "result": result })
    }
}
