//! The exchange of quota demands between the traffic threads and the control thread.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use cw_types::HostId;
use cw_types::Time;
use cw_wire::Demand;

/// The quota demand of this entry and those received from other entries.
#[derive(Debug, Default)]
pub struct DemandExchange {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    own: Option<Demand>,
    received: BTreeMap<HostId, (Time, Demand)>,
}

impl DemandExchange {
    /// Replaces the demand of this entry, which is sent with each round of batches.
    pub fn set_own(&self, demand: Demand) {
        self.lock().own = Some(demand);
    }

    /// Takes the demands received since the last call, the newest of each entry, with the time at
    /// which each was stated.
    pub fn take_received(&self) -> Vec<(Time, Demand)> {
        let received = std::mem::take(&mut self.lock().received);
        received.into_values().collect()
    }

    /// Returns the demand of this entry.
    pub(super) fn own(&self) -> Option<Demand> {
        self.lock().own.clone()
    }

    /// Records a demand that another entry stated at `at`.
    pub(super) fn receive(&self, at: Time, demand: Demand) {
        self.lock()
            .received
            .insert(demand.from.clone(), (at, demand));
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // Every change is a single assignment, so a panic never leaves an inconsistent state.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
