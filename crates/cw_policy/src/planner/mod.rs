//! Orders to engines from the one entry that is the planner.
//!
//! - [`Lease`] decides which entry is the planner; its fencing number rises with each holder.
//! - [`Planner`] derives orders from the accepted model versions.

mod checks;
mod lease;
mod planner_state;
mod required_versions;

pub use lease::Lease;
pub use lease::LeaseEvent;
pub use lease::LeaseStep;
pub use lease::is_candidate;
pub use planner_state::OrderOutcome;
pub use planner_state::PlannedOrder;
pub use planner_state::Planner;
pub use planner_state::PlannerInput;
pub use planner_state::WeightsInfo;
pub use required_versions::RequiredVersions;
