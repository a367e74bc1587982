//! What an operator asks for.

use std::time::Duration;

use cw_types::ServiceName;
use cw_types::SoftwareVersion;
use cw_types::StoreEra;
use cw_types::StoreRevision;
use cw_wire::RolloutState;

/// The order to move the requests of a service to the targets of a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceName,
    /// The version.
    pub target: SoftwareVersion,
    /// The time from the order to its deadline.
    pub duration: Duration,
    /// The store's revision of the order. A higher one replaces a lower one.
    pub revision: u64,
}

impl RolloutOrder {
    /// Returns the order that a state belongs to.
    pub(super) fn of_state(state: &RolloutState) -> Self {
        Self {
            service: state.service.clone(),
            target: state.target.clone(),
            duration: state.duration,
            revision: state.order,
        }
    }

    /// Returns whether this is an earlier order once more, which the store lists in a later era. After its return from an older
    /// copy, all that it holds has revisions of the new era, and the operator writes again what was lost.
    pub(super) fn is_again(&self, earlier: &Self) -> bool {
        let content = |order: &Self| {
            let (service, target) = (order.service.clone(), order.target.clone());
            (service, target, order.duration)
        };
        content(self) == content(earlier) && earlier.era() < self.era()
    }

    fn era(&self) -> StoreEra {
        StoreRevision(self.revision.cast_signed()).era()
    }
}

/// What becomes of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderStep {
    /// It is older than, or the same as, the one that is known.
    Known,
    /// It is the one that is known, in a later era of the store.
    Again,
    /// It begins.
    Begun,
    /// It begins, and ends an earlier one that was in progress, with this state.
    Replaces(RolloutState),
    /// It begins as soon as the earlier one, whose old engines are about to stop, has ended.
    Deferred,
}
