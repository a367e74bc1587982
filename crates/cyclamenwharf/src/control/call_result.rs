//! The results of the planner's asynchronous calls.

use cw_policy::planner::LeaseEvent;
use cw_policy::planner::OrderOutcome;
use cw_policy::planner::WeightsInfo;
use cw_types::TargetId;

/// The result of an asynchronous call.
#[derive(Debug)]
pub(super) enum CallResult {
    /// The result of a call for the lease.
    Lease(LeaseEvent),
    /// The outcome of an order, by target and sequence number.
    Order(TargetId, u64, OrderOutcome),
    /// The description of the weights of this name.
    Weights(String, WeightsInfo),
}
