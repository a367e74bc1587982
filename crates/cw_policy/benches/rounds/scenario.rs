//! What is offered to a fleet, and what the fleet is.

use std::time::Duration;

use cw_policy::prefix::Block;
use xxhash_rust::xxh3::xxh3_64;

/// The length of a block, in bytes.
const BLOCK: u32 = 1024;

/// What is offered to a fleet, and what the fleet is.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) targets: usize,
    pub(crate) entries: usize,
    pub(crate) slots: usize,
    pub(crate) workspaces: usize,
    pub(crate) sessions: usize,
    /// Requests of a session until it starts anew.
    pub(crate) turns: u64,
    /// Blocks that all prompts of a workspace begin with.
    pub(crate) shared: u64,
    /// The length of what no other prompt has, at the end of each, in bytes.
    pub(crate) tail: u32,
    /// Blocks that each turn adds.
    pub(crate) added: u64,
    /// Requests a second.
    pub(crate) rate: f64,
    /// The mean time of output.
    pub(crate) hold: Duration,
    /// The mean time of long output.
    pub(crate) hold_long: Duration,
    /// The part of requests that are long.
    pub(crate) long: f64,
    /// The time to process a token.
    pub(crate) prefill: Duration,
    /// The blocks that a target can cache.
    pub(crate) cache_blocks: usize,
    pub(crate) period: Duration,
    /// How old a report is when it arrives.
    pub(crate) lag: Duration,
    pub(crate) patience: Duration,
    pub(crate) span: Duration,
    /// When a third of the targets is lost.
    pub(crate) loss: Option<Duration>,
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
            shared: 4,
            tail: 200,
            added: 2,
            rate: 144.0,
            hold: Duration::from_secs(3),
            hold_long: Duration::from_secs(30),
            long: 0.0,
            prefill: Duration::from_micros(60),
            cache_blocks: 700,
            period: Duration::from_millis(250),
            lag: Duration::from_millis(250),
            patience: Duration::from_secs(10),
            span: Duration::from_secs(80),
            loss: None,
        }
    }
}

impl Scenario {
    /// Returns the prompt of a turn of a session, as blocks; `request` is the number of the request.
    pub(crate) fn blocks(
        &self,
        workspace: usize,
        session: usize,
        turn: u64,
        request: u64,
    ) -> Vec<Block> {
        let count = self.shared + self.added * (turn + 1);
        let block = |number: u64| {
            let owner = if number < self.shared {
                workspace as u64
            } else {
                1_000_000 + session as u64
            };
            let mut bytes = [0; 16];
            bytes[..8].copy_from_slice(&owner.to_le_bytes());
            bytes[8..].copy_from_slice(&number.to_le_bytes());
            Block {
                hash: xxh3_64(&bytes),
                end: BLOCK * u32::try_from(number + 1).unwrap_or(u32::MAX),
            }
        };
        let mut blocks: Vec<Block> = (0..count).map(block).collect();
        if let Some(last) = blocks.last().filter(|_| self.tail > 0) {
            blocks.push(Block {
                hash: xxh3_64(&request.to_le_bytes()),
                end: last.end + self.tail,
            });
        }
        blocks
    }
}
