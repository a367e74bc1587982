//! The state of a fake engine that survives its restarts.

use std::sync::Mutex;
use std::sync::MutexGuard;

use super::EngineCounters;
use super::EngineFaults;
use crate::server::Gate;

/// The state that survives restarts of the engine: its pause gate, counters and injected faults.
#[derive(Debug, Default)]
pub(super) struct PersistentState {
    pub(super) gate: Gate,
    counters: Mutex<EngineCounters>,
    faults: Mutex<EngineFaults>,
}

impl PersistentState {
    pub(super) fn counters(&self) -> MutexGuard<'_, EngineCounters> {
        self.counters.lock().expect("no panic under this lock")
    }

    pub(super) fn faults(&self) -> MutexGuard<'_, EngineFaults> {
        self.faults.lock().expect("no panic under this lock")
    }

    pub(super) fn take_next_error(&self) -> bool {
        let mut faults = self.faults();
        let due = faults.next_errors > 0;
        faults.next_errors = faults.next_errors.saturating_sub(1);
        due
    }
}
