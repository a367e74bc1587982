//! The decision logic of the system, without I/O, clocks, threads or its own source of randomness.
//!
//! The state machines have a common interface: the input is an event and the present
//! [`cw_types::Time`], and the output is a `Step`, or a short list of steps, to carry out next.
//! Drivers in the daemon convert network input into events and carry out the steps, so each
//! decision can be replayed and fuzzed.
//!
//! - [`Generation`]: one generation at its entry.
//! - [`queue`]: the requests of an entry that wait for a target.
//! - [`quota`]: the quotas of workspaces, each enforced over all entries together.
//! - [`budget`]: the limits on sending requests more than once, and backoff.
//! - [`ClaimWrite`]: the write of an idempotency key's claim.
//! - [`SuspicionTable`]: the detection of requests that crash their targets.
//! - [`CurrentIncarnation`]: the rule for state that ends with the incarnation that it belongs to.
//! - [`AttemptTable`]: the attempts at one target, tracked by its agent, including
//!   [`AdmissionControl`].
//! - [`OrderGuard`]: the check of orders at an agent before they reach the engine.
//! - [`configuration`]: the configurations that operators have accepted, and the one in force.
//! - [`membership`]: the live targets and entries, and how this knowledge is relayed.
//! - [`planner`]: the election of the planner, and the orders that it sends to engines.
//! - [`forward`]: opaque requests that are forwarded to the targets of a service.
//! - [`rollout`]: roll-outs of a service to another version of its software.
//! - [`slo`]: service-level objectives and the burn rates of their error budgets.
//! - [`trace`]: recorded decisions and their replay.
//! - [`View`]: the configuration and targets known to an entry; the input to most decisions.
//! - [`routing`]: the selection of a target.
//! - [`prefix`]: the locations of cached prompt prefixes.

mod admission;
mod attempt;
pub mod budget;
mod claim;
pub mod configuration;
mod current_incarnation;
pub mod forward;
mod generation;
pub mod membership;
mod order_guard;
pub mod planner;
pub mod prefix;
pub mod queue;
pub mod quota;
pub mod rollout;
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
pub use claim::StoredAnswer;
pub use current_incarnation::CurrentIncarnation;
pub use current_incarnation::IncarnationOrder;
pub use generation::DropReason;
pub use generation::Effect;
pub use generation::Event;
pub use generation::Generation;
pub use generation::GenerationLimits;
pub use generation::GenerationPlan;
pub use generation::LinkId;
pub use generation::Step;
pub use generation::WorkKind;
pub use order_guard::OrderGuard;
pub use order_guard::OrderStep;
pub use suspicion::Crash;
pub use suspicion::CrashId;
pub use suspicion::CrashSuspicion;
pub use suspicion::SuspicionLimits;
pub use suspicion::SuspicionTable;
pub use view::EntryPeer;
pub use view::Liveness;
pub use view::TargetView;
pub use view::View;
