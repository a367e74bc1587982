//! Which targets all entries prefer for a prompt.

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::RouteRequest;
use super::shortlist::Shortlist;
use super::target_index::Member;

/// How much of a prompt makes its affinity, in bytes: more than most workspaces begin all their
/// prompts with, so that their work is spread, and less than a conversation.
const DEPTH: u32 = 8192;

/// A leading part of a prompt, by which all entries order the targets alike.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Key {
    hash: u64,
}

impl Key {
    /// Returns the key of a request.
    ///
    /// A block's hash covers the workspace, the version and all blocks before it.
    pub(super) fn of(request: &RouteRequest) -> Self {
        let blocks = &request.blocks;
        // The last block ends with the prompt, which few other prompts do at the same place.
        let shared = match blocks.split_last() {
            Some((_, leading)) if !leading.is_empty() => leading,
            _ => blocks,
        };
        let count = shared.partition_point(|block| block.end <= DEPTH);
        let deepest = blocks.get(count.saturating_sub(1));
        let workspace = || xxh3_64(request.workspace.as_str().as_bytes());
        let hash = deepest.map_or_else(workspace, |block| block.hash);
        Self { hash }
    }

    /// Returns the first few of `members` in the order that this key gives.
    pub(super) fn order(&self, members: &[Member], most: usize) -> Shortlist {
        let mut list = Shortlist::new();
        for member in members {
            let weight = xxh3_64_with_seed(&member.seed.to_le_bytes(), self.hash);
            list.offer(weight, member.at, most);
        }
        list
    }
}
