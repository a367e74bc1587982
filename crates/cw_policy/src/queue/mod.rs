//! The entry's queue: requests that wait for a target.
//!
//! [`RequestQueue`] is a state machine of [`QueueEvent`]s and [`QueueStep`]s. Within a [`TargetPool`] a higher
//! rank goes first, except that every [`QueueLimits::lower_interval`]th start goes to a lower rank;
//! workspaces of one rank share by weight; one workspace's requests go by deadline.

mod drain_rate;
mod flow;
mod queue_event;
mod queue_limits;
mod queued_request;
mod request_queue;
mod target_pool;

pub use queue_event::QueueEvent;
pub use queue_event::QueueStep;
pub use queue_limits::QueueLimits;
pub use queued_request::QueuedRequest;
pub use request_queue::RequestQueue;
pub use target_pool::TargetPool;
