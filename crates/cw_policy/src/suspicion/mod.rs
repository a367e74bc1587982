//! Detection of requests that crash the engines that run them.
//!
//! The evidence is the fingerprints of the requests that were in flight when an engine crashed, from
//! the report of an agent that kept running. Forwarding entries have no agents, and a ledger of their own
//! ([`crate::forward::CrashTracker`]). A request is confirmed as the cause when it is the only one
//! that was in flight at all of several crashes. A single crash does not distinguish it from the
//! other requests in flight, so resumed suspects are spread over targets.
//!
//! Targets also crash together without a request that causes it, mostly with their availability
//! zone. Such a mass failure begins after a quiet time, is over within a second or two, and hits each
//! request once or twice. Crashes that differ in any of this have requests as their cause, however many
//! there are.

mod crash_cause;
mod crash_suspicion;
mod suspicion_table;

pub use crash_suspicion::CrashSuspicion;
pub use crash_suspicion::SuspicionLimits;
pub use suspicion_table::Crash;
pub use suspicion_table::CrashId;
pub use suspicion_table::SuspicionTable;
