//! The demands on quotas, between the traffic threads and the relays.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use cw_types::HostId;
use cw_types::Time;
use cw_wire::Demand;

/// The demands on quotas: what this entry wants, and what others said.
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
    /// States what this entry wants; the relays pass the newest statement on.
    pub fn set_own(&self, demand: Demand) {
        self.lock().own = Some(demand);
    }

    /// Takes what others said since the last call, with the moment at which each said it.
    pub fn take_received(&self) -> Vec<(Time, Demand)> {
        let received = std::mem::take(&mut self.lock().received);
        received.into_values().collect()
    }

    /// Returns what this entry wants.
    pub(super) fn own(&self) -> Option<Demand> {
        self.lock().own.clone()
    }

    /// Notes what another entry said.
    pub(super) fn receive(&self, at: Time, demand: Demand) {
        self.lock()
            .received
            .insert(demand.from.clone(), (at, demand));
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // Every change is a single assignment, so a panic elsewhere leaves nothing half done.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
