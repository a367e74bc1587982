//! The control state of entries on loopback, around stand-ins of the platform.

mod admin;
mod in_force;
mod openapi;
mod operators;
mod rig;
mod version_change;
