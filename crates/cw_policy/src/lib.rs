//! Every decision of the system, without I/O, clocks, threads or randomness of its own.
//!
//! State machines share one shape: an event goes in with the present [`cw_types::Time`], and a
//! `Step`, or a short list of them, says what to do next. Drivers in the daemon turn sockets into
//! events and steps into sockets, so each decision can be replayed and fuzzed.
//!
//! - [`configuration`]: what operators accept, and what of it is in force.
//! - [`membership`]: which targets and entries are there, and who passes it on.
//! - [`slo`]: service-level objectives and the burn of their budgets.
//! - [`View`]: what an entry knows of configuration and targets; the input to most decisions.

pub mod configuration;
pub mod membership;
pub mod slo;
mod view;

pub use view::EntryPeer;
pub use view::Liveness;
pub use view::TargetView;
pub use view::View;
