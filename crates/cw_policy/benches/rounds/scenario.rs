//! The load and the targets of a simulation.

use std::time::Duration;

use cw_policy::prefix::Block;
use xxhash_rust::xxh3::xxh3_64;

/// The length of a block, in bytes.
const BLOCK_BYTES: u32 = 1024;

/// The load and the targets of a simulation.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) targets: usize,
    pub(crate) entries: usize,
    pub(crate) slots: usize,
    pub(crate) workspaces: usize,
    pub(crate) sessions: usize,
    /// The requests of a session before its prompt starts over.
    pub(crate) turns: u64,
    /// The blocks at the start of all prompts of a workspace.
    pub(crate) shared_blocks: u64,
    /// The length of the unique part at the end of each prompt, in bytes.
    pub(crate) tail_bytes: u32,
    /// The blocks that each turn of a session adds.
    pub(crate) added_blocks: u64,
    /// The mean arrivals per second.
    pub(crate) rate: f64,
    /// The mean output time of short requests.
    pub(crate) output_time: Duration,
    /// The mean output time of long requests.
    pub(crate) long_output_time: Duration,
    /// The fraction of requests that are long.
    pub(crate) long_share: f64,
    /// The time to prefill one token.
    pub(crate) prefill: Duration,
    /// The most blocks that a target caches.
    pub(crate) cache_blocks: usize,
    pub(crate) report_period: Duration,
    /// The age of a report when it arrives.
    pub(crate) report_delay: Duration,
    pub(crate) max_wait: Duration,
    pub(crate) duration: Duration,
    /// The time after the start at which a third of the targets fails.
    pub(crate) zone_loss: Option<Duration>,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            targets: 36,
            entries: 4,
            slots: 16,
            workspaces: 10,
            sessions: 1500,
            turns: 8,
            shared_blocks: 4,
            tail_bytes: 200,
            added_blocks: 2,
            rate: 144.0,
            output_time: Duration::from_secs(3),
            long_output_time: Duration::from_secs(30),
            long_share: 0.0,
            prefill: Duration::from_micros(60),
            cache_blocks: 700,
            report_period: Duration::from_millis(250),
            report_delay: Duration::from_millis(250),
            max_wait: Duration::from_secs(10),
            duration: Duration::from_secs(80),
            zone_loss: None,
        }
    }
}

impl Scenario {
    /// Returns the blocks of the prompt of a session's turn; `request` is the request's number.
    pub(crate) fn blocks(
        &self,
        workspace: usize,
        session: usize,
        turn: u64,
        request: u64,
    ) -> Vec<Block> {
        let count = self.shared_blocks + self.added_blocks * (turn + 1);
        let block = |number: u64| {
            let owner = if number < self.shared_blocks {
                workspace as u64
            } else {
                1_000_000 + session as u64
            };
            let mut bytes = [0; 16];
            bytes[..8].copy_from_slice(&owner.to_le_bytes());
            bytes[8..].copy_from_slice(&number.to_le_bytes());
            Block {
                hash: xxh3_64(&bytes),
                end: BLOCK_BYTES * u32::try_from(number + 1).unwrap_or(u32::MAX),
            }
        };
        let mut blocks: Vec<Block> = (0..count).map(block).collect();
        if let Some(last) = blocks.last().filter(|_| self.tail_bytes > 0) {
            blocks.push(Block {
                hash: xxh3_64(&request.to_le_bytes()),
                end: last.end + self.tail_bytes,
            });
        }
        blocks
    }
}
