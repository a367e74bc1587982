//! The agent over real sockets, before a fake engine that does what a test tells it.

mod fake_engine;
mod fixtures;

mod attempts;
mod calls;
mod drains;
mod orders;
mod overloads;
mod reports;
