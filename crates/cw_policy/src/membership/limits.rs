//! The limits that membership is judged by.

use std::time::Duration;

/// The limits that membership is judged by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipLimits {
    /// How old the last report of a target may be before silence counts at all.
    pub fresh: Duration,
    /// How long a target must be silent before it can be gone.
    pub gone: Duration,
    /// How long a target stays alive while no relay says anything of it.
    pub blind: Duration,
    /// How long what a relay says of a silence counts.
    pub statement: Duration,
    /// How many relays must say so before a silent target is gone.
    pub witnesses: usize,
    /// A pause between two ticks above which this process was paused itself.
    pub pause: Duration,
}

impl Default for MembershipLimits {
    fn default() -> Self {
        Self {
            fresh: Duration::from_secs(3),
            gone: Duration::from_secs(15),
            blind: Duration::from_secs(20),
            statement: Duration::from_secs(8),
            witnesses: 2,
            pause: Duration::from_secs(1),
        }
    }
}
