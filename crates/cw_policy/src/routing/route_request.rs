//! The requirements of an attempt on its target.

use std::collections::BTreeSet;

use cw_types::Recovery;
use cw_types::RegionId;
use cw_types::RouteTarget;
use cw_types::TargetId;
use cw_types::TokenCount;
use cw_types::WorkspaceId;
use cw_types::ZoneId;

use crate::prefix::Block;

/// The requirements of an attempt on its target, and the place of the entry that sends it.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRequest {
    /// The model, version and adapter to run, or the plain service.
    pub to: RouteTarget,
    /// The workspace of the caller.
    pub workspace: WorkspaceId,
    /// The leading blocks of the prompt; empty for a plain service.
    pub blocks: Vec<Block>,
    /// The tokens to prefill before the first new one, if none are cached.
    pub tokens: TokenCount,
    /// Targets that must not be chosen, such as those that have refused the attempt.
    pub excluded: BTreeSet<TargetId>,
    /// The availability zone of this entry.
    pub zone: ZoneId,
    /// The region of that zone.
    pub region: RegionId,
    /// Whether the attempt continues an earlier one.
    pub resumed: bool,
    /// Whether a resumed attempt goes to the target where it starts soonest, or to one that has its
    /// prefix cached.
    pub recovery: Recovery,
}

impl RouteRequest {
    /// Returns the request of a first attempt without a prompt, from an entry in `zone` of `region`.
    pub fn new(to: RouteTarget, workspace: WorkspaceId, zone: ZoneId, region: RegionId) -> Self {
        Self {
            to,
            workspace,
            blocks: Vec::new(),
            tokens: TokenCount(0),
            excluded: BTreeSet::new(),
            zone,
            region,
            resumed: false,
            recovery: Recovery::default(),
        }
    }

    /// Sets the prompt's leading blocks and its length in tokens.
    #[must_use]
    pub fn with_prompt(mut self, blocks: Vec<Block>, tokens: TokenCount) -> Self {
        self.blocks = blocks;
        self.tokens = tokens;
        self
    }

    /// Adds a target to the excluded ones.
    #[must_use]
    pub fn excluding(mut self, target: TargetId) -> Self {
        self.excluded.insert(target);
        self
    }

    /// Marks the attempt as the continuation of an earlier one.
    #[must_use]
    pub fn resumed(mut self, recovery: Recovery) -> Self {
        self.resumed = true;
        self.recovery = recovery;
        self
    }

    /// Returns whether targets with a cached prefix are preferred.
    pub(super) fn prefers_cache(&self) -> bool {
        let latency_first = self.resumed && self.recovery == Recovery::Latency;
        matches!(self.to, RouteTarget::Model { .. }) && !latency_first
    }
}
