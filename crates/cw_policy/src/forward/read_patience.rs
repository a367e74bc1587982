//! How long an entry waits for the answer to a read.
//!
//! An answer takes long where the data is large and the link is narrow, although the service works and the bytes
//! come. Giving such a read up would send the same bytes again, so a read ends by silence, not by its length.

use std::time::Duration;

use cw_types::Time;

/// The longest time that a read may take while its bytes come. A value of the largest size that the users' platform
/// allows takes one second over the narrowest of its links, and what answers may also send bytes without end.
const MAX_READ_TIME: Duration = Duration::from_secs(10);

/// What a reader does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadStep {
    /// To wait for bytes until this time.
    Wait(Time),
    /// To end the read without an answer.
    GiveUp,
}

/// How long an entry waits for the answer to a read.
#[derive(Clone, Copy, Debug)]
pub struct ReadPatience {
    max_silence: Duration,
    ends_at: Time,
    /// When the last bytes came, or the read began.
    heard_at: Time,
    bytes: u64,
}

impl ReadPatience {
    /// Creates the state of a read that begins now and is given up after this time without any byte.
    pub fn new(now: Time, max_silence: Duration) -> Self {
        Self {
            max_silence,
            ends_at: now + MAX_READ_TIME.max(max_silence),
            heard_at: now,
            bytes: 0,
        }
    }

    /// Records how many bytes of the answer have come so far. Returns whether there are more than before.
    pub fn record_bytes(&mut self, now: Time, bytes: u64) -> bool {
        let is_more = bytes > self.bytes;
        if is_more {
            self.bytes = bytes;
            self.heard_at = now;
        }
        is_more
    }

    /// Returns the next step.
    pub fn next_step(&self, now: Time) -> ReadStep {
        let until = (self.heard_at + self.max_silence).min(self.ends_at);
        match now < until {
            true => ReadStep::Wait(until),
            false => ReadStep::GiveUp,
        }
    }
}
