//! Directory changes, sent by the entries that watch the directory to those that do not.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use cw_macro::data;
use cw_types::TargetId;

/// A change of one key in the directory.
#[data(Eq)]
pub struct DirectoryChange {
    /// The revision of the preceding change, as assigned by the key-value service.
    pub previous: i64,
    /// The revision of this change, as assigned by the key-value service.
    pub revision: i64,
    /// The key that was written or deleted, as stored in the key-value service.
    pub key: String,
    /// The new value, or `None` if the key was deleted.
    pub value: Option<Bytes>,
}

/// The state of the directory and its recent changes, as seen by an entry that watches it.
#[data(Eq)]
pub struct DirectoryUpdate {
    /// Whether the key-value service responds to the sender.
    pub up: bool,
    /// Whether it has responded for long enough that a key missing from the directory is known to
    /// be deleted.
    pub trusted: bool,
    /// The configuration version in force at the sender.
    pub config: u64,
    /// The revision of the last change known to the sender.
    pub newest: i64,
    /// The most recent changes, in order.
    pub changes: Vec<DirectoryChange>,
    /// The revision as of which the sender knows the targets, 0 from entries of an earlier version.
    #[serde(default)]
    pub known: i64,
    /// How long ago, at most, the key-value service had no newer configuration. `None` if it has not told the
    /// sender recently, and from entries of an earlier version.
    #[serde(default)]
    pub config_age: Option<Duration>,
    /// How long ago, at most, the key-value service had no newer change of the targets.
    #[serde(default)]
    pub targets_age: Option<Duration>,
}

/// The complete content of the directory, as known to an entry.
#[data(Default, Eq)]
pub struct DirectorySnapshot {
    /// The revision as of which the targets are known.
    pub newest: i64,
    /// The revision of the last change included. Entries of an earlier version do not send it.
    #[serde(default)]
    pub last_change: Option<i64>,
    /// The values of the target keys, as stored in the key-value service.
    pub targets: BTreeMap<TargetId, Bytes>,
}
