//! A simulated target and its jobs.

use std::collections::BTreeMap;
use std::time::Duration;

use cw_policy::prefix::Block;
use cw_policy::routing::RouteRequest;
use cw_types::Time;

/// A simulated request.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) waiting_since: Time,
    pub(crate) entry: usize,
    pub(crate) request: RouteRequest,
    pub(crate) output_time: Duration,
    pub(crate) long: bool,
}

/// A simulated target.
#[derive(Clone, Debug, Default)]
pub(crate) struct Engine {
    pub(crate) lost: bool,
    pub(crate) running: BTreeMap<u64, (Time, Job)>,
    /// When the prefill of its prompts ends.
    pub(crate) idle_at: Time,
    /// The time of last use of each cached block, and the reverse for eviction.
    last_uses: BTreeMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
}

impl Engine {
    /// Caches a prompt in place of the blocks used least recently, up to `capacity` blocks, and
    /// returns how many of its bytes were cached before.
    pub(crate) fn cache(&mut self, blocks: &[Block], clock: &mut u64, capacity: usize) -> u32 {
        let known = blocks
            .iter()
            .take_while(|block| self.last_uses.contains_key(&block.hash));
        let cached = known.last().map_or(0, |block| block.end);
        for block in blocks {
            *clock += 1;
            if let Some(old) = self.last_uses.insert(block.hash, *clock) {
                self.by_last_use.remove(&old);
            }
            self.by_last_use.insert(*clock, block.hash);
        }
        while self.by_last_use.len() > capacity {
            if let Some((_, hash)) = self.by_last_use.pop_first() {
                self.last_uses.remove(&hash);
            }
        }
        cached
    }
}
