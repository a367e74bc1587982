//! Tests of the choice of a target for each attempt.

#[path = "../../benches/rounds/engine.rs"]
mod engine;
mod filters;
mod fixtures;
mod load;
#[path = "../../benches/rounds/outcome.rs"]
mod outcome;
mod preference;
#[path = "../../benches/rounds/scenario.rs"]
mod scenario;
#[path = "../../benches/rounds/scheduled.rs"]
mod scheduled;
#[path = "../../benches/rounds/simulation.rs"]
mod simulation;
