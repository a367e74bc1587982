//! What a request takes up, given back however it ends.

use std::sync::Arc;

use cw_policy::forward::Demand;
use cw_types::TargetId;

use super::shared::Shared;

/// A request's place at its target.
pub(super) struct Place {
    shared: Arc<Shared>,
    target: TargetId,
    demand: Demand,
    began: bool,
}

impl Place {
    pub(super) fn take(shared: &Arc<Shared>, target: &TargetId, demand: Demand) -> Self {
        let now = shared.now();
        shared.beliefs().fleet.sent(now, target, demand);
        if demand.prompt > 0 {
            shared.news.notify_one();
        }
        Self {
            shared: Arc::clone(shared),
            target: target.clone(),
            demand,
            began: false,
        }
    }

    /// The answer has begun.
    pub(super) fn begin(&mut self) {
        if !self.began {
            self.began = true;
            let now = self.shared.now();
            let mut beliefs = self.shared.beliefs();
            beliefs.fleet.began(now, &self.target, self.demand);
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut beliefs = self.shared.beliefs();
        let fleet = &mut beliefs.fleet;
        fleet.ended(now, &self.target, self.demand, self.began);
    }
}

/// The memory that a copy of a run takes.
pub(super) struct CopyPlace {
    shared: Arc<Shared>,
    keeper: TargetId,
    demand: Demand,
}

impl CopyPlace {
    pub(super) fn take(shared: &Arc<Shared>, keeper: &TargetId, demand: Demand) -> Self {
        shared.beliefs().fleet.count_copy(keeper, demand, true);
        Self {
            shared: Arc::clone(shared),
            keeper: keeper.clone(),
            demand,
        }
    }
}

impl CopyPlace {
    /// Returns whether it is at this target.
    pub(super) fn is_at(&self, keeper: &TargetId) -> bool {
        self.keeper == *keeper
    }
}

impl Drop for CopyPlace {
    fn drop(&mut self) {
        let mut beliefs = self.shared.beliefs();
        beliefs.fleet.count_copy(&self.keeper, self.demand, false);
    }
}
