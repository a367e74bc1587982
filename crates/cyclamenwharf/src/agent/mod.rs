//! The agent beside one target.
//!
//! [`Agent::start`] wires the parts together: servers for peers and operators, the attempt table
//! of `cw_policy` with one task per running attempt, a monitor of the target and a reporter.

mod admin_api;
mod agent_handle;
mod agent_state;
mod call_runner;
mod engine_client;
mod engine_json;
mod frame_stream;
mod generate_runner;
mod host_watch;
mod lease_floor;
mod leaving;
mod metrics;
mod monitor;
mod order_runner;
mod peer_api;
mod reporter;
mod server;
mod signal;
mod sse;

pub use agent_handle::Agent;
pub use agent_handle::AgentHandle;
