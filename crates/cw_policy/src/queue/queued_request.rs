//! One request of the queue.

use cw_types::ByteSize;
use cw_types::GenerationId;
use cw_types::Time;
use cw_types::WorkspaceId;

use super::TargetPool;

/// A request that waits for a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The id of the generation.
    pub id: GenerationId,
    /// The pool of targets that it waits for.
    pub pool: TargetPool,
    /// The workspace of the caller.
    pub workspace: WorkspaceId,
    /// The fair-queueing weight of that workspace.
    pub weight: u32,
    /// The rank of its priority; higher ranks start first.
    pub rank: u8,
    /// When it arrived.
    pub arrived: Time,
    /// The time by which it must have started.
    pub deadline: Time,
    /// The memory that it takes while it waits.
    pub bytes: ByteSize,
}
