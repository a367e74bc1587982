//! The lowest accepted fencing number of orders, which the agent reads after each start.
//!
//! Hosts have no persistent storage, so a restarted agent does not know the highest fencing number
//! that it has seen. It reads the planner's lease before it accepts the first order. A deposed
//! planner is thus refused even if the engine ignores fencing numbers.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use cw_types::FencingNumber;
use snafu::ResultExt;
use snafu::Snafu;

use super::agent_state::AgentState;
use super::agent_state::lock;
use crate::planner_key::PLANNER_KEY;

/// Orders cannot be accepted yet.
#[derive(Debug, Snafu)]
pub(super) enum LeaseError {
    /// The planner's lease could not be read from the key-value service.
    #[snafu(display("cannot read the planner's lease: {source}"))]
    Read {
        /// The error of the key-value service.
        source: cw_store::StoreError,
    },
    /// No planner holds the lease, so the order comes from an earlier planner.
    #[snafu(display("no planner holds the lease"))]
    NoHolder,
}

/// Reads the planner's lease, unless this process has already read it.
///
/// # Errors
///
/// See [`LeaseError`]. The planner retries the order.
pub(super) async fn ensure_read(state: &Arc<AgentState>) -> Result<(), LeaseError> {
    if state.lease_read.load(Ordering::Acquire) {
        return Ok(());
    }
    let found = state.store.get(PLANNER_KEY).await.context(ReadSnafu)?;
    let lease = found.ok_or(LeaseError::NoHolder)?;
    let lowest = u64::try_from(lease.created.0).unwrap_or_default();
    lock(&state.orders).observe_fencing(FencingNumber(lowest));
    state.lease_read.store(true, Ordering::Release);
    Ok(())
}
