//! The position of one stream that reads an attempt.

use cw_types::AttemptId;
use cw_wire::Frame;

/// The position of one stream in the frames of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reader {
    /// The attempt whose frames the stream reads.
    pub id: AttemptId,
    /// The output index that it reads next.
    pub next: u64,
    /// Whether it has received `Accepted`.
    pub accepted: bool,
    /// Whether it has received `Head`.
    pub head: bool,
    /// Whether it has received the last frame.
    pub ended: bool,
}

impl Reader {
    /// Returns a reader that starts at output index `next`.
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

/// The next action of a stream.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadStep {
    /// Send a frame and read again.
    Frame(Frame),
    /// Wait for [`crate::AttemptStep::Wake`].
    Wait,
    /// Close the stream.
    Close,
}
