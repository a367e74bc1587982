//! The choice of a target for one attempt.
//!
//! [`choose`] decides once. An entry that decides often builds an [`Index`] from each new
//! [`crate::View`] and asks that, so that the work that depends on the view alone is done once.
//!
//! - [`RouteRequest`]: what is needed, and from where.
//! - [`Ledger`]: what this entry itself sent since the targets' reports.
//! - [`Policy`]: the default and the baselines that it is measured against.

mod account;
mod affinity;
mod choice;
mod costs;
mod decide;
mod estimate;
mod index;
mod ledger;
mod policy;
mod request;
mod shares;
mod shortlist;

pub use choice::Choice;
pub use choice::choose;
pub use costs::Costs;
pub use index::Index;
pub use ledger::Ledger;
pub use policy::Policy;
pub use request::RouteRequest;
