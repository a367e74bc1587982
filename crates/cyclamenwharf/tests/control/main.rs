//! The control state of entries on loopback, around stand-ins of the platform.

mod admin;
mod in_force;
mod openapi;
mod operators;
mod rig;
mod rolling_restart;
mod version_change;
