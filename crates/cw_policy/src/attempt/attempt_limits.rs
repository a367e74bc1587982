//! Bounds on attempts.

use std::time::Duration;

use cw_types::ByteSize;

use crate::AdmissionLimits;

/// Bounds on the attempts of one target.
#[derive(Clone, Debug)]
pub struct AttemptLimits {
    /// Bounds on admission.
    pub admission: AdmissionLimits,
    /// The most output kept for all attempts together.
    pub output_bytes: ByteSize,
    /// How long an ended attempt's output is kept, and how long an idempotent one runs unread.
    pub retention: Duration,
    /// How long an ended attempt is remembered, and the oldest stamp that is taken.
    pub tombstone: Duration,
}

impl Default for AttemptLimits {
    fn default() -> Self {
        Self {
            admission: AdmissionLimits::default(),
            output_bytes: ByteSize::mib(16),
            retention: Duration::from_secs(60),
            tombstone: Duration::from_secs(600),
        }
    }
}

impl AttemptLimits {
    /// Returns the most bytes of output that one running attempt may keep.
    pub fn share(&self) -> usize {
        self.output_bytes.as_usize() / self.admission.max_running.max(1) as usize
    }
}
