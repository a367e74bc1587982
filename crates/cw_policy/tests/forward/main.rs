//! Tests of forwarded requests: where they go, and how they go on after a loss.

mod budget;
mod config;
mod directory_log;
mod event_stream;
mod exchange;
mod fixtures;
mod fleet;
mod memory;
mod outlook;
mod peers;
mod placement;
