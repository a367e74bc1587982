//! Tests of the forwarding policy: the placement of requests, and their resumption after a loss.

mod budget;
mod config;
mod crash_tracker;
mod directory_log;
mod event_stream;
mod exchange;
mod fixtures;
mod fleet;
mod peers;
mod placement;
mod prompts;
mod start_estimate;
