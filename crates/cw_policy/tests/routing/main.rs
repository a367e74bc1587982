//! Tests of the choice of a target.

#[path = "../../benches/rounds/engine.rs"]
mod engine;
mod filters;
mod fixtures;
#[path = "../../benches/rounds/fleet.rs"]
mod fleet;
mod load;
#[path = "../../benches/rounds/outcome.rs"]
mod outcome;
mod preference;
#[path = "../../benches/rounds/scheduled.rs"]
mod scheduled;
#[path = "../../benches/rounds/shape.rs"]
mod shape;
