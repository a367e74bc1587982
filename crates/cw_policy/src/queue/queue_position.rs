//! The position of a request in the queue.

use cw_types::WorkspaceId;

use super::QueuedRequest;
use super::TargetPool;
use super::flow::DeadlineKey;

/// The position of a request, by which it is found in the queue.
#[derive(Clone, Debug)]
pub(super) struct QueuePosition {
    pub(super) pool: TargetPool,
    pub(super) rank: u8,
    pub(super) workspace: WorkspaceId,
    pub(super) key: DeadlineKey,
}

impl QueuePosition {
    pub(super) fn of(request: &QueuedRequest) -> Self {
        Self {
            pool: request.pool.clone(),
            rank: request.rank,
            workspace: request.workspace.clone(),
            key: (request.deadline, request.id),
        }
    }
}
