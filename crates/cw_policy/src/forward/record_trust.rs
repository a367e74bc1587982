//! Whether a target without a record has left, or may have lost its record in an outage of the directory.
//!
//! A target renews its record several times in the record's lifetime. Only an outage that is long enough to cover
//! all but one of these renewals explains a missing record, and an outage of that length leaves as long a gap between
//! the answers that this entry knows of. A failed call says nothing about the directory: other entries may get
//! answers at the same time, and tell how recent these are.

use std::time::Duration;

use cw_types::Time;

/// The share of the lifetime of a record that an outage must last for the record to expire in it. Targets renew their records
/// three times in that time, and one renewal may be late by half a period.
const OUTAGE_SHARE: f64 = 0.5;

/// Returns the length of the shortest outage in which a record may expire.
pub(super) fn shortest_outage(record_ttl: Duration) -> Duration {
    record_ttl.mul_f64(OUTAGE_SHARE)
}

/// When the directory has answered, as far as that tells whether records may have expired in an outage.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecordTrust {
    /// The shortest outage in which a record may expire.
    min_outage: Duration,
    /// How long targets may take to register again after an outage.
    relist_grace: Duration,
    /// Whether the last call of this entry has failed.
    is_failing: bool,
    /// The last moment at which the directory is known to have answered any entry.
    answered_at: Option<Time>,
    /// The end of the last gap in which records may have expired.
    returned_at: Option<Time>,
}

impl RecordTrust {
    pub(super) fn new(record_ttl: Duration, relist_grace: Duration) -> Self {
        Self {
            min_outage: shortest_outage(record_ttl),
            relist_grace,
            is_failing: false,
            answered_at: None,
            returned_at: None,
        }
    }

    /// Records that a call of this entry failed. Returns whether the call before had succeeded.
    pub(super) fn record_failure(&mut self) -> bool {
        !std::mem::replace(&mut self.is_failing, true)
    }

    /// Records that the directory answered a call of this entry. Returns whether the call before had failed.
    pub(super) fn record_answer(&mut self, now: Time) -> bool {
        if self.is_gap(now) {
            self.returned_at = Some(now);
        }
        self.answered_at = self.answered_at.max(Some(now));
        std::mem::take(&mut self.is_failing)
    }

    /// Records that the directory answered another entry at `as_of`, and whether that entry knows that no record has
    /// expired in an outage.
    pub(super) fn record_told(&mut self, as_of: Time, is_trusted: bool) {
        match is_trusted {
            true => self.returned_at = self.returned_at.filter(|returned| *returned > as_of),
            false if self.is_gap(as_of) => self.returned_at = Some(as_of),
            false => {}
        }
        self.answered_at = self.answered_at.max(Some(as_of));
    }

    /// Returns whether the time until an answer is long enough for an outage in which records expire. Nothing is
    /// known of the time before the first answer.
    fn is_gap(&self, as_of: Time) -> bool {
        self.answered_at
            .is_none_or(|last| as_of.since(last) >= self.min_outage)
    }

    /// Returns whether the last call of this entry succeeded.
    pub(super) fn is_up(&self) -> bool {
        !self.is_failing
    }

    /// Returns whether a target without a record has left.
    pub(super) fn is_trusted(&self, now: Time) -> bool {
        let is_outage = self.is_failing && self.is_gap(now);
        let is_settled = |returned| now.since(returned) >= self.relist_grace;
        !is_outage && self.returned_at.is_none_or(is_settled)
    }
}
