//! An attempt that was sent to its target.

use std::net::SocketAddr;

use cw_types::AttemptId;
use cw_types::TargetId;
use cw_types::Time;
use cw_wire::Cancel;
use cw_wire::Stamp;

/// An attempt that was sent to its target.
#[derive(Clone, Debug)]
pub(crate) struct SentAttempt {
    /// The id of the attempt.
    pub(crate) id: AttemptId,
    /// The target that the attempt was sent to.
    pub(crate) target: TargetId,
    /// The address of the target's agent.
    pub(crate) peer: SocketAddr,
    /// The stamp that the attempt was sent with.
    pub(crate) stamp: Stamp,
    /// When the attempt was sent, or when this entry joined it.
    pub(crate) at: Time,
}

impl SentAttempt {
    /// Returns the message that cancels the attempt.
    pub(crate) fn cancel(&self) -> Cancel {
        Cancel {
            id: self.id,
            stamp: self.stamp,
        }
    }
}
