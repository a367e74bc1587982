//! Tests of the agent over real sockets, with a fake engine that each test controls.

mod fake_engine;
mod fixtures;

mod attempts;
mod calls;
mod drains;
mod orders;
mod overloads;
mod reports;
