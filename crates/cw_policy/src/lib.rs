//! Every decision of the system, without I/O, clocks, threads or randomness of its own.
//!
//! State machines share one shape: an event goes in with the present [`cw_types::Time`], and a
//! `Step`, or a short list of them, says what to do next. Drivers in the daemon turn sockets into
//! events and steps into sockets, so each decision can be replayed and fuzzed.
//!
//! - [`Generation`]: one generation at its entry.
//! - [`ClaimWrite`]: the claim of an idempotency key; [`SuspicionTable`]: requests that crash their
//!   targets.
//! - [`AttemptTable`]: the attempts of one target, at its agent, with [`AdmissionControl`] inside.
//! - [`OrderGuard`]: which orders an agent passes on.
//! - [`configuration`]: what operators accept, and what of it is in force.
//! - [`membership`]: which targets and entries are there, and who passes it on.
//! - [`planner`]: who orders engines, and what.
//! - [`forward`]: opaque requests that pass through to a service's targets.
//! - [`slo`]: service-level objectives and the burn of their budgets.
//! - [`trace`]: recorded decisions, replayed and compared.
//! - [`View`]: what an entry knows of configuration and targets; the input to most decisions.
//! - [`routing`]: the choice of a target; [`prefix`]: where prompts are cached.

mod admission;
mod attempt;
pub mod budget;
mod claim;
pub mod configuration;
mod fencing;
pub mod forward;
mod generation;
pub mod membership;
pub mod planner;
pub mod prefix;
pub mod queue;
pub mod quota;
pub mod routing;
pub mod slo;
mod suspicion;
pub mod trace;
mod view;

pub use admission::AdaptiveLimit;
pub use admission::AdmissionControl;
pub use admission::AdmissionLimits;
pub use admission::AdmissionOutcome;
pub use admission::FairQueue;
pub use admission::Ticket;
pub use attempt::AttemptAnswer;
pub use attempt::AttemptEnd;
pub use attempt::AttemptLimits;
pub use attempt::AttemptStep;
pub use attempt::AttemptTable;
pub use attempt::Chunk;
pub use attempt::CrashLog;
pub use attempt::FlowControl;
pub use attempt::Output;
pub use attempt::ReadStep;
pub use attempt::Reader;
pub use attempt::TargetReadiness;
pub use claim::Claim;
pub use claim::ClaimEvent;
pub use claim::ClaimId;
pub use claim::ClaimRevision;
pub use claim::ClaimState;
pub use claim::ClaimStep;
pub use claim::ClaimWrite;
pub use claim::KeptAnswer;
pub use fencing::OrderGuard;
pub use fencing::OrderStep;
pub use generation::DropReason;
pub use generation::Effect;
pub use generation::Event;
pub use generation::Generation;
pub use generation::Limits;
pub use generation::LinkId;
pub use generation::Plan;
pub use generation::Step;
pub use generation::WorkKind;
pub use suspicion::CrashSuspicion;
pub use suspicion::SuspicionLimits;
pub use suspicion::SuspicionTable;
pub use view::EntryPeer;
pub use view::Liveness;
pub use view::TargetView;
pub use view::View;
