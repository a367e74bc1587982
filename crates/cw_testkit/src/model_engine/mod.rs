//! A stand-in for a model engine: its interface is described in `docs/ENGINE.md`.
//!
//! - [`FakeEngine`] runs one; it can be killed, paused, woken and started again.
//! - [`EngineTimings`] says how fast it is, [`EngineFaults`] what goes wrong.
//! - [`TokenSource`] computes the output that any request must have.

mod api;
mod batch;
mod engine_counters;
mod engine_faults;
mod engine_process;
mod engine_timings;
mod event_log;
mod fake_engine;
mod job;
mod loaded_versions;
mod prefix_cache;
mod token_source;

pub use engine_counters::EngineCounters;
pub use engine_counters::RequestCounters;
pub use engine_faults::EngineFaults;
pub use engine_faults::POISON;
pub use engine_timings::EngineTimings;
pub use fake_engine::EngineSpec;
pub use fake_engine::FakeEngine;
pub use token_source::TokenSource;
pub use token_source::prompt_ids;
