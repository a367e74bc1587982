//! Tests of the choice of a target.

mod filters;
mod fixtures;
