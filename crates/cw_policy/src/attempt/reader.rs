//! One stream that reads an attempt.

use cw_types::AttemptId;
use cw_wire::Frame;

/// Where one stream is in the frames of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reader {
    /// The attempt.
    pub id: AttemptId,
    /// The index of the output that it needs next.
    pub next: u64,
    /// Whether it has got `Accepted`.
    pub accepted: bool,
    /// Whether it has got `Head`.
    pub head: bool,
    /// Whether it has got the last frame.
    pub ended: bool,
}

impl Reader {
    /// Returns a reader of the output from `next` on.
    pub fn new(id: AttemptId, next: u64) -> Self {
        Self {
            id,
            next,
            accepted: false,
            head: false,
            ended: false,
        }
    }
}

/// What a reader does next.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadStep {
    /// Sends a frame and reads again.
    Frame(Frame),
    /// Waits for [`crate::AttemptStep::Wake`].
    Wait,
    /// Ends its stream.
    Close,
}
