//! The log of cache events, which are delayed and have gaps.

use std::collections::VecDeque;
use std::time::Duration;

use cw_types::Time;
use serde::Serialize;

use super::prefix_cache::CacheChange;

/// The maximum number of events in the log.
const MAX_KEPT_EVENTS: usize = 4096;
/// The maximum number of events in one response.
const MAX_PAGE_EVENTS: usize = 512;

/// A change of the prefix cache, as sent to the agent.
#[derive(Clone, Debug, Serialize)]
pub(super) struct CacheEvent {
    sequence: u64,
    kind: &'static str,
    blocks: Vec<u64>,
}

/// The response to `GET /v1/cache/events`.
#[derive(Debug, Serialize)]
pub(super) struct CachePage {
    next: u64,
    gap: bool,
    events: Vec<CacheEvent>,
}

/// The latest cache events, with the time of each.
#[derive(Debug, Default)]
pub(super) struct EventLog {
    events: VecDeque<(Time, CacheEvent)>,
    last: u64,
}

impl EventLog {
    /// Appends a change. Every `loss_interval`-th change is lost; zero loses none.
    pub(super) fn push(&mut self, now: Time, change: CacheChange, loss_interval: u64) {
        self.last += 1;
        if loss_interval > 0 && self.last.is_multiple_of(loss_interval) {
            return;
        }
        let (kind, blocks) = match change {
            CacheChange::Stored(blocks) => ("stored", blocks),
            CacheChange::Removed(blocks) => ("removed", blocks),
        };
        let sequence = self.last;
        let event = CacheEvent {
            sequence,
            kind,
            blocks,
        };
        self.events.push_back((now, event));
        if self.events.len() > MAX_KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events with a sequence number above `after` that are at least `lag` old.
    pub(super) fn page(&self, now: Time, after: u64, lag: Duration) -> CachePage {
        let events: Vec<CacheEvent> = self
            .events
            .iter()
            .filter(|(at, event)| event.sequence > after && now.since(*at) >= lag)
            .map(|(_, event)| event.clone())
            .take(MAX_PAGE_EVENTS)
            .collect();
        let expected = after + 1..;
        let contiguous = expected.zip(&events).all(|(n, event)| event.sequence == n);
        CachePage {
            next: events.last().map_or(after, |event| event.sequence),
            gap: !contiguous || after > self.last,
            events,
        }
    }
}
