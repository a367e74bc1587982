//! The instructions of the attempt table to its driver.

use cw_types::AttemptId;
use cw_wire::Dispatch;
use cw_wire::Frame;

use super::Reader;

/// An instruction to the driver of the attempt table.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptStep {
    /// Send the attempt to the target.
    Start(Box<Dispatch>),
    /// Abort the attempt at the target.
    Abort(AttemptId),
    /// Resume reading from the target, after [`FlowControl::Pause`].
    Resume(AttemptId),
    /// Wake the readers of the attempt: it has new frames.
    Wake(AttemptId),
}

/// The answer to a dispatch or an attach.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptAnswer {
    /// A stream of frames, which this reader reads.
    Read(Reader),
    /// A single frame.
    Frame(Box<Frame>),
}

/// Whether the driver continues reading from the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowControl {
    /// Continue reading.
    Continue,
    /// Stop reading until [`AttemptStep::Resume`].
    Pause,
    /// Stop reading: the attempt has ended.
    Stop,
}
