//! What an agent knows of its engine's cache.

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

/// Events of an engine's cache, as the engine publishes them.
#[data(Eq)]
pub struct CachePage {
    /// The engine's life; events of different lives have nothing to do with each other.
    pub boot: u64,
    /// The number of the first event.
    pub first: u64,
    /// The number after the last event of the page.
    pub next: u64,
    /// Whether the engine says that it dropped events before these.
    pub gap: bool,
    /// The events in order.
    pub events: Vec<CacheEvent>,
}

/// Follows an engine's cache by events that come late and with gaps.
///
/// It may think that too little is cached, never that more is than the events say: a gap, a
/// repetition that does not fit or a new life of the engine forgets everything.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheFollower {
    boot: u64,
    next: u64,
    blocks: BTreeSet<u64>,
    gaps: u64,
}

impl CacheFollower {
    /// Takes in a page of events.
    pub fn on_page(&mut self, page: &CachePage) {
        let restarted = page.boot != self.boot;
        if !restarted && page.next <= self.next {
            return;
        }
        let length = u64::try_from(page.events.len()).unwrap_or(u64::MAX);
        let whole = page.first.checked_add(length) == Some(page.next);
        let gap = page.gap || page.first > self.next || !whole;
        if restarted || gap {
            self.blocks.clear();
            self.gaps += u64::from(gap && !restarted);
        }
        let seen = if restarted || gap {
            0
        } else {
            usize::try_from(self.next - page.first).unwrap_or(usize::MAX)
        };
        self.boot = page.boot;
        self.next = page.next;
        if whole {
            page.events
                .iter()
                .skip(seen)
                .for_each(|event| self.apply(event));
        }
    }

    /// Returns the number of the first event that is wanted.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Returns how many blocks are known to be cached.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether nothing is known to be cached.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Returns how many times a gap made it forget.
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
