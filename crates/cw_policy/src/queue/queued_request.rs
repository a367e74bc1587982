//! One waiting request.

use cw_types::ByteSize;
use cw_types::GenerationId;
use cw_types::Time;
use cw_types::WorkspaceId;

use super::TargetPool;

/// A request that waits for a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The generation.
    pub id: GenerationId,
    /// What it waits for.
    pub pool: TargetPool,
    /// The workspace that asks.
    pub workspace: WorkspaceId,
    /// The weight of that workspace.
    pub weight: u32,
    /// The rank of its priority: a higher one goes first.
    pub rank: u8,
    /// When it arrived.
    pub arrived: Time,
    /// When it must have started.
    pub deadline: Time,
    /// What it keeps in memory while it waits.
    pub bytes: ByteSize,
}
