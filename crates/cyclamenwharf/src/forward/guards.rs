//! Guards for the resources of a request, which are released when the guard is dropped.

use std::sync::Arc;

use cw_policy::forward::Demand;
use cw_types::TargetId;

use super::shared::Shared;

/// Counts a request in the load of its target.
pub(super) struct RequestGuard {
    shared: Arc<Shared>,
    target: TargetId,
    demand: Demand,
    began: bool,
}

impl RequestGuard {
    pub(super) fn acquire(shared: &Arc<Shared>, target: &TargetId, demand: Demand) -> Self {
        let now = shared.now();
        shared.state().fleet.record_send(now, target, demand);
        if demand.prompt > 0 {
            shared.peer_update.notify_one();
        }
        Self {
            shared: Arc::clone(shared),
            target: target.clone(),
            demand,
            began: false,
        }
    }

    /// Records that the answer has begun.
    pub(super) fn mark_begun(&mut self) {
        if !self.began {
            self.began = true;
            let now = self.shared.now();
            let mut state = self.shared.state();
            state.fleet.record_start(now, &self.target, self.demand);
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut state = self.shared.state();
        let fleet = &mut state.fleet;
        fleet.record_end(now, &self.target, self.demand, self.began);
    }
}

/// Counts the memory of a run's copy in the load of the target that keeps it.
pub(super) struct CopyGuard {
    shared: Arc<Shared>,
    keeper: TargetId,
    demand: Demand,
}

impl CopyGuard {
    pub(super) fn acquire(shared: &Arc<Shared>, keeper: &TargetId, demand: Demand) -> Self {
        shared.state().fleet.count_copy(keeper, demand, true);
        Self {
            shared: Arc::clone(shared),
            keeper: keeper.clone(),
            demand,
        }
    }
}

impl CopyGuard {
    /// Returns whether the copy is at this target.
    pub(super) fn is_at(&self, keeper: &TargetId) -> bool {
        self.keeper == *keeper
    }
}

impl Drop for CopyGuard {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        state.fleet.count_copy(&self.keeper, self.demand, false);
    }
}
