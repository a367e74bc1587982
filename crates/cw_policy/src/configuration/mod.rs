//! Changes that operators propose and accept, and the configuration in force.
//!
//! - [`Proposal`] is a proposed change; [`accept`] decides on it, and [`AcceptFlow`] carries out the
//!   decision despite failures of the key-value service. [`reject`] decides on its rejection.
//! - [`dry_run`] returns the faults that a change would cause.
//! - [`ActiveConfig`] holds the snapshot in force, whose revision never decreases.
//! - [`make_delta`] and [`apply_delta`] transfer changes without the unchanged records.

mod accept;
mod accept_flow;
mod active_config;
mod delta;
mod diff;
mod dry_run;
mod in_use;
mod proposal;
mod reject;
mod watchers;

pub use accept::AcceptDecision;
pub use accept::Acceptance;
pub use accept::Refusal;
pub use accept::SchemaSupport;
pub use accept::accept;
pub use accept_flow::AcceptFlow;
pub use accept_flow::FlowEnd;
pub use accept_flow::FlowEvent;
pub use accept_flow::FlowStep;
pub use accept_flow::StoreFault;
pub use active_config::ActiveConfig;
pub use active_config::Alarm;
pub use active_config::ApplyOutcome;
pub use active_config::Source;
pub use delta::DeltaError;
pub use delta::apply_delta;
pub use delta::make_delta;
pub use diff::RecordDiff;
pub use diff::diff;
pub use dry_run::Breakage;
pub use dry_run::dry_run;
pub use in_use::in_use;
pub use proposal::Edit;
pub use proposal::Proposal;
pub use proposal::ProposalState;
pub use reject::RejectDecision;
pub use reject::reject;
pub use watchers::is_watcher;
