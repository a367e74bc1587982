//! What an entry learned of the targets' caches.

use std::collections::BTreeMap;

use cw_types::TargetId;
use cw_types::TokenCount;

use super::Block;

/// The most blocks remembered.
const BLOCKS_MAX: usize = 32_768;

/// The most targets remembered for one block.
const HOLDERS_MAX: usize = 4;

/// The weight of the newest answer in a target's trust.
const TRUST_WEIGHT: f64 = 0.2;

/// How much of the highest rate of tokens is kept from answer to answer.
const RATE_KEPT: f64 = 0.995;

/// The trust in a target that has not answered yet.
const TRUST_FIRST: f64 = 0.8;

/// A target that is known to have a part of a prompt cached.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Holder<'a> {
    /// The target.
    pub target: &'a TargetId,
    /// The expected share of the prompt that it has, from 0 to 1.
    pub share: f64,
}

/// Which prompts the targets are known to have cached.
///
/// The table is bounded: when its younger half is full, the older half is forgotten. What targets
/// answer corrects how far their part of the table is trusted, since their caches evict.
#[derive(Clone, Debug, Default)]
pub struct CacheIndex {
    young: BTreeMap<u64, Vec<u32>>,
    old: BTreeMap<u64, Vec<u32>>,
    numbers: BTreeMap<TargetId, u32>,
    /// The trust in each number's target; none in one that was forgotten.
    targets: Vec<(TargetId, f64)>,
    /// The tokens that are cached for each one expected, where the cache had all: the length of a
    /// prompt in tokens is only guessed at an entry.
    rate: f64,
}

impl CacheIndex {
    /// Learns from the answer of `target` to a prompt that it now has whole.
    ///
    /// `cached` is how many of the prompt's `tokens` it had before.
    pub fn learn(
        &mut self,
        target: &TargetId,
        blocks: &[Block],
        cached: TokenCount,
        tokens: TokenCount,
    ) {
        let number = self.number(target);
        self.correct(number, blocks, cached, tokens);
        for block in blocks {
            self.insert(block.hash, number);
        }
    }

    /// Forgets what `target` had, since its engine started anew.
    pub fn forget(&mut self, target: &TargetId) {
        // The target gets a new number when it is learned of again. Blocks that name the old one
        // leave the table with its older half.
        if let Some(number) = self.numbers.remove(target) {
            self.targets[number as usize].1 = 0.0;
        }
    }

    /// Returns the targets known to hold the longest known leading part of `blocks`.
    pub fn holders<'a>(&'a self, blocks: &[Block]) -> impl Iterator<Item = Holder<'a>> {
        let whole = blocks.last().map_or(1, |block| block.end);
        let (numbers, end) = self.deepest(blocks);
        let share = f64::from(end) / f64::from(whole);
        numbers.iter().filter_map(move |&number| {
            let (target, trust) = &self.targets[number as usize];
            (*trust > 0.0).then_some(Holder {
                target,
                share: share * trust,
            })
        })
    }

    /// Returns how many blocks are remembered.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    // -----------------------------------------------------------------------------------------

    fn number(&mut self, target: &TargetId) -> u32 {
        if let Some(&number) = self.numbers.get(target) {
            return number;
        }
        let number = u32::try_from(self.targets.len()).expect("fewer targets than numbers");
        self.targets.push((target.clone(), TRUST_FIRST));
        self.numbers.insert(target.clone(), number);
        number
    }

    /// Compares the answer with what the table would have said.
    fn correct(&mut self, number: u32, blocks: &[Block], cached: TokenCount, tokens: TokenCount) {
        let (holders, end) = self.deepest(blocks);
        let whole = blocks.last().map_or(0, |block| block.end);
        if whole == 0 || tokens.0 == 0 || !holders.contains(&number) {
            return;
        }
        let expected = f64::from(end) / f64::from(whole);
        let actual = cached.0 as f64 / tokens.0 as f64;
        let ratio = actual / expected;
        self.rate = ratio.max(self.rate * RATE_KEPT);
        let sample = ratio / self.rate.max(f64::MIN_POSITIVE);
        let trust = &mut self.targets[number as usize].1;
        *trust += TRUST_WEIGHT * (sample - *trust);
    }

    fn insert(&mut self, hash: u64, number: u32) {
        if self.young.len() >= BLOCKS_MAX / 2 && !self.young.contains_key(&hash) {
            self.old = std::mem::take(&mut self.young);
        }
        let old = &self.old;
        let holders = self
            .young
            .entry(hash)
            .or_insert_with(|| old.get(&hash).cloned().unwrap_or_default());
        holders.retain(|holder| *holder != number);
        holders.insert(0, number);
        holders.truncate(HOLDERS_MAX);
    }

    fn get(&self, block: &Block) -> Option<&[u32]> {
        let table = self.young.get(&block.hash);
        table
            .or_else(|| self.old.get(&block.hash))
            .map(Vec::as_slice)
    }

    /// Returns the holders of the deepest known block, and its end.
    ///
    /// A prompt's earlier blocks are learned with its later ones, so a binary search finds it.
    fn deepest(&self, blocks: &[Block]) -> (&[u32], u32) {
        let known = blocks.partition_point(|block| self.get(block).is_some());
        let Some(block) = known.checked_sub(1).map(|at| &blocks[at]) else {
            return (&[], 0);
        };
        (self.get(block).unwrap_or_default(), block.end)
    }
}
