//! What the attempt table tells its driver to do.

use cw_types::AttemptId;
use cw_wire::Dispatch;
use cw_wire::Frame;

use super::Reader;

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptStep {
    /// Give the attempt to the target.
    Start(Box<Dispatch>),
    /// Take the attempt back from the target.
    Abort(AttemptId),
    /// Read on from the target, after [`FlowControl::Pause`].
    Resume(AttemptId),
    /// Let the readers of the attempt look again.
    Wake(AttemptId),
}

/// What answers a dispatch or an attach.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptAnswer {
    /// A stream, read by this reader.
    Read(Reader),
    /// One frame.
    Frame(Box<Frame>),
}

/// Whether to read on from the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowControl {
    /// Read on.
    Continue,
    /// Wait for [`AttemptStep::Resume`].
    Pause,
    /// Stop: the attempt has ended.
    Stop,
}
