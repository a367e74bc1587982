//! The quotas of workspaces, which hold over all entries.
//!
//! Each entry tells the others, through relays, which part of each quota it wants, and takes a
//! share in proportion. See [`Quotas`] for the bounds.

mod bucket;
mod heard;
mod quotas;
mod settings;
mod usage;

pub use quotas::QuotaDecision;
pub use quotas::Quotas;
pub use settings::QuotaSettings;
