//! Requests that crash the engines that run them.
//!
//! Evidence is only what agents report: the fingerprints that were in flight when an engine died
//! under its living agent. A request is guilty when it alone was in flight at several crashes. It
//! cannot be told from its companions by one crash, so resumed suspects are spread over targets.

mod crash_suspicion;
mod suspicion_table;

pub use crash_suspicion::CrashSuspicion;
pub use crash_suspicion::SuspicionLimits;
pub use suspicion_table::SuspicionTable;
