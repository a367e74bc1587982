//! One target of the loop, and what it runs.

use std::collections::BTreeMap;
use std::time::Duration;

use cw_policy::prefix::Block;
use cw_policy::routing::RouteRequest;
use cw_types::Time;

/// A request on its way through the loop.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) since: Time,
    pub(crate) entry: usize,
    pub(crate) request: RouteRequest,
    pub(crate) hold: Duration,
    pub(crate) long: bool,
}

/// One target.
#[derive(Clone, Debug, Default)]
pub(crate) struct Engine {
    pub(crate) lost: bool,
    pub(crate) running: BTreeMap<u64, (Time, Job)>,
    /// When its prompts so far are processed.
    pub(crate) free: Time,
    /// Cached blocks by last use, and the reverse.
    uses: BTreeMap<u64, u64>,
    order: BTreeMap<u64, u64>,
}

impl Engine {
    /// Returns how many bytes of a prompt are cached, and caches all of it.
    pub(crate) fn cache(&mut self, blocks: &[Block], clock: &mut u64, most: usize) -> u32 {
        let known = blocks
            .iter()
            .take_while(|block| self.uses.contains_key(&block.hash));
        let cached = known.last().map_or(0, |block| block.end);
        for block in blocks {
            *clock += 1;
            if let Some(old) = self.uses.insert(block.hash, *clock) {
                self.order.remove(&old);
            }
            self.order.insert(*clock, block.hash);
        }
        while self.order.len() > most {
            if let Some((_, hash)) = self.order.pop_first() {
                self.uses.remove(&hash);
            }
        }
        cached
    }
}
