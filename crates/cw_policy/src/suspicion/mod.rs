//! Detection of requests that crash the engines that run them.
//!
//! The only evidence is the agents' reports: the fingerprints that were in flight when an engine
//! died while its agent lived. A request is confirmed as the cause when it is the only one that was
//! in flight at several crashes. One crash does not tell it apart from the requests beside it, so
//! resumed suspects are spread over targets.

mod crash_suspicion;
mod suspicion_table;

pub use crash_suspicion::CrashSuspicion;
pub use crash_suspicion::SuspicionLimits;
pub use suspicion_table::SuspicionTable;
