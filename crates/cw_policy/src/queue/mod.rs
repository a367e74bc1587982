//! The entry's queue: requests that wait for a target.
//!
//! [`Queue`] is a state machine of [`QueueEvent`]s and [`QueueStep`]s. Within a [`Lane`] a higher
//! rank goes first, except that every [`QueueLimits::lower`]th start goes to a lower rank;
//! workspaces of one rank share by weight; one workspace's requests go by deadline.

mod drain;
mod event;
mod flow;
mod lane;
mod limits;
mod waiter;
mod waiting;

pub use event::QueueEvent;
pub use event::QueueStep;
pub use lane::Lane;
pub use limits::QueueLimits;
pub use waiter::Waiter;
pub use waiting::Queue;
