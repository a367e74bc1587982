//! Guards for the resources of a request, which are released when the guard is dropped.

use std::sync::Arc;

use cw_policy::forward::Demand;
use cw_types::TargetId;

use super::forward_context::ForwardContext;

/// Counts a request in the load of its target.
pub(super) struct RequestGuard {
    context: Arc<ForwardContext>,
    target: TargetId,
    demand: Demand,
    began: bool,
}

impl RequestGuard {
    pub(super) fn acquire(
        context: &Arc<ForwardContext>,
        target: &TargetId,
        demand: Demand,
    ) -> Self {
        let now = context.now();
        context.state().fleet.sent(now, target, demand);
        if demand.prompt > 0 {
            context.peer_update.notify_one();
        }
        Self {
            context: Arc::clone(context),
            target: target.clone(),
            demand,
            began: false,
        }
    }

    /// Records that the answer has begun.
    pub(super) fn mark_begun(&mut self) {
        if !self.began {
            self.began = true;
            let now = self.context.now();
            let mut state = self.context.state();
            state.fleet.began(now, &self.target, self.demand);
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let now = self.context.now();
        let mut state = self.context.state();
        let fleet = &mut state.fleet;
        fleet.ended(now, &self.target, self.demand, self.began);
    }
}

/// Counts the memory of a run's copy in the load of the target that keeps it.
pub(super) struct CopyGuard {
    context: Arc<ForwardContext>,
    keeper: TargetId,
    demand: Demand,
}

impl CopyGuard {
    pub(super) fn acquire(
        context: &Arc<ForwardContext>,
        keeper: &TargetId,
        demand: Demand,
    ) -> Self {
        context.state().fleet.count_copy(keeper, demand, true);
        Self {
            context: Arc::clone(context),
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
        let mut state = self.context.state();
        state.fleet.count_copy(&self.keeper, self.demand, false);
    }
}
