//! Requests that crash their targets, shared by all requests of an entry.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use cw_policy::CrashSuspicion;
use cw_policy::SuspicionLimits;
use cw_policy::SuspicionTable;
use cw_policy::View;
use cw_types::HostId;
use cw_types::TargetId;
use cw_types::Time;
use cw_wire::Fingerprint;
use xxhash_rust::xxh3::xxh3_64;

/// The table and the newest view that it has seen.
#[derive(Debug)]
struct Inner {
    table: SuspicionTable,
    view: Option<Arc<View>>,
}

/// Requests that crash their targets, shared by all requests of an entry.
#[derive(Debug)]
pub(crate) struct Suspicion {
    host: HostId,
    inner: Mutex<Inner>,
}

impl Suspicion {
    /// Returns the empty suspicion of the entry on `host`.
    pub(crate) fn new(host: HostId) -> Self {
        let inner = Inner {
            table: SuspicionTable::new(SuspicionLimits::default()),
            view: None,
        };
        Self {
            host,
            inner: Mutex::new(inner),
        }
    }

    /// Returns what is held against a request, the crashes in `view` included.
    pub(crate) fn verdict(
        &self,
        now: Time,
        view: &Arc<View>,
        request: Fingerprint,
    ) -> CrashSuspicion {
        let mut inner = self.lock();
        let seen = inner
            .view
            .as_ref()
            .is_some_and(|old| Arc::ptr_eq(old, view));
        if !seen {
            inner.table.observe(now, view);
            inner.view = Some(Arc::clone(view));
        }
        inner.table.assess(request)
    }

    /// Returns whether a new call with this request is refused.
    pub(crate) fn is_refused(&self, request: Fingerprint) -> bool {
        self.lock().table.is_refused(request)
    }

    /// Records that this entry has found a request guilty.
    pub(crate) fn convict(&self, request: Fingerprint) {
        self.lock().table.confirm(request);
    }

    /// Records that a request has run to its end.
    pub(crate) fn finished(&self, request: Fingerprint) {
        self.lock().table.record_completion(request);
    }

    /// Records that a suspect is dispatched to a target.
    pub(crate) fn place(&self, target: &TargetId) {
        self.lock().table.add_suspect(target);
    }

    /// Records that a suspect has left a target.
    pub(crate) fn unplace(&self, target: &TargetId) {
        self.lock().table.remove_suspect(target);
    }

    /// Returns the targets that a suspect should not go to, in the order in which to give way:
    /// those that other entries use for theirs, and those that have a suspect of this entry.
    pub(crate) fn avoided(&self, view: &View) -> [BTreeSet<TargetId>; 2] {
        let placed: BTreeSet<TargetId> =
            self.lock().table.targets_with_suspects().cloned().collect();
        let targets = view.targets.keys().cloned();
        let foreign = targets.filter(|target| !self.is_own(view, target));
        [placed.iter().cloned().chain(foreign).collect(), placed]
    }

    /// Returns whether this entry, of all live ones, is to use a target for its suspects.
    fn is_own(&self, view: &View, target: &TargetId) -> bool {
        let hosts: BTreeSet<&HostId> = view.entries.iter().map(|entry| &entry.host).collect();
        let Some(own) = hosts.iter().position(|&host| *host == self.host) else {
            return true;
        };
        let place = xxh3_64(target.as_str().as_bytes()) % hosts.len() as u64;
        place == own as u64
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
