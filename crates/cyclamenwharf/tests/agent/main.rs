//! Tests of the agent over real sockets, with a fake engine that each test controls.

#![expect(
    clippy::disallowed_methods,
    reason = "what the programs under test send has an end"
)]

mod fake_engine;
mod fixtures;

mod attempts;
mod calls;
mod drains;
mod orders;
mod overloads;
mod reports;
