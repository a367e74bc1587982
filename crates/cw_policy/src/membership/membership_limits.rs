//! The limits that membership is judged by.

use std::time::Duration;

/// The limits that membership is judged by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipLimits {
    /// How old the last report of a target may be before silence counts at all.
    pub silent_after: Duration,
    /// How long a target must be silent before it can be gone.
    pub gone_after: Duration,
    /// How long a target stays alive while no relay says anything of it.
    pub suspect_after: Duration,
    /// How long what a relay says of a silence counts.
    pub statement_ttl: Duration,
    /// How many relays must say so before a silent target is gone.
    pub min_witnesses: usize,
    /// A pause between two ticks above which this process was paused itself.
    pub pause_threshold: Duration,
}

impl Default for MembershipLimits {
    fn default() -> Self {
        Self {
            silent_after: Duration::from_secs(3),
            gone_after: Duration::from_secs(15),
            suspect_after: Duration::from_secs(20),
            statement_ttl: Duration::from_secs(8),
            min_witnesses: 2,
            pause_threshold: Duration::from_secs(1),
        }
    }
}
