//! The liveness of targets and entries, and the relaying of their reports.
//!
//! - [`Members`] derives the liveness of targets from reports, batches and the host list.
//! - [`Relay`] forwards the reports of agents to other entries.
//! - [`RelayGroups`] lists the entries to which an entry sends batches.
//! - [`Outbox`] collects the contents of the next batch.
//! - [`Processes`] stores the states that entries send of themselves.

mod demands;
mod member;
mod members;
mod membership_limits;
mod outbox;
mod processes;
mod relay;
mod relay_groups;
mod relays;

pub use members::HostStatus;
pub use members::Members;
pub use members::MergeOutcome;
pub use membership_limits::MembershipLimits;
pub use outbox::Outbox;
pub use processes::Processes;
pub use relay::Relay;
pub use relay::RelayBatches;
pub use relay::Urgency;
pub use relay_groups::RelayGroups;
pub use relays::RELAYS_PER_TARGET;
pub use relays::primary_relay;
pub use relays::relays;

use std::time::Duration;

use cw_types::Time;

/// Returns the time that lies `age` before `now`, or the clock's origin if that is later.
pub fn ago(now: Time, age: Duration) -> Time {
    let micros = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
    Time(now.0.saturating_sub(micros))
}
