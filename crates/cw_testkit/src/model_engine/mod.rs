//! A stand-in for a model engine: its interface is described in `docs/ENGINE.md`.
//!
//! - [`Engine`] runs one; it can be killed, paused, woken and started again.
//! - [`EngineTimings`] says how fast it is, [`EngineFaults`] what goes wrong.
//! - [`TokenSource`] computes the output that any request must have.

mod api;
mod batch;
mod counters;
mod engine;
mod event_log;
mod faults;
mod job;
mod life;
mod orders;
mod prefix_cache;
mod timings;
mod token_source;

pub use counters::EngineCounters;
pub use counters::RequestCounters;
pub use engine::Engine;
pub use engine::EngineSpec;
pub use faults::EngineFaults;
pub use faults::POISON;
pub use timings::EngineTimings;
pub use token_source::TokenSource;
pub use token_source::prompt_ids;
