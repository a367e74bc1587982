//! Tests of the control plane of entries on the loopback interface, with fakes of the platform.

#![expect(
    clippy::disallowed_methods,
    reason = "what the programs under test send has an end"
)]

mod admin_client;
mod control_state;
mod openapi;
mod operators;
mod rolling_restart;
mod test_platform;
mod version_change;
