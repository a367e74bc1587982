//! Rendezvous hashing of prompts to targets, which gives every entry the same order.

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::RouteRequest;
use super::candidate::Member;
use super::shortlist::Shortlist;

/// The length of the leading part of a prompt that is hashed, in bytes. It is longer than the
/// beginning that the prompts of most workspaces share, so that a workspace spreads over targets,
/// and shorter than a conversation.
const AFFINITY_BYTES: u32 = 8192;

/// The hash of a prompt's leading part, by which all entries order the targets alike.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct AffinityKey {
    hash: u64,
}

impl AffinityKey {
    /// Returns the key of a request; without a prompt it depends on the workspace alone.
    ///
    /// A block's hash covers the workspace, the version and all blocks before it.
    pub(super) fn of(request: &RouteRequest) -> Self {
        let blocks = &request.blocks;
        // The last block ends with the prompt, and few other prompts end at the same place.
        let shared = match blocks.split_last() {
            Some((_, leading)) if !leading.is_empty() => leading,
            _ => blocks,
        };
        let count = shared.partition_point(|block| block.end <= AFFINITY_BYTES);
        let deepest = blocks.get(count.saturating_sub(1));
        let workspace = || xxh3_64(request.workspace.as_str().as_bytes());
        let hash = deepest.map_or_else(workspace, |block| block.hash);
        Self { hash }
    }

    /// Returns the first `limit` of `members` in this key's rendezvous order.
    pub(super) fn order(&self, members: &[Member], limit: usize) -> Shortlist {
        let mut list = Shortlist::new();
        for member in members {
            let weight = xxh3_64_with_seed(&member.id_hash.to_le_bytes(), self.hash);
            list.offer(weight, member.position, limit);
        }
        list
    }
}
