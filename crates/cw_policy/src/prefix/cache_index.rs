//! An entry's index of the prompt blocks that targets have cached.

use std::collections::BTreeMap;

use cw_types::TargetId;
use cw_types::TokenCount;

use super::Block;

/// The maximum number of blocks in the index.
const MAX_BLOCKS: usize = 32_768;

/// The maximum number of targets that are kept for one block.
const MAX_HOLDERS: usize = 4;

/// The weight of the newest answer in the confidence in a target.
const CONFIDENCE_WEIGHT: f64 = 0.2;

/// The factor by which the best ratio of cached tokens decays with each answer.
const BEST_RATIO_DECAY: f64 = 0.995;

/// The confidence in a target before its answers are compared.
const CONFIDENCE_INITIAL: f64 = 0.8;

/// A target that is known to have a part of a prompt cached.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Holder<'a> {
    /// The target that has the part cached.
    pub target: &'a TargetId,
    /// The expected share of the prompt that it has, from 0 to 1.
    pub share: f64,
}

/// The prompt blocks that the targets are known to have cached.
///
/// The index has two generations, which bound its size: when the young one is full, it replaces the
/// old one. The caches of targets evict blocks, so the answers of each target correct the confidence
/// in it.
#[derive(Clone, Debug, Default)]
pub struct CacheIndex {
    young: BTreeMap<u64, Vec<u32>>,
    old: BTreeMap<u64, Vec<u32>>,
    numbers: BTreeMap<TargetId, u32>,
    /// The target of each number, with the confidence in it, which is zero for a target that was
    /// forgotten.
    targets: Vec<(TargetId, f64)>,
    /// The ratio of cached to expected tokens where the cache has the whole expected part. It
    /// differs from one because an entry only estimates the length of a prompt in tokens.
    best_ratio: f64,
}

impl CacheIndex {
    /// Learns from the answer of `target` to a prompt that it now has cached as a whole.
    ///
    /// `cached` is how many of the prompt's `tokens` it had cached before.
    pub fn learn(
        &mut self,
        target: &TargetId,
        blocks: &[Block],
        cached: TokenCount,
        tokens: TokenCount,
    ) {
        let number = self.number(target);
        self.update_confidence(number, blocks, cached, tokens);
        for block in blocks {
            self.insert(block.hash, number);
        }
    }

    /// Forgets what `target` had cached, since its engine restarted.
    pub fn forget(&mut self, target: &TargetId) {
        // The target gets a new number with its next answer. Blocks that refer to the old number
        // leave the index with the old generation.
        if let Some(number) = self.numbers.remove(target) {
            self.targets[number as usize].1 = 0.0;
        }
    }

    /// Returns the targets that have the longest known leading part of `blocks` cached.
    pub fn holders<'a>(&'a self, blocks: &[Block]) -> impl Iterator<Item = Holder<'a>> {
        let length = blocks.last().map_or(1, |block| block.end);
        let (numbers, end) = self.deepest(blocks);
        let share = f64::from(end) / f64::from(length);
        numbers.iter().filter_map(move |&number| {
            let (target, confidence) = &self.targets[number as usize];
            (*confidence > 0.0).then_some(Holder {
                target,
                share: share * confidence,
            })
        })
    }

    /// Returns how many blocks the index has; one in both generations counts twice.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns whether the index has no blocks.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    // ---- Targets and blocks ----

    fn number(&mut self, target: &TargetId) -> u32 {
        if let Some(&number) = self.numbers.get(target) {
            return number;
        }
        let number = u32::try_from(self.targets.len()).expect("the number of targets fits in u32");
        self.targets.push((target.clone(), CONFIDENCE_INITIAL));
        self.numbers.insert(target.clone(), number);
        number
    }

    /// Updates the confidence in a target by comparing its answer with the index.
    fn update_confidence(
        &mut self,
        number: u32,
        blocks: &[Block],
        cached: TokenCount,
        tokens: TokenCount,
    ) {
        let (holders, end) = self.deepest(blocks);
        let length = blocks.last().map_or(0, |block| block.end);
        if length == 0 || tokens.0 == 0 || !holders.contains(&number) {
            return;
        }
        let expected = f64::from(end) / f64::from(length);
        let actual = cached.0 as f64 / tokens.0 as f64;
        let ratio = actual / expected;
        self.best_ratio = ratio.max(self.best_ratio * BEST_RATIO_DECAY);
        let sample = ratio / self.best_ratio.max(f64::MIN_POSITIVE);
        let confidence = &mut self.targets[number as usize].1;
        *confidence += CONFIDENCE_WEIGHT * (sample - *confidence);
    }

    fn insert(&mut self, hash: u64, number: u32) {
        if self.young.len() >= MAX_BLOCKS / 2 && !self.young.contains_key(&hash) {
            self.old = std::mem::take(&mut self.young);
        }
        let old = &self.old;
        let holders = self
            .young
            .entry(hash)
            .or_insert_with(|| old.get(&hash).cloned().unwrap_or_default());
        holders.retain(|holder| *holder != number);
        holders.insert(0, number);
        holders.truncate(MAX_HOLDERS);
    }

    fn get(&self, block: &Block) -> Option<&[u32]> {
        let table = self.young.get(&block.hash);
        table
            .or_else(|| self.old.get(&block.hash))
            .map(Vec::as_slice)
    }

    /// Returns the holders of the deepest known block, and its end.
    ///
    /// A prompt's earlier blocks are learned together with its later ones, so that a binary search
    /// finds the deepest known one.
    fn deepest(&self, blocks: &[Block]) -> (&[u32], u32) {
        let known = blocks.partition_point(|block| self.get(block).is_some());
        let Some(block) = known.checked_sub(1).map(|at| &blocks[at]) else {
            return (&[], 0);
        };
        (self.get(block).unwrap_or_default(), block.end)
    }
}
