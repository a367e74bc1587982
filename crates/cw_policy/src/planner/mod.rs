//! Orders to engines, by one planner at a time.
//!
//! - [`Lease`] decides who the planner is; its fencing number rises with each holder.
//! - [`Planner`] turns accepted model versions into orders.

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
