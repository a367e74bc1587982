//! The prefix cache.

use std::collections::BTreeMap;

use cw_types::TokenId;
use xxhash_rust::xxh3::Xxh3;

/// The tokens of one cache block.
const BLOCK: usize = 16;

/// A change of the cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum CacheChange {
    /// Blocks are there.
    Stored(Vec<u64>),
    /// Blocks are gone.
    Removed(Vec<u64>),
}

/// Blocks of token prefixes, the least recently used of which goes first.
#[derive(Debug, Default)]
pub(super) struct PrefixCache {
    used_at: BTreeMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    clock: u64,
}

impl PrefixCache {
    /// Returns how many leading tokens are cached, and marks them as used.
    pub(super) fn lookup(&mut self, tokens: &[TokenId]) -> u64 {
        let mut found = 0;
        for block in blocks(tokens) {
            if !self.used_at.contains_key(&block) {
                break;
            }
            self.touch(block);
            found += BLOCK as u64;
        }
        found.min(tokens.len() as u64)
    }

    /// Stores the whole blocks of `tokens` and keeps within `capacity` tokens.
    pub(super) fn store(&mut self, tokens: &[TokenId], capacity: u64) -> Vec<CacheChange> {
        let mut stored = Vec::new();
        for block in blocks(tokens) {
            if !self.used_at.contains_key(&block) {
                stored.push(block);
            }
            self.touch(block);
        }
        let mut changes = Vec::new();
        if !stored.is_empty() {
            changes.push(CacheChange::Stored(stored));
        }
        changes.extend(self.shrink(capacity));
        changes
    }

    /// Returns how many tokens are cached.
    pub(super) fn tokens(&self) -> u64 {
        (self.used_at.len() * BLOCK) as u64
    }

    fn touch(&mut self, block: u64) {
        self.clock += 1;
        if let Some(before) = self.used_at.insert(block, self.clock) {
            self.by_use.remove(&before);
        }
        self.by_use.insert(self.clock, block);
    }

    fn shrink(&mut self, capacity: u64) -> Option<CacheChange> {
        let mut removed = Vec::new();
        while self.tokens() > capacity {
            let (_, block) = self.by_use.pop_first()?;
            self.used_at.remove(&block);
            removed.push(block);
        }
        (!removed.is_empty()).then_some(CacheChange::Removed(removed))
    }
}

/// Returns the ids of the whole blocks: each covers everything before it.
fn blocks(tokens: &[TokenId]) -> impl Iterator<Item = u64> {
    let mut hash = Xxh3::new();
    tokens.chunks_exact(BLOCK).map(move |chunk| {
        for token in chunk {
            hash.update(&token.0.to_le_bytes());
        }
        hash.digest()
    })
}
