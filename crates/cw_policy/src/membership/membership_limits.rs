//! The limits for the liveness of targets.

use std::time::Duration;

/// The durations and counts that decide the liveness of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipLimits {
    /// The age of a target's last report from which the target counts as silent.
    pub silent_after: Duration,
    /// How long a target must be silent before it can count as gone.
    pub gone_after: Duration,
    /// How long a silent target stays alive while no relay reports its silence.
    pub suspect_after: Duration,
    /// How long a relay's statement that a target is silent is valid.
    pub statement_ttl: Duration,
    /// How many relays must report the silence of a target before it counts as gone, at most as many
    /// as there are live entries.
    pub min_witnesses: usize,
    /// The time between two ticks above which this process counts as having been paused.
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
