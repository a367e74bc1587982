//! The choice of a target for one attempt.
//!
//! [`choose`] decides once. An entry that decides often builds an [`TargetIndex`] from each new
//! [`crate::View`] and asks that, so that the work that depends on the view alone is done once.
//!
//! - [`RouteRequest`]: what is needed, and from where.
//! - [`DispatchLog`]: what this entry itself sent since the targets' reports.
//! - [`Policy`]: the default and the baselines that it is measured against.

mod affinity_key;
mod cached_shares;
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
