//! The choice of a target for one attempt.
//!
//! [`choose`] makes a single decision. An entry that decides often builds a [`TargetIndex`] from
//! each new [`crate::View`], so that the work that depends on the view alone is done once.
//!
//! - [`RouteRequest`]: what an attempt needs of its target, and where it comes from.
//! - [`DispatchLog`]: the dispatches of this entry since the targets' last reports.
//! - [`Policy`]: the default policy and the baselines that it is compared with.

mod affinity_key;
mod cached_shares;
mod candidate;
mod choice;
mod decision;
mod dispatch_log;
mod estimate;
mod policy;
mod route_request;
mod routing_costs;
mod shortlist;
mod target_index;
mod target_log;

pub use choice::Choice;
pub use choice::choose;
pub use dispatch_log::DispatchLog;
pub use policy::Policy;
pub use route_request::RouteRequest;
pub use routing_costs::RoutingCosts;
pub use target_index::TargetIndex;
