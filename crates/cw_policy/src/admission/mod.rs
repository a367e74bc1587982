//! Admission control at a target's agent: which attempts run, and in which order.

mod adaptive_limit;
mod admission_control;
mod fair_queue;

pub use adaptive_limit::AdaptiveLimit;
pub use admission_control::AdmissionControl;
pub use admission_control::AdmissionLimits;
pub use admission_control::AdmissionOutcome;
pub use fair_queue::FairQueue;
pub use fair_queue::Ticket;
