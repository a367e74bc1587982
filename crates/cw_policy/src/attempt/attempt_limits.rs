//! Limits on the attempts at one target.

use std::time::Duration;

use cw_types::ByteSize;

use crate::AdmissionLimits;

/// Limits on the attempts at one target.
#[derive(Clone, Debug)]
pub struct AttemptLimits {
    /// The limits of admission.
    pub admission: AdmissionLimits,
    /// The maximum size of the buffered output of all attempts together.
    pub output_bytes: ByteSize,
    /// How long the output of an ended attempt is kept, and how long an idempotent attempt runs
    /// without a reader.
    pub retention: Duration,
    /// How long an ended attempt is remembered, and the maximum age of a stamp.
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
    /// Returns how many bytes of output one running attempt may buffer.
    pub fn output_share(&self) -> usize {
        self.output_bytes.as_usize() / self.admission.max_running.max(1) as usize
    }
}
