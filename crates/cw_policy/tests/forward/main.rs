//! Tests of the forwarding policy: the placement of requests, and their resumption after a loss.

mod bounded_sends;
mod budget;
mod config;
mod config_check;
mod crash_tracker;
mod crashing_load;
mod crashing_parts;
mod directory_log;
mod drain;
mod event_stream;
mod exchange;
mod fixtures;
mod fleet;
mod freshness;
mod late_knowledge;
mod lost_work;
mod pace;
mod peers;
mod placement;
mod prompts;
mod rank;
mod several_crashing_requests;
mod software_history;
mod start_estimate;
mod stream_origins;
mod target_limits;
