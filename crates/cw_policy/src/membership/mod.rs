//! Which targets and entries are there, and who passes on what is known of them.
//!
//! - [`Members`] judges targets by reports, batches and the host list.
//! - [`RelayGroups`] says which entry passes a batch on to which others.
//! - [`Outbox`] gathers what the next batch carries.
//! - [`Processes`] keeps what entries tell of themselves.

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

/// Returns the moment that lies `age` before `now`.
pub fn ago(now: Time, age: Duration) -> Time {
    let micros = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
    Time(now.0.saturating_sub(micros))
}
