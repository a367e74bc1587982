//! Tests of the choice of a target.

mod filters;
mod fixtures;
#[path = "../../benches/rounds/fleet.rs"]
mod fleet;
mod load;
mod preference;
#[path = "../../benches/rounds/shape.rs"]
mod shape;
