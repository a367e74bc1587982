//! The key of the planner's lease.

/// The key whose holder is the planner. The revision at which it was created is the fencing number.
pub(crate) const PLANNER_KEY: &str = "cyclamenwharf/planner";
