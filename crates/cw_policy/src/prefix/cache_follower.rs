//! An agent's copy of its engine's cache state, kept from the engine's events.

use std::collections::BTreeSet;

use cw_macro::data;

/// One event of an engine's cache.
#[data(Eq)]
#[serde(rename_all = "lowercase", tag = "kind", content = "blocks")]
pub enum CacheEvent {
    /// These blocks were stored.
    Stored(Vec<u64>),
    /// These blocks were removed.
    Removed(Vec<u64>),
}

/// A page of cache events, as the engine publishes them.
#[data(Eq)]
pub struct CachePage {
    /// The number of the engine's start; events of different starts are unrelated.
    pub boot: u64,
    /// The sequence number of the page's first event.
    pub first: u64,
    /// The sequence number after the page's last event.
    pub next: u64,
    /// Whether the engine dropped events before these.
    pub gap: bool,
    /// The events in order.
    pub events: Vec<CacheEvent>,
}

/// Follows an engine's cache by events that arrive late and with gaps.
///
/// The copy may lack blocks that are cached, but has none that the events do not show: a gap, a
/// page whose numbers do not fit its events or a restart of the engine clears it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheFollower {
    boot: u64,
    next: u64,
    blocks: BTreeSet<u64>,
    gaps: u64,
}

impl CacheFollower {
    /// Applies a page of events, of which those applied before are skipped.
    pub fn on_page(&mut self, page: &CachePage) {
        let restarted = page.boot != self.boot;
        if !restarted && page.next <= self.next {
            return;
        }
        let length = u64::try_from(page.events.len()).unwrap_or(u64::MAX);
        let consistent = page.first.checked_add(length) == Some(page.next);
        let gap = page.gap || page.first > self.next || !consistent;
        if restarted || gap {
            self.blocks.clear();
            self.gaps += u64::from(gap && !restarted);
        }
        let already_applied = if restarted || gap {
            0
        } else {
            usize::try_from(self.next - page.first).unwrap_or(usize::MAX)
        };
        self.boot = page.boot;
        self.next = page.next;
        if consistent {
            page.events
                .iter()
                .skip(already_applied)
                .for_each(|event| self.apply(event));
        }
    }

    /// Returns the sequence number of the next event that the follower needs.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Returns how many blocks are known to be cached.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether no block is known to be cached.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Returns how many times a gap cleared the copy.
    pub fn gaps(&self) -> u64 {
        self.gaps
    }

    /// Returns how many leading blocks of a prompt are known to be cached.
    pub fn cached_prefix(&self, prompt: &[u64]) -> usize {
        prompt
            .iter()
            .take_while(|block| self.blocks.contains(block))
            .count()
    }

    fn apply(&mut self, event: &CacheEvent) {
        match event {
            CacheEvent::Stored(blocks) => self.blocks.extend(blocks),
            CacheEvent::Removed(blocks) => blocks.iter().for_each(|block| {
                self.blocks.remove(block);
            }),
        }
    }
}
