//! The keys, revisions and leases of the fake etcd.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use cw_types::Time;

/// The value of a key, with its revisions, version and lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Entry {
    pub(super) value: Bytes,
    pub(super) created: i64,
    pub(super) modified: i64,
    pub(super) version: i64,
    pub(super) lease: i64,
}

/// A change of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Change {
    pub(super) revision: i64,
    pub(super) key: Bytes,
    /// The new value, or `None` if the key was deleted.
    pub(super) entry: Option<Entry>,
}

/// A value that a key must have for a transaction to succeed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Comparison {
    Version(i64),
    Created(i64),
    Modified(i64),
    Value(Bytes),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Lease {
    ttl: Duration,
    expires_at: Time,
}

/// A copy of all keys and of the revision, which can be restored later.
#[derive(Clone, Debug, Default)]
pub struct Backup {
    entries: BTreeMap<Bytes, Entry>,
    revision: i64,
}

/// The state of the fake etcd, with the history of all changes.
#[derive(Debug)]
pub(super) struct EtcdStore {
    entries: BTreeMap<Bytes, Entry>,
    pub(super) revision: i64,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
    history: Vec<Change>,
}

impl Default for EtcdStore {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            revision: 1,
            leases: BTreeMap::new(),
            next_lease: 7_000_001,
            history: Vec::new(),
        }
    }
}

/// Returns whether `key` is in a range in the encoding of etcd: an empty `end` selects the single
/// key `from`, and an `end` of one zero byte selects all keys from `from` on.
pub(super) fn range_contains(from: &[u8], end: &[u8], key: &[u8]) -> bool {
    match end {
        [] => key == from,
        [0] => key >= from,
        end => key >= from && key < end,
    }
}

impl EtcdStore {
    // ---- Keys

    /// Returns the entries of a range, in key order.
    pub(super) fn range(&self, from: &[u8], end: &[u8]) -> Vec<(Bytes, Entry)> {
        self.entries
            .iter()
            .filter(|(key, _)| range_contains(from, end, key))
            .map(|(key, entry)| (key.clone(), entry.clone()))
            .collect()
    }

    /// Returns whether a key has the expected value. All numbers of a missing key are zero.
    pub(super) fn matches(&self, key: &[u8], comparison: &Comparison) -> bool {
        let entry = self.entries.get(key);
        match comparison {
            Comparison::Version(n) => entry.map_or(0, |entry| entry.version) == *n,
            Comparison::Created(n) => entry.map_or(0, |entry| entry.created) == *n,
            Comparison::Modified(n) => entry.map_or(0, |entry| entry.modified) == *n,
            Comparison::Value(value) => entry.is_some_and(|entry| entry.value == *value),
        }
    }

    /// Writes a key at the next revision. Returns false if the lease does not exist.
    pub(super) fn put(&mut self, key: Bytes, value: Bytes, lease: i64) -> bool {
        if lease != 0 && !self.leases.contains_key(&lease) {
            return false;
        }
        self.revision += 1;
        let before = self.entries.get(&key);
        let entry = Entry {
            value,
            created: before.map_or(self.revision, |entry| entry.created),
            modified: self.revision,
            version: before.map_or(1, |entry| entry.version + 1),
            lease,
        };
        self.entries.insert(key.clone(), entry.clone());
        self.record(key, Some(entry));
        true
    }

    /// Deletes a range, and returns the number of deleted keys.
    pub(super) fn delete(&mut self, from: &[u8], end: &[u8]) -> usize {
        let keys: Vec<Bytes> = self
            .range(from, end)
            .into_iter()
            .map(|(key, _)| key)
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in &keys {
            self.entries.remove(key);
            self.record(key.clone(), None);
        }
        keys.len()
    }

    /// Returns the changes of a range from revision `since` on.
    pub(super) fn changes(&self, from: &[u8], end: &[u8], since: i64) -> Vec<Change> {
        self.history
            .iter()
            .filter(|change| change.revision >= since && range_contains(from, end, &change.key))
            .cloned()
            .collect()
    }

    fn record(&mut self, key: Bytes, entry: Option<Entry>) {
        let revision = self.revision;
        self.history.push(Change {
            revision,
            key,
            entry,
        });
    }

    // ---- Leases

    /// Grants a lease and returns its id.
    pub(super) fn grant(&mut self, now: Time, ttl: Duration) -> i64 {
        let id = self.next_lease;
        self.next_lease += 1;
        let expires_at = now + ttl;
        self.leases.insert(id, Lease { ttl, expires_at });
        id
    }

    /// Renews a lease, and returns its time to live, or `None` if it has expired.
    pub(super) fn keep_alive(&mut self, now: Time, id: i64) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires_at = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Revokes a lease and deletes its keys. Returns whether the lease existed.
    pub(super) fn revoke(&mut self, id: i64) -> bool {
        let existed = self.leases.remove(&id).is_some();
        let bound = |(key, entry): (&Bytes, &Entry)| (entry.lease == id).then(|| key.clone());
        let keys: Vec<Bytes> = match existed {
            true => self.entries.iter().filter_map(bound).collect(),
            false => Vec::new(),
        };
        for key in keys {
            self.delete(&key, &[]);
        }
        existed
    }

    /// Revokes all expired leases. Returns whether there were any.
    pub(super) fn expire(&mut self, now: Time) -> bool {
        let expired = |(id, lease): (&i64, &Lease)| (lease.expires_at <= now).then_some(*id);
        let ids: Vec<i64> = self.leases.iter().filter_map(expired).collect();
        ids.iter().for_each(|id| {
            self.revoke(*id);
        });
        !ids.is_empty()
    }

    // ---- Backups

    /// Returns a copy of the keys and of the revision.
    pub(super) fn backup(&self) -> Backup {
        Backup {
            entries: self.entries.clone(),
            revision: self.revision,
        }
    }

    /// Restores an earlier state, as a service that is restored from a backup does.
    pub(super) fn restore(&mut self, backup: &Backup) {
        self.entries = backup.entries.clone();
        self.revision = backup.revision;
        self.history
            .retain(|change| change.revision <= backup.revision);
    }
}
