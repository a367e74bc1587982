//! Every decision of the system, without I/O, clocks, threads or randomness of its own.
//!
//! State machines share one shape: an event goes in with the present [`cw_types::Time`], and a
//! `Step`, or a short list of them, says what to do next. Drivers in the daemon turn sockets into
//! events and steps into sockets, so each decision can be replayed and fuzzed.
//!
//! - [`View`]: what an entry knows of configuration and targets; the input to most decisions.
//! - [`routing`]: the choice of a target; [`prefix`]: where prompts are cached.

pub mod budget;
pub mod prefix;
pub mod queue;
pub mod quota;
pub mod routing;
mod view;

pub use view::EntryPeer;
pub use view::Liveness;
pub use view::TargetView;
pub use view::View;
