//! Tracking of requests that crash their targets, shared by all requests of an entry.

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

/// The table and the newest view that was fed into it.
#[derive(Debug)]
struct Inner {
    table: SuspicionTable,
    view: Option<Arc<View>>,
}

/// Tracks requests that crash their targets, for all requests of an entry.
#[derive(Debug)]
pub(crate) struct SuspicionTracker {
    host: HostId,
    inner: Mutex<Inner>,
}

impl SuspicionTracker {
    /// Creates an empty tracker for the entry on `host`.
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

    /// Returns how far a request is suspected of crashing targets, with the crashes in `view`
    /// included.
    pub(crate) fn assess(
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

    /// Returns whether new calls with this request are refused.
    pub(crate) fn is_refused(&self, request: Fingerprint) -> bool {
        self.lock().table.is_refused(request)
    }

    /// Records that this entry has confirmed that a request crashes targets.
    pub(crate) fn confirm(&self, request: Fingerprint) {
        self.lock().table.confirm(request);
    }

    /// Records that a request has completed, or has got past the output at which a target crashed.
    pub(crate) fn record_completion(&self, request: Fingerprint) {
        self.lock().table.record_completion(request);
    }

    /// Records the HTTP status with which a service has answered a request.
    pub(crate) fn record_answer(&self, request: Fingerprint, status: u16) {
        self.lock().table.record_answer(request, status);
    }

    /// Records that a suspect request was sent to a target.
    pub(crate) fn add_suspect(&self, target: &TargetId) {
        self.lock().table.add_suspect(target);
    }

    /// Records that a suspect request no longer runs on a target.
    pub(crate) fn remove_suspect(&self, target: &TargetId) {
        self.lock().table.remove_suspect(target);
    }

    /// Returns two sets of targets to avoid for a suspect request, the stricter one first.
    ///
    /// The first set holds the targets that other entries use for their suspects and those that run
    /// a suspect of this entry. The second set holds only the latter.
    pub(crate) fn targets_to_avoid(&self, view: &View) -> [BTreeSet<TargetId>; 2] {
        let occupied: BTreeSet<TargetId> =
            self.lock().table.targets_with_suspects().cloned().collect();
        let targets = view.targets.keys().cloned();
        let unassigned = targets.filter(|target| !self.is_assigned(view, target));
        [
            occupied.iter().cloned().chain(unassigned).collect(),
            occupied,
        ]
    }

    /// Returns whether this entry is the one, of all live entries, that uses a target for its
    /// suspects.
    fn is_assigned(&self, view: &View, target: &TargetId) -> bool {
        let hosts: BTreeSet<&HostId> = view.entries.iter().map(|entry| &entry.host).collect();
        let Some(own) = hosts.iter().position(|&host| *host == self.host) else {
            return true;
        };
        let assigned = xxh3_64(target.as_str().as_bytes()) % hosts.len() as u64;
        assigned == own as u64
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
