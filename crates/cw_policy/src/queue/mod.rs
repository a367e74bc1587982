//! The entry's queue of requests that wait for a target.
//!
//! [`RequestQueue`] is a state machine that handles [`QueueEvent`]s and returns [`QueueStep`]s.
//! Within a [`TargetPool`] a higher rank is started first, except that one start in
//! [`QueueLimits::lower_interval`] goes to a lower rank. Workspaces of one rank share the
//! starts by weight, and the requests of one workspace are started in the order of their deadlines.

mod drain_rate;
mod flow;
mod queue_event;
mod queue_limits;
mod queue_position;
mod queued_request;
mod request_queue;
mod target_pool;

pub use queue_event::QueueEvent;
pub use queue_event::QueueStep;
pub use queue_limits::QueueLimits;
pub use queued_request::QueuedRequest;
pub use request_queue::RequestQueue;
pub use target_pool::TargetPool;
