//! Orders to engines, by one planner at a time.
//!
//! - [`Lease`] decides who the planner is; its fencing number rises with each holder.
//! - [`Planner`] turns accepted model versions into orders.

mod checks;
mod lease;
mod need;
mod planner_state;

pub use lease::Lease;
pub use lease::LeaseEvent;
pub use lease::LeaseStep;
pub use lease::is_candidate;
pub use need::Need;
pub use planner_state::OrderOutcome;
pub use planner_state::PlannedOrder;
pub use planner_state::Planner;
pub use planner_state::PlannerInput;
pub use planner_state::Weight;
