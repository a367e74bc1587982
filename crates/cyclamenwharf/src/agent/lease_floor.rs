//! The fencing number below which no order is taken, learned anew in each life of the agent.
//!
//! A host keeps nothing, so an agent that restarted has forgotten the highest number it saw. Before
//! the first order it reads the planner's lease: a deposed planner is then refused also where the
//! engine ignores fencing numbers.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use cw_types::FencingNumber;
use snafu::ResultExt;
use snafu::Snafu;

use super::agent_state::AgentState;
use super::agent_state::lock;

/// The key of the planner's lease; its creation revision is the fencing number.
const LEASE_KEY: &str = "cyclamenwharf/planner";

/// Why no order is taken yet.
#[derive(Debug, Snafu)]
pub(super) enum FloorError {
    /// The key-value service cannot be read.
    #[snafu(display("the planner's lease cannot be read: {source}"))]
    Read {
        /// The cause.
        source: cw_store::StoreError,
    },
    /// Nobody is the planner, so the order is late.
    #[snafu(display("nobody holds the planner's lease"))]
    Vacant,
}

/// Reads the lease unless this life of the agent has done so.
///
/// # Errors
///
/// See [`FloorError`]; the planner asks again.
pub(super) async fn ensure(state: &Arc<AgentState>) -> Result<(), FloorError> {
    if state.floored.load(Ordering::Acquire) {
        return Ok(());
    }
    let found = state.store.get(LEASE_KEY).await.context(ReadSnafu)?;
    let lease = found.ok_or(FloorError::Vacant)?;
    let floor = u64::try_from(lease.created.0).unwrap_or_default();
    lock(&state.orders).observe_fencing(FencingNumber(floor));
    state.floored.store(true, Ordering::Release);
    Ok(())
}
