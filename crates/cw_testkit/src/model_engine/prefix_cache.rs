//! The prefix cache of the fake engine.

use std::collections::BTreeMap;

use cw_types::TokenId;
use xxhash_rust::xxh3::Xxh3;

/// The number of tokens in a cache block.
const BLOCK_TOKENS: usize = 16;

/// A change of the cache, as a list of block hashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum CacheChange {
    /// The blocks were added.
    Stored(Vec<u64>),
    /// The blocks were evicted.
    Removed(Vec<u64>),
}

/// A cache of blocks of token prefixes, with least-recently-used eviction.
#[derive(Debug, Default)]
pub(super) struct PrefixCache {
    last_used: BTreeMap<u64, u64>,
    use_order: BTreeMap<u64, u64>,
    clock: u64,
}

impl PrefixCache {
    /// Returns the number of leading tokens that are cached, and marks their blocks as used.
    pub(super) fn lookup(&mut self, tokens: &[TokenId]) -> u64 {
        let mut found = 0;
        for block in block_hashes(tokens) {
            if !self.last_used.contains_key(&block) {
                break;
            }
            self.mark_used(block);
            found += BLOCK_TOKENS as u64;
        }
        found.min(tokens.len() as u64)
    }

    /// Adds the full blocks of `tokens`, and evicts blocks until at most `capacity` tokens remain.
    pub(super) fn store(&mut self, tokens: &[TokenId], capacity: u64) -> Vec<CacheChange> {
        let mut stored = Vec::new();
        for block in block_hashes(tokens) {
            if !self.last_used.contains_key(&block) {
                stored.push(block);
            }
            self.mark_used(block);
        }
        let mut changes = Vec::new();
        if !stored.is_empty() {
            changes.push(CacheChange::Stored(stored));
        }
        changes.extend(self.evict(capacity));
        changes
    }

    /// Returns the number of cached tokens.
    pub(super) fn tokens(&self) -> u64 {
        (self.last_used.len() * BLOCK_TOKENS) as u64
    }

    fn mark_used(&mut self, block: u64) {
        self.clock += 1;
        if let Some(before) = self.last_used.insert(block, self.clock) {
            self.use_order.remove(&before);
        }
        self.use_order.insert(self.clock, block);
    }

    fn evict(&mut self, capacity: u64) -> Option<CacheChange> {
        let mut removed = Vec::new();
        while self.tokens() > capacity {
            let (_, block) = self.use_order.pop_first()?;
            self.last_used.remove(&block);
            removed.push(block);
        }
        (!removed.is_empty()).then_some(CacheChange::Removed(removed))
    }
}

/// Returns the hash of each full block. Each hash also covers all blocks before it.
fn block_hashes(tokens: &[TokenId]) -> impl Iterator<Item = u64> {
    let mut hash = Xxh3::new();
    tokens.chunks_exact(BLOCK_TOKENS).map(move |chunk| {
        for token in chunk {
            hash.update(&token.0.to_le_bytes());
        }
        hash.digest()
    })
}
