//! A fake of a model engine, whose API is described in `docs/ENGINE.md`.
//!
//! - [`FakeEngine`] is an engine that can be killed, paused, resumed and restarted.
//! - [`EngineTimings`] sets its speed and capacity, [`EngineFaults`] its injected faults.
//! - [`TokenSource`] computes the expected output of any request.

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
mod persistent_state;
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
