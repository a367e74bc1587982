//! The quotas of workspaces, each enforced over all entries together.
//!
//! Each entry announces its demand for each quota to the others, through relays, and uses a share
//! in proportion to it. See [`Quotas`] for the bounds.

mod bucket;
mod peer_demands;
mod quota_settings;
mod quotas;
mod usage;

pub use quota_settings::QuotaSettings;
pub use quotas::QuotaDecision;
pub use quotas::Quotas;
