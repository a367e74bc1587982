//! The agent of a single target.
//!
//! [`Agent::start`] connects the parts: servers for peers and operators, the attempt table of
//! `cw_policy` with one task per running attempt, a monitor of the target and a reporter.

mod admin_api;
mod admin_server;
mod agent_handle;
mod agent_metrics;
mod agent_state;
mod attempt_signals;
mod attempt_steps;
mod call_runner;
mod engine_json;
mod frame_stream;
mod generate_runner;
mod host_watch;
mod leaving_state;
mod monitor;
mod order_runner;
mod peer_api;
mod planner_lease;
mod reporter;
mod sse;
mod target_client;

pub use agent_handle::Agent;
pub use agent_handle::AgentHandle;
