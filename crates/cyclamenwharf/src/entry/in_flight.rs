//! How many attempts this entry has at each target.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use cw_types::TargetId;

/// How many attempts this entry has at each target.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlight {
    counts: Arc<Mutex<BTreeMap<TargetId, u32>>>,
}

/// One attempt at a target, counted until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    target: TargetId,
    owner: InFlight,
}

impl InFlight {
    /// Counts one attempt at `target`.
    pub(crate) fn enter(&self, target: &TargetId) -> InFlightGuard {
        *self.lock().entry(target.clone()).or_default() += 1;
        InFlightGuard {
            target: target.clone(),
            owner: self.clone(),
        }
    }

    /// Returns the counts of now.
    pub(crate) fn counts(&self) -> BTreeMap<TargetId, u32> {
        self.lock().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<TargetId, u32>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut counts = self.owner.lock();
        if let Some(count) = counts.get_mut(&self.target) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.target);
            }
        }
    }
}
