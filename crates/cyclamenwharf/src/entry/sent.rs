//! Where an attempt was sent.

use std::net::SocketAddr;

use cw_types::AttemptId;
use cw_types::TargetId;
use cw_types::Time;
use cw_wire::Cancel;
use cw_wire::Stamp;

/// An attempt that was sent to its target.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    /// The attempt.
    pub(crate) id: AttemptId,
    /// Its target.
    pub(crate) target: TargetId,
    /// Where the agent of that target listens.
    pub(crate) peer: SocketAddr,
    /// The stamp of the attempt.
    pub(crate) stamp: Stamp,
    /// When it was sent.
    pub(crate) at: Time,
}

impl Sent {
    /// Returns the message that cancels it.
    pub(crate) fn cancel(&self) -> Cancel {
        Cancel {
            id: self.id,
            stamp: self.stamp,
        }
    }
}
