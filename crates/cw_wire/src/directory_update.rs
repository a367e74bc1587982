//! What an entry that watches the directory tells those that do not.

use std::collections::BTreeMap;

use bytes::Bytes;
use cw_macro::data;
use cw_types::TargetId;

/// One change of the directory.
#[data(Eq)]
pub struct DirectoryChange {
    /// The service's revision of the change before this one.
    pub previous: i64,
    /// The service's revision of this change.
    pub revision: i64,
    /// The key.
    pub key: String,
    /// Its new value; `None` when it is gone.
    pub value: Option<Bytes>,
}

/// What an entry that watches the directory knows.
#[data(Eq)]
pub struct DirectoryUpdate {
    /// Whether the key-value service answers it.
    pub up: bool,
    /// Whether it has done so for long enough that an entry which is not there is gone.
    pub trusted: bool,
    /// The version of the configuration in force there.
    pub config: u64,
    /// The revision of the last change that it knows.
    pub newest: i64,
    /// The changes of the last moments, in order.
    pub changes: Vec<DirectoryChange>,
}

/// All that an entry knows of the directory.
#[data(Default, Eq)]
pub struct DirectorySnapshot {
    /// The revision of the last change that it knows.
    pub newest: i64,
    /// The targets' entries as the service holds them.
    pub targets: BTreeMap<TargetId, Bytes>,
}
